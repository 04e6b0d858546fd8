/// Tests the harness for process tests itself.
#define BOOST_TEST_MODULE process
#include "process/process.h"

#include "core/http_server.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace crowstep;
using namespace crowstep::test;

// Guards against a port that is lost between freePort() and listen(): tests run
// in parallel, a connection of another test was assigned the port in between,
// and the process could not start. A reserved port can't be bound by others,
// but an HTTP server can still listen on it.
BOOST_AUTO_TEST_CASE(AGivenPortIsKept) {
  const std::uint16_t Port = freePort();
  sockaddr_in SocketAddress{};
  SocketAddress.sin_family = AF_INET;
  SocketAddress.sin_port = htons(Port);
  SocketAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int Other = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  BOOST_TEST(bind(Other, reinterpret_cast<sockaddr *>(&SocketAddress),
                  sizeof(SocketAddress)) != 0);
  close(Other);
  HttpServer Server;
  BOOST_CHECK_NO_THROW(Server.listen(
      {INADDR_LOOPBACK, Port}, [](SoupServerMessage *Message, const char *) {
        respond(Message, 200, "text/plain", "");
      }));
}
