/// Bytes that a socket has not accepted yet.
#include "http/output_queue.h"

#include <algorithm>

namespace crowstep {

namespace {

/// Size up to which appended bytes are joined into one piece.
constexpr std::size_t PieceBytes = 16384;

} // namespace

void OutputQueue::append(std::string_view Bytes) {
  m_Size += Bytes.size();
  while (!Bytes.empty()) {
    if (m_Pieces.empty() || m_Pieces.back().size() >= PieceBytes)
      m_Pieces.emplace_back();
    std::string &Last = m_Pieces.back();
    const std::size_t Count = std::min(Bytes.size(), PieceBytes - Last.size());
    // Growth by doubling would leave a quarter of all pieces unused.
    if (Last.size() + Count > Last.capacity())
      Last.reserve(Last.empty() ? Count : PieceBytes);
    Last.append(Bytes.substr(0, Count));
    Bytes.remove_prefix(Count);
  }
}

std::string_view OutputQueue::front() const {
  return m_Pieces.empty()
             ? std::string_view()
             : std::string_view(m_Pieces.front()).substr(m_Written);
}

void OutputQueue::recordWritten(std::size_t Count) {
  m_Size -= Count;
  m_Written += Count;
  if (!m_Pieces.empty() && m_Written == m_Pieces.front().size()) {
    m_Pieces.pop_front();
    m_Written = 0;
  }
}

void OutputQueue::clear() {
  m_Pieces.clear();
  m_Written = 0;
  m_Size = 0;
}

} // namespace crowstep
