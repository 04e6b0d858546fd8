/// An upstream that closes early, for tests of the ends of answers.
#ifndef CROWSTEP_TESTS_UNIT_BROKEN_UPSTREAM_H
#define CROWSTEP_TESTS_UNIT_BROKEN_UPSTREAM_H

#include "unit/loopback_peer.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace crowstep::test {

/// An upstream on its own thread: answers each connection with the same bytes,
/// split at random with gaps between the pieces, and closes right after them.
class BrokenUpstream {
public:
  BrokenUpstream(std::string Answer, unsigned Pieces,
                 std::chrono::microseconds MaxGap)
      : m_Answer(std::move(Answer)), m_Pieces(Pieces), m_MaxGap(MaxGap) {
    std::tie(m_Fd, m_Address) = listenOnLoopback();
    m_Thread = std::thread([this] { serve(); });
  }
  ~BrokenUpstream() {
    m_IsStopping = true;
    shutdown(m_Fd, SHUT_RDWR);
    m_Thread.join();
    ::close(m_Fd);
  }
  BrokenUpstream(const BrokenUpstream &) = delete;
  BrokenUpstream &operator=(const BrokenUpstream &) = delete;

  Address m_Address;

private:
  void serve() {
    while (!m_IsStopping) {
      const int Fd = ::accept(m_Fd, nullptr, nullptr);
      if (Fd < 0)
        continue;
      std::string Request;
      char Buffer[4096];
      while (!FakeUpstream::isWholeRequest(Request)) {
        const ssize_t Size = recv(Fd, Buffer, sizeof(Buffer), 0);
        if (Size <= 0)
          break;
        Request.append(Buffer, static_cast<std::size_t>(Size));
      }
      sendInPieces(Fd);
      ::close(Fd);
    }
  }

  void sendInPieces(int Fd) {
    std::vector<std::size_t> Cuts = {0, m_Answer.size()};
    for (unsigned Piece = 1; Piece < m_Pieces; ++Piece)
      Cuts.push_back(m_Random() % m_Answer.size());
    std::ranges::sort(Cuts);
    for (std::size_t Cut = 1; Cut < Cuts.size(); ++Cut) {
      send(Fd, m_Answer.data() + Cuts[Cut - 1], Cuts[Cut] - Cuts[Cut - 1],
           MSG_NOSIGNAL);
      spinRandomGap();
    }
  }

  void spinRandomGap() {
    if (m_MaxGap.count() == 0)
      return;
    const auto End = std::chrono::steady_clock::now() +
                     std::chrono::microseconds(m_Random() % m_MaxGap.count());
    while (std::chrono::steady_clock::now() < End)
      ;
  }

  std::string m_Answer;
  unsigned m_Pieces;
  std::chrono::microseconds m_MaxGap;
  std::mt19937 m_Random{34}; ///< Fixed seed, for reproducible runs.
  std::atomic<bool> m_IsStopping = false;
  int m_Fd;
  std::thread m_Thread;
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_BROKEN_UPSTREAM_H
