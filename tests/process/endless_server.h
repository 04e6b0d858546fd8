/// An upstream that begins an answer to each request and sends bytes without
/// end after it.
#ifndef CROWSTEP_TESTS_PROCESS_ENDLESS_SERVER_H
#define CROWSTEP_TESTS_PROCESS_ENDLESS_SERVER_H

#include "unit/loopback_peer.h"

#include <map>
#include <poll.h>
#include <thread>

namespace crowstep::test {

/// It has a thread of its own, which writes as fast as the gateways read.
class EndlessServer {
public:
  /// \p Begin is how its answers begin, and \p Repeated what follows. In
  /// \p Begin, "{id}" stands for the id of the request's attempt.
  EndlessServer(std::string Begin, const std::string &Repeated)
      : m_Begin(std::move(Begin)) {
    while (m_Repeated.size() < 65536)
      m_Repeated += Repeated;
    std::tie(m_Listening, m_Address) = listenOnLoopback(512);
    fcntl(m_Listening, F_SETFL, O_NONBLOCK);
    m_Thread =
        std::jthread([this](const std::stop_token &Stop) { serveUntil(Stop); });
  }
  ~EndlessServer() {
    m_Thread.request_stop();
    m_Thread.join();
    close(m_Listening);
  }
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  [[nodiscard]] const Address &address() const { return m_Address; }

private:
  struct Connection {
    std::unique_ptr<Peer> m_Peer;
    bool m_HasBegun = false;
  };

  void serveUntil(const std::stop_token &Stop) {
    while (!Stop.stop_requested()) {
      for (int Fd = accept(m_Listening, nullptr, nullptr); Fd >= 0;
           Fd = accept(m_Listening, nullptr, nullptr))
        m_Connections.push_back({std::make_unique<Peer>(Fd)});
      bool IsIdle = true;
      for (Connection &Entry : m_Connections)
        IsIdle = !serve(Entry) && IsIdle;
      std::erase_if(m_Connections, [](const Connection &Entry) {
        return Entry.m_Peer->fd() < 0;
      });
      if (IsIdle)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  /// Returns whether bytes were sent.
  bool serve(Connection &Entry) const {
    Peer &To = *Entry.m_Peer;
    if (To.isClosed()) {
      To.close();
      return false;
    }
    if (!Entry.m_HasBegun) {
      if (!FakeUpstream::isWholeRequest(To.received()))
        return false;
      Entry.m_HasBegun = true;
      std::string Begin = m_Begin;
      if (const auto At = Begin.find("{id}"); At != std::string::npos)
        Begin.replace(At, 4, idOf(To.received()));
      return send(To.fd(), Begin.data(), Begin.size(), MSG_NOSIGNAL) > 0;
    }
    return send(To.fd(), m_Repeated.data(), m_Repeated.size(),
                MSG_NOSIGNAL | MSG_DONTWAIT) > 0;
  }

  static std::string idOf(const std::string &Request) {
    const std::string Name = "X-Attempt-Id: ";
    const auto At = Request.find(Name) + Name.size();
    return Request.substr(At, Request.find("\r\n", At) - At);
  }

  std::string m_Begin;    ///< See the constructor.
  std::string m_Repeated; ///< Many times over.
  Address m_Address;
  int m_Listening = -1;
  std::vector<Connection> m_Connections; ///< Open.
  std::jthread m_Thread;                 ///< Must come last.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_ENDLESS_SERVER_H
