/// Encoded frames of a connection that are not written yet.
#ifndef CROWSTEP_LINK_SEND_QUEUE_H
#define CROWSTEP_LINK_SEND_QUEUE_H

#include "link/frame_codec.h"

#include <cstdint>
#include <vector>

namespace crowstep::link {

class SendQueue {
public:
  /// Returns the buffer, at whose end frames are appended.
  [[nodiscard]] std::vector<std::uint8_t> &buffer() { return m_Buffer; }

  /// Returns what is not written yet. Invalidated by changes of the queue.
  [[nodiscard]] Bytes unwritten() const {
    return Bytes(m_Buffer).subspan(m_Written);
  }

  /// The first \p Count bytes of unwritten() were written. Frees the written
  /// bytes once they are the larger part: a peer that reads slowly but steadily
  /// may never leave the queue empty.
  void recordWritten(std::size_t Count);

private:
  std::vector<std::uint8_t> m_Buffer; ///< Written bytes, then unwritten ones.
  std::size_t m_Written = 0; ///< Bytes; at most as many as are unwritten.
};

} // namespace crowstep::link

#endif // CROWSTEP_LINK_SEND_QUEUE_H
