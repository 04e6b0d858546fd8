/// Memory for answers that upstreams have not finished.
#ifndef CROWSTEP_GATEWAY_ANSWER_MEMORY_H
#define CROWSTEP_GATEWAY_ANSWER_MEMORY_H

#include <cstddef>

namespace crowstep::gateway {

/// Bounds what all calls of this instance hold together. Each answer has a
/// bound of its own, but a hundred upstreams that send without end at once
/// would use up the memory before they reach it.
class AnswerMemory {
public:
  /// Bytes of all calls together.
  static constexpr std::size_t MaxBytes = 32 << 20;

  /// Bytes that a call may hold even if others have used up the rest, so that
  /// answers of a usual size don't fail.
  static constexpr std::size_t OwnBytes = 64 << 10;

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
      if (Bytes > m_Bytes && Bytes > OwnBytes && Others + Bytes > MaxBytes)
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
  std::size_t m_Bytes = 0; ///< Sum of all parts.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_ANSWER_MEMORY_H
