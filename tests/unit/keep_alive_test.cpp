/// How long a connection to a machine that has fallen silent stays open.
#define BOOST_TEST_MODULE keep_alive
#include "core/keep_alive.h"
#include "unit/loopback_peer.h"

#include <boost/test/unit_test.hpp>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

/// A connection whose other end gets no packets once it is cut.
class CutConnection {
public:
  CutConnection() {
    Address Where;
    std::tie(m_Listener, Where) = listenOnLoopback();
    m_Near = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                          G_SOCKET_PROTOCOL_TCP, nullptr);
    GSocketAddress *Remote =
        g_inet_socket_address_new_from_string("127.0.0.1", Where.m_Port);
    g_socket_connect(m_Near, Remote, nullptr, nullptr);
    g_object_unref(Remote);
    g_socket_set_blocking(m_Near, 0);
    m_Far = accept(m_Listener, nullptr, nullptr);
  }
  ~CutConnection() {
    ::close(m_Far);
    ::close(m_Listener);
    g_object_unref(m_Near);
  }
  CutConnection(const CutConnection &) = delete;
  CutConnection &operator=(const CutConnection &) = delete;

  void cut() const {
    sock_filter DropAll = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog Filter = {1, &DropAll};
    setsockopt(m_Far, SOL_SOCKET, SO_ATTACH_FILTER, &Filter, sizeof(Filter));
  }

  /// Returns how long the connection stays open from now on.
  [[nodiscard]] std::chrono::milliseconds timeToClose() const {
    const gint64 Begin = g_get_monotonic_time();
    BOOST_TEST(pumpUntil([this] {
      char Byte = 0;
      return g_socket_receive(m_Near, &Byte, 1, nullptr, nullptr) <= 0 &&
             g_socket_condition_check(m_Near, G_IO_IN) != 0;
    }));
    return std::chrono::milliseconds((g_get_monotonic_time() - Begin) / 1000);
  }

  GSocket *m_Near = nullptr; ///< Its keep-alive is tested.

private:
  int m_Listener = -1;
  int m_Far = -1;
};

/// Updates must be known within three seconds of an outage's end.
constexpr std::chrono::milliseconds Limit = 3500ms;

} // namespace

// Guards against a connection without traffic that outlives its peer's machine.
BOOST_AUTO_TEST_CASE(AnIdleConnectionToASilentMachineIsClosed) {
  CutConnection Connection;
  enableKeepAlive(Connection.m_Near);
  Connection.cut();
  BOOST_TEST((Connection.timeToClose() < Limit));
}

// Guards against the same with bytes that are not acknowledged.
BOOST_AUTO_TEST_CASE(AConnectionWithUnacknowledgedBytesIsClosed) {
  CutConnection Connection;
  enableKeepAlive(Connection.m_Near);
  Connection.cut();
  g_socket_send(Connection.m_Near, "x", 1, nullptr, nullptr);
  BOOST_TEST((Connection.timeToClose() < Limit));
}

// Guards against a timeout of the library that decides before ours.
BOOST_AUTO_TEST_CASE(TheLibrarySetsNoUserTimeout) {
  const CutConnection Connection;
  gint Timeout = -1;
  g_socket_get_option(Connection.m_Near, IPPROTO_TCP, TCP_USER_TIMEOUT,
                      &Timeout, nullptr);
  BOOST_TEST(Timeout == 0);
}

// Guards against an idle connection that is closed though its peer is up.
BOOST_AUTO_TEST_CASE(AnIdleConnectionToAMachineThatIsUpStaysOpen) {
  CutConnection Connection;
  enableKeepAlive(Connection.m_Near);
  pumpFor(4s);
  char Byte = 0;
  BOOST_TEST(g_socket_receive(Connection.m_Near, &Byte, 1, nullptr, nullptr) <
             0);
  BOOST_TEST(g_socket_condition_check(Connection.m_Near, G_IO_IN) == 0);
}
