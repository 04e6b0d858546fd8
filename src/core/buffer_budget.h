/// Memory for bytes that wait for slow peers, shared by all connections of a
/// process.
#ifndef CROWSTEP_CORE_BUFFER_BUDGET_H
#define CROWSTEP_CORE_BUFFER_BUDGET_H

#include <cstddef>
#include <functional>
#include <set>
#include <utility>

namespace crowstep {

/// Divides a number of bytes among the connections that have something to
/// buffer. Each may hold up to a multiple of what is free: a few slow peers may
/// buffer much, and the more of them there are, the less each may hold. Those
/// that hold the most are the first to find no room, and those with little go
/// on. Connections that ask for room before they buffer more hold no more than
/// the total, and one piece each.
class BufferBudget {
public:
  /// A part may hold this many times what is free. With 8, one alone gets eight
  /// ninths of the total, and a hundred leave an 800th of it free.
  static constexpr std::size_t FreeMultiple = 8;

  explicit BufferBudget(std::size_t MaxBytes) : m_MaxBytes(MaxBytes) {}
  BufferBudget(const BufferBudget &) = delete;
  BufferBudget &operator=(const BufferBudget &) = delete;

  /// Returns what all parts hold.
  [[nodiscard]] std::size_t usedBytes() const { return m_UsedBytes; }

  [[nodiscard]] std::size_t maxBytes() const { return m_MaxBytes; }

  /// Replaces the total.
  void setMaxBytes(std::size_t MaxBytes) { m_MaxBytes = MaxBytes; }

  /// Returns whether a part waits for room.
  [[nodiscard]] bool hasWaiting() const { return !m_Waiting.empty(); }

  /// Returns what is left; zero if more than the total is held.
  [[nodiscard]] std::size_t freeBytes() const {
    return m_UsedBytes < m_MaxBytes ? m_MaxBytes - m_UsedBytes : 0;
  }

  /// What one connection holds; given back by its destructor.
  class Part {
  public:
    /// \p OnRoom runs when a part that waits for room has it; it must not
    /// resize parts.
    Part(BufferBudget &Owner, std::function<void()> OnRoom)
        : m_Owner(Owner), m_OnRoom(std::move(OnRoom)) {}
    ~Part();
    Part(const Part &) = delete;
    Part &operator=(const Part &) = delete;

    /// Sets what the part holds. It is never refused: the bytes are there.
    void resize(std::size_t Bytes);

    /// Sets what the part is to hold, if there is room for it, and returns
    /// whether there is; otherwise the part waits for room. A part that holds
    /// all that is used has room for anything.
    bool tryResize(std::size_t Bytes);

    /// Returns whether more may be buffered; otherwise the part waits for room.
    bool hasRoom();

    /// Returns whether the part waits for room.
    [[nodiscard]] bool isWaiting() const { return m_IsWaiting; }

    [[nodiscard]] std::size_t bytes() const { return m_Bytes; }

  private:
    friend class BufferBudget;

    void wait();

    BufferBudget &m_Owner;          ///< Outlives the part.
    std::function<void()> m_OnRoom; ///< Never empty.
    std::size_t m_Bytes = 0;        ///< Counted in the owner.
    bool m_IsWaiting = false;       ///< It is in the owner's set.
  };

private:
  [[nodiscard]] std::size_t maxPart() const {
    return freeBytes() * FreeMultiple;
  }
  void notifyWaiting();

  std::size_t m_MaxBytes;      ///< Of all parts.
  std::size_t m_UsedBytes = 0; ///< Of all parts.
  bool m_IsNotifying = false;  ///< Within notifyWaiting().
  std::set<std::pair<std::size_t, Part *>>
      m_Waiting; ///< Parts that found no room, the smallest first.
};

} // namespace crowstep

#endif // CROWSTEP_CORE_BUFFER_BUDGET_H
