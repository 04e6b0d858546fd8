/// Calls that wait in this gateway until an engine has room for them.
///
/// A burst can take all slots of the engines that hold a call's prefix. A queue
/// inside an engine can't be moved, is lost with the engine and lets urgent
/// calls preempt others in the middle of their streams; an engine with a free
/// slot would have to read the prefix again. Calls that wait here can go to any
/// engine, and a refusal may still state that they have not run.
///
/// Gateways share the engines' room without coordination: each tries again with
/// what it knows of all calls placed by then. Without digests it knows only its
/// own calls and the engines' load reports; engines then get more calls than
/// they have slots for, and queue the rest.
#ifndef CROWSTEP_GATEWAY_WAIT_QUEUE_H
#define CROWSTEP_GATEWAY_WAIT_QUEUE_H

#include "balance/balance_type.h"
#include "core/scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace crowstep::gateway {

/// What waiting calls are ordered by.
struct WaitingCall {
  balance::Urgency m_Urgency = 0; ///< 0 is the most urgent.
  std::string m_Workspace;        ///< Of the call; may be empty.
  PoolId m_Pool;                  ///< Service that it waits for.
  bool m_IsLate = false; ///< It can't be in time any more. Those that can go
                         ///< first.
};

class WaitQueue {
public:
  /// Maximum of waiting calls. With bodies of up to 110 KB they take 14 MB, a
  /// seventh of the smallest instance's memory.
  static constexpr std::size_t MaxCalls = 128;

  /// Interval at which placement of all calls is retried: half of
  /// DigestExchange::Interval, and well under the part of a target that a call
  /// may wait.
  static constexpr Duration RetryInterval = std::chrono::milliseconds(50);

  /// A place in the queue; destroying it removes the call.
  class Entry {
  public:
    ~Entry() { m_Queue.remove(m_Number); }
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    /// The call can't be in time any more.
    void setLate();

  private:
    friend class WaitQueue;
    Entry(WaitQueue &Queue, std::uint64_t Number)
        : m_Queue(Queue), m_Number(Number) {}

    WaitQueue &m_Queue;     ///< Outlives the entry.
    std::uint64_t m_Number; ///< Key of the call there.
  };

  explicit WaitQueue(Scheduler &Timers) : m_RetryTimer(Timers) {}

  [[nodiscard]] bool isFull() const { return m_Calls.size() >= MaxCalls; }
  [[nodiscard]] std::size_t size() const { return m_Calls.size(); }

  /// Returns whether a call of the same workspace, service and urgency waits.
  /// One that arrives later must not be placed before it.
  [[nodiscard]] bool hasEarlier(const WaitingCall &Call) const;

  /// Adds a call; \p RetryPlacement runs each RetryInterval until the returned
  /// entry is destroyed, which it may do itself.
  std::unique_ptr<Entry> enqueue(WaitingCall Call,
                                 std::function<void()> RetryPlacement);

private:
  /// A call and the callback that retries its placement.
  struct QueuedCall {
    WaitingCall m_Call;
    std::function<void()> m_RetryPlacement;
  };

  void remove(std::uint64_t Number);
  void retryPlacements();
  [[nodiscard]] std::vector<std::uint64_t> placementOrder() const;

  std::map<std::uint64_t, QueuedCall> m_Calls; ///< By arrival.
  std::uint64_t m_LastNumber = 0;              ///< Numbers start at 1.
  Timer m_RetryTimer;                          ///< Runs while calls wait.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_WAIT_QUEUE_H
