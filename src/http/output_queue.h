/// Bytes that a socket has not accepted yet.
#ifndef CROWSTEP_HTTP_OUTPUT_QUEUE_H
#define CROWSTEP_HTTP_OUTPUT_QUEUE_H

#include <cstddef>
#include <list>
#include <string>
#include <string_view>

namespace crowstep {

/// A queue of bytes in pieces. Written pieces are freed, and an empty queue
/// holds nothing: a string would keep its capacity for as long as the
/// connection is open, and move the rest whenever it frees what is written.
class OutputQueue {
public:
  void append(std::string_view Bytes);

  /// Returns the bytes to write next; empty: there are none. Invalidated by
  /// changes of the queue.
  [[nodiscard]] std::string_view front() const;

  /// The first \p Count bytes of front() were written.
  void recordWritten(std::size_t Count);

  void clear();

  /// Returns how many bytes are not written.
  [[nodiscard]] std::size_t size() const { return m_Size; }
  [[nodiscard]] bool empty() const { return m_Size == 0; }

private:
  std::list<std::string> m_Pieces; ///< None is empty.
  std::size_t m_Written = 0;       ///< Part of the first piece.
  std::size_t m_Size = 0;          ///< See size().
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_OUTPUT_QUEUE_H
