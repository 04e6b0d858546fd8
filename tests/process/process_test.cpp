/// The harness itself.
#define BOOST_TEST_MODULE process
#include "process/process.h"

#include "core/http_server.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace crowstep;
using namespace crowstep::test;

// Tests run beside one another. Between the moment in which one has chosen a
// port and that in which its process listens there, another one's connection
// took the port, and the process could not start. A port that was given stays
// taken for all but those who listen there.
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
