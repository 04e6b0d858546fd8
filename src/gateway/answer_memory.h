/// Memory for answers that upstreams have not finished.
#ifndef CROWSTEP_GATEWAY_ANSWER_MEMORY_H
#define CROWSTEP_GATEWAY_ANSWER_MEMORY_H

#include "core/buffer_budget.h"

#include <cstddef>

namespace crowstep::gateway {

/// Bounds what all calls of this instance hold together, with the answers that
/// callers have not read. Each answer has a
/// bound of its own, but a hundred upstreams that send without end at once
/// would use up the memory before they reach it.
class AnswerMemory {
public:
  /// Bytes of all calls together, unless setMaxBytes() has set others.
  static constexpr std::size_t MaxBytes = 32 << 20;

  /// Bytes that a call may hold even if others have used up the rest, so that
  /// answers of a usual size don't fail.
  static constexpr std::size_t OwnBytes = 64 << 10;

  void setMaxBytes(std::size_t Bytes) { m_MaxBytes = Bytes; }

  /// Counts what callers have not read as well. \p Unread outlives this object.
  void countUnread(const BufferBudget &Unread) { m_Unread = &Unread; }

  /// What one call holds; given back by its destructor.
  class Part {
  public:
    explicit Part(AnswerMemory &Owner) : m_Owner(Owner) {}
    ~Part() { release(); }
    Part(const Part &) = delete;
    Part &operator=(const Part &) = delete;

    /// Sets the size of the part and returns true, unless it would grow beyond
    /// what is left.
    bool tryResize(std::size_t Bytes) {
      const std::size_t Others = m_Owner.m_Bytes - m_Bytes;
      const std::size_t Unread =
          m_Owner.m_Unread == nullptr ? 0 : m_Owner.m_Unread->usedBytes();
      if (Bytes > m_Bytes && Bytes > OwnBytes &&
          Others + Unread + Bytes > m_Owner.m_MaxBytes)
        return false;
      m_Owner.m_Bytes = Others + Bytes;
      m_Bytes = Bytes;
      return true;
    }

    void release() { tryResize(0); }

  private:
    AnswerMemory &m_Owner;   ///< Outlives the part.
    std::size_t m_Bytes = 0; ///< Counted in the owner.
  };

private:
  std::size_t m_MaxBytes = MaxBytes;      ///< See setMaxBytes().
  std::size_t m_Bytes = 0;                ///< Sum of all parts.
  const BufferBudget *m_Unread = nullptr; ///< See countUnread().
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_ANSWER_MEMORY_H
