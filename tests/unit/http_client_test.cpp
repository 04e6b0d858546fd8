/// Short calls over HTTP.
#define BOOST_TEST_MODULE http_client
#include "http/http_client.h"
#include "unit/broken_upstream.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

/// Returns the retry time of an answer with this Retry-After.
Duration retryAfterOf(const std::string &Text) {
  FakeUpstream Server;
  HttpClient Client;
  HttpCall Call;
  Call.m_Address = Server.m_Address;
  Call.m_Method = "POST";
  Call.m_Path = "/";
  std::optional<HttpResult> Result;
  Client.call(Call, [&](HttpResult Outcome) { Result = std::move(Outcome); });
  Server.waitForRequest()->send("HTTP/1.1 429 Too Many\r\nRetry-After: " +
                                Text + "\r\nContent-Length: 0\r\n\r\n");
  BOOST_REQUIRE(pumpUntil([&] { return Result.has_value(); }));
  return std::get<HttpAnswer>(*Result).m_RetryAfter;
}

} // namespace

// Guards against a retry time in the past, or a pause without end, from a
// Retry-After that is no number of seconds.
BOOST_AUTO_TEST_CASE(AnUnreadableRetryAfterIsNone) {
  BOOST_TEST((retryAfterOf("2") == 2s));
  BOOST_TEST((retryAfterOf("0.25") == 250ms));
  for (const char *Bad :
       {"-3", "nan", "inf", "1e300", "3 s", "Fri, 04 Dec 2026 10:00:00 GMT"})
    BOOST_TEST((retryAfterOf(Bad) == 0s), Bad);
}

// Guards against a server that uses up the memory with an answer without end.
BOOST_AUTO_TEST_CASE(AnAnswerThatIsTooLongIsNone) {
  BrokenUpstream Server("HTTP/1.1 200 OK\r\n\r\n" +
                            std::string(HttpClient::MaxBodyBytes + 1, 'a'),
                        1, 0us);
  HttpClient Client;
  HttpCall Call;
  Call.m_Address = Server.m_Address;
  Call.m_Method = "POST";
  Call.m_Path = "/";
  Call.m_Timeout = 10s;
  std::optional<HttpResult> Result;
  Client.call(Call, [&](HttpResult Outcome) { Result = std::move(Outcome); });
  BOOST_REQUIRE(pumpUntil([&] { return Result.has_value(); }));
  BOOST_TEST((std::get<HttpFailure>(*Result) == HttpFailure::NoAnswer));
}
