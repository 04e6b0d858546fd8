/// An upstream that answers each request at once with bytes that a test sets.
#ifndef CROWSTEP_TESTS_PROCESS_RAW_UPSTREAM_H
#define CROWSTEP_TESTS_PROCESS_RAW_UPSTREAM_H

#include "unit/loopback_peer.h"

#include <atomic>
#include <thread>

namespace crowstep::test {

/// How a RawUpstream ends the connection of an answer.
enum class RawEnd : std::uint8_t {
  Reset,    ///< At once, and without reading more of the request.
  InOrder,  ///< By an end of the answer; the request is read on.
  KeepOpen, ///< It doesn't, nor does it read more.
};

/// It has a thread of its own, which reads no more than the head of a request
/// before it answers.
class RawUpstream {
public:
  /// In \p Answer, "{id}" stands for the id of the request's attempt.
  RawUpstream(std::string Answer, RawEnd End)
      : m_Answer(std::move(Answer)), m_End(End) {
    std::tie(m_Listening, m_Address) = listenOnLoopback(512);
    m_Thread = std::thread([this] { serve(); });
  }
  ~RawUpstream() {
    m_IsStopping = true;
    shutdown(m_Listening, SHUT_RDWR);
    m_Thread.join();
    ::close(m_Listening);
    for (const int Fd : m_KeptOpen)
      ::close(Fd);
  }
  RawUpstream(const RawUpstream &) = delete;
  RawUpstream &operator=(const RawUpstream &) = delete;

  [[nodiscard]] const Address &address() const { return m_Address; }

  /// Returns how many requests it has answered.
  [[nodiscard]] int answered() const { return m_Answered; }

private:
  void serve() {
    while (!m_IsStopping) {
      const int Fd = ::accept(m_Listening, nullptr, nullptr);
      if (Fd < 0)
        continue;
      // One that never sends a request must not stop the thread.
      const timeval Limit = {.tv_sec = 0, .tv_usec = 100000};
      setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
      if (const std::string Head = readHead(Fd); !Head.empty())
        answer(Fd, Head);
      if (m_End == RawEnd::KeepOpen)
        m_KeptOpen.push_back(Fd);
      else
        ::close(Fd);
    }
  }

  /// Returns the bytes up to the end of a head, or nothing if none arrives.
  static std::string readHead(int Fd) {
    std::string Result;
    char Byte = 0;
    while (!Result.ends_with("\r\n\r\n")) {
      if (recv(Fd, &Byte, 1, 0) != 1)
        return {};
      Result += Byte;
    }
    return Result;
  }

  void answer(int Fd, const std::string &Head) {
    std::string Text = m_Answer;
    const std::string Name = "X-Attempt-Id: ";
    if (const auto At = Text.find("{id}"); At != std::string::npos) {
      const auto Begin = Head.find(Name) + Name.size();
      Text.replace(At, 4, Head, Begin, Head.find("\r\n", Begin) - Begin);
    }
    (void)::send(Fd, Text.data(), Text.size(), MSG_NOSIGNAL);
    ++m_Answered;
    if (m_End == RawEnd::Reset)
      resetOnClose(Fd);
    if (m_End != RawEnd::InOrder)
      return;
    shutdown(Fd, SHUT_WR);
    std::array<char, 65536> Rest{};
    while (recv(Fd, Rest.data(), Rest.size(), 0) > 0)
      ;
  }

  std::string m_Answer; ///< See the constructor.
  RawEnd m_End;         ///< Of each connection.
  Address m_Address;
  int m_Listening = -1;
  std::vector<int> m_KeptOpen; ///< Connections; the thread's until it ends.
  std::atomic<bool> m_IsStopping = false;
  std::atomic<int> m_Answered = 0; ///< See answered().
  std::thread m_Thread;            ///< Must come last.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_RAW_UPSTREAM_H
