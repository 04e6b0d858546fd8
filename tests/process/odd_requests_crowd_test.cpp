/// Requests that are almost HTTP at a real gateway.
#define BOOST_TEST_MODULE odd_requests_crowd
#include "process/crowded_gateway.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;

namespace {

std::string withTarget(const std::string &Target) {
  return CrowdedGateway::requestText(Target, "odd", 1);
}

std::string withLine(const std::string &Line) {
  return CrowdedGateway::headOf("/plain/x", "odd") + Line +
         "\r\nContent-Length: 1\r\n\r\nb";
}

} // namespace

// Guards against a request that ends the process which reads it.
BOOST_AUTO_TEST_CASE(NoRequestEndsTheProcess) {
  CrowdedGateway Gateway;
  const std::vector<std::string> Requests = {
      withTarget("/plain/a\tb"),
      withTarget("/plain/a\fb"),
      withTarget("/plain/\xff"),
      withTarget("/plain/\x7f"),
      withTarget("/plain/a\vb"),
      withTarget("*"),
      withTarget("plain/x"),
      withTarget("http://h.example"),
      withTarget("http://h.example/plain/\t"),
      withTarget("http:///plain/x"),
      withTarget("?/plain/x"),
      withLine("X-Deadline-Ms: 99999999999999999999"),
      withLine("X-Deadline-Ms: -1"),
      withLine("Last-Event-Id: x"),
      withLine("X-Prefix-Hash: ,:,::,x:y"),
      withLine("X-Token-Usage: ,"),
      withLine("X-Odd: \xff\xfe\t"),
      withLine("Connection: ,,,close,X-Key"),
      withLine("Expect: 100-continue"),
      withLine("Upgrade: h2c\r\nConnection: Upgrade"),
      "CONNECT h.example:80 HTTP/1.1\r\nHost: h.example\r\n\r\n",
      "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
      std::string(100, '\0'),
  };
  for (const std::string &Request : Requests)
    BOOST_TEST_CONTEXT(Request.substr(0, 200)) {
      // The answer, if any, is the request's own affair.
      (void)Gateway.statusOf(Request + "GET / HTTP/1.0\r\n\r\n");
      BOOST_REQUIRE(Gateway.isServed());
    }
  Gateway.checkUsage();
}
