/// An upstream that begins an answer to each request and sends many bytes, or
/// bytes without end, after it.
#ifndef CROWSTEP_TESTS_PROCESS_ENDLESS_SERVER_H
#define CROWSTEP_TESTS_PROCESS_ENDLESS_SERVER_H

#include "unit/loopback_peer.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <poll.h>
#include <thread>

namespace crowstep::test {

/// When an EndlessServer ends an answer.
struct AnswerLimits {
  std::size_t m_Bytes = 0; ///< After so many bytes of its body; 0: never.
  std::chrono::milliseconds
      m_Blocked{}; ///< Not read for so long, cut off; 0: never.
};

/// It has a thread of its own, which writes as fast as the gateways read.
class EndlessServer {
public:
  /// \p Begin is how its answers begin, and \p Repeated what follows. In
  /// \p Begin, "{id}" stands for the id of the request's attempt.
  EndlessServer(std::string Begin, const std::string &Repeated,
                const AnswerLimits &Limits = {})
      : m_Begin(std::move(Begin)), m_Limits(Limits) {
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

  /// Returns how many answers were cut off as they were not read.
  [[nodiscard]] int cutOff() const { return m_CutOff; }

private:
  struct Connection {
    std::unique_ptr<Peer> m_Peer;
    bool m_HasBegun = false;
    std::size_t m_SentBytes = 0;                        ///< Of the body.
    std::chrono::steady_clock::time_point m_LastSent{}; ///< Bytes of it.
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
  bool serve(Connection &Entry) {
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
    return sendBody(Entry);
  }

  bool sendBody(Connection &Entry) {
    using std::chrono::steady_clock;
    if (m_Limits.m_Bytes > 0 && Entry.m_SentBytes >= m_Limits.m_Bytes)
      return false;
    // What is repeated stays whole where the socket takes a part of it.
    const std::size_t Offset = Entry.m_SentBytes % m_Repeated.size();
    std::size_t Left = m_Repeated.size() - Offset;
    if (m_Limits.m_Bytes > 0)
      Left = std::min(Left, m_Limits.m_Bytes - Entry.m_SentBytes);
    const ssize_t Size = send(Entry.m_Peer->fd(), m_Repeated.data() + Offset,
                              Left, MSG_NOSIGNAL | MSG_DONTWAIT);
    const auto Now = steady_clock::now();
    if (Size > 0) {
      Entry.m_SentBytes += static_cast<std::size_t>(Size);
      Entry.m_LastSent = Now;
      return true;
    }
    if (m_Limits.m_Blocked > m_Limits.m_Blocked.zero() &&
        Now - Entry.m_LastSent > m_Limits.m_Blocked) {
      ++m_CutOff;
      Entry.m_Peer->close();
    }
    return false;
  }

  static std::string idOf(const std::string &Request) {
    const std::string Name = "X-Attempt-Id: ";
    const auto At = Request.find(Name) + Name.size();
    return Request.substr(At, Request.find("\r\n", At) - At);
  }

  std::string m_Begin;           ///< See the constructor.
  AnswerLimits m_Limits;         ///< Of each answer.
  std::atomic<int> m_CutOff = 0; ///< See cutOff().
  std::string m_Repeated;        ///< Many times over.
  Address m_Address;
  int m_Listening = -1;
  std::vector<Connection> m_Connections; ///< Open.
  std::jthread m_Thread;                 ///< Must come last.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_ENDLESS_SERVER_H
