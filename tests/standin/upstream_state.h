/// What stand-in engines and plain services share: reports, the record of
/// what ran, drain and faults.
#ifndef CROWSTEP_STANDIN_UPSTREAM_STATE_H
#define CROWSTEP_STANDIN_UPSTREAM_STATE_H

#include "core/clock.h"

#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace crowstep::standin {

/// One call that ran; the oracle of the tests.
struct CallRecord {
  std::string m_RequestId;       ///< The router's, or empty.
  std::string m_Key;             ///< Idempotency-Key, or empty.
  int m_Priority = 0;            ///< As the router gave it.
  std::uint64_t m_From = 0;      ///< Index of the first token.
  std::uint64_t m_Generated = 0; ///< Tokens that this call computed.
  bool m_Finished = false;       ///< Ran to its end.
  bool m_Cancelled = false;      ///< Ended early at the caller's wish.
};

/// Every call that ran, in the order of arrival.
class CallRecords {
public:
  /// Returns the index of a new record.
  std::size_t add(CallRecord Call);
  CallRecord &at(std::size_t Index) { return m_Calls[Index]; }

  /// Returns {"calls":[...], "generated", "finished", "cancelled"}.
  [[nodiscard]] nlohmann::json all() const;

  /// Returns the sums without the calls.
  [[nodiscard]] nlohmann::json sums() const;

private:
  std::vector<CallRecord> m_Calls; ///< Never shrinks.
};

/// Load at one time.
struct LoadSnapshot {
  TimePoint m_When;             ///< When it was taken.
  std::uint64_t m_Sequence = 0; ///< Grows with each.
  std::size_t m_Running = 0;    ///< Calls that run.
  std::size_t m_Waiting = 0;    ///< Calls that wait.
  std::size_t m_FreeBlocks = 0; ///< Of the prefix cache.
};

/// Load reports and cache events as callers see them: late, and with gaps when
/// there are more events than the window holds.
class LoadReports {
public:
  explicit LoadReports(Duration Lag) : m_Lag(Lag) {}

  void setLag(Duration Lag) { m_Lag = Lag; }
  void note(LoadSnapshot Snapshot);
  void cacheChanged(std::uint64_t Prefix, bool Added, TimePoint Now);

  /// Returns the report that is visible at \p Now.
  [[nodiscard]] nlohmann::json visible(TimePoint Now, bool Leaving);

private:
  struct CacheEvent {
    TimePoint m_When;             ///< When the cache changed.
    std::uint64_t m_Sequence = 0; ///< Grows with each.
    std::uint64_t m_Prefix = 0;   ///< Which prefix.
    bool m_Added = false;         ///< False: evicted.
  };

  Duration m_Lag;                       ///< Age of what callers see.
  std::uint64_t m_LastSnapshot = 0;     ///< Sequence of the newest.
  std::uint64_t m_LastEvent = 0;        ///< Sequence of the newest.
  std::deque<LoadSnapshot> m_Snapshots; ///< Oldest first.
  std::deque<CacheEvent> m_Events;      ///< Oldest first.
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_UPSTREAM_STATE_H
