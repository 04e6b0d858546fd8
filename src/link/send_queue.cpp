/// Encoded frames of a connection that are not written yet.
#include "link/send_queue.h"

namespace crowstep::link {

void SendQueue::recordWritten(std::size_t Count) {
  m_Written += Count;
  if (m_Written <= m_Buffer.size() - m_Written)
    return;
  m_Buffer.erase(m_Buffer.begin(),
                 m_Buffer.begin() + static_cast<std::ptrdiff_t>(m_Written));
  m_Written = 0;
  // A vector keeps its capacity: after a burst, each link would keep the
  // memory of its longest queue.
  constexpr std::size_t KeptBytes = 64 << 10;
  constexpr std::size_t ShrinkFactor = 4;
  if (m_Buffer.capacity() > KeptBytes &&
      m_Buffer.capacity() / ShrinkFactor > m_Buffer.size())
    m_Buffer.shrink_to_fit();
}

} // namespace crowstep::link
