/// Call records and load reports of stand-in engines and plain services.
#ifndef CROWSTEP_STANDIN_UPSTREAM_STATE_H
#define CROWSTEP_STANDIN_UPSTREAM_STATE_H

#include "core/clock.h"

#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace crowstep::standin {

/// One call that ran, with which tests compare what callers got.
struct CallRecord {
  std::string m_RequestId;        ///< Set by the router, or empty.
  std::string m_IdempotencyKey;   ///< Idempotency-Key, or empty.
  int m_Priority = 0;             ///< Set by the router.
  std::uint64_t m_FirstToken = 0; ///< Index of the first token.
  std::uint64_t m_Generated = 0;  ///< Tokens that this call computed.
  bool m_Finished = false;        ///< Ran to completion.
  bool m_Cancelled = false;       ///< Ended early by the caller.
};

/// Records of all calls, in the order in which they were added.
class CallRecords {
public:
  /// Adds a record and returns its index.
  std::size_t add(CallRecord Call);
  CallRecord &at(std::size_t Index) { return m_Calls[Index]; }

  /// Returns {"calls":[...], "count", "generated", "finished", "cancelled"}.
  [[nodiscard]] nlohmann::json allJson() const;

  /// Returns allJson() without "calls".
  [[nodiscard]] nlohmann::json sumsJson() const;

private:
  std::vector<CallRecord> m_Calls; ///< Never shrinks.
};

/// Load of an upstream at one time.
struct LoadSnapshot {
  TimePoint m_TakenAt;          ///< Time of the snapshot.
  std::uint64_t m_Sequence = 0; ///< Grows with each snapshot.
  std::size_t m_Running = 0;    ///< Running calls.
  std::size_t m_Waiting = 0;    ///< Calls that wait for a slot.
  std::size_t m_FreeBlocks = 0; ///< Of the prefix cache.
};

/// Load reports and cache events as callers get them: late, and with gaps if
/// there are more cache events between two reports than one report holds.
class LoadReports {
public:
  explicit LoadReports(Duration Lag) : m_Lag(Lag) {}

  void setLag(Duration Lag) { m_Lag = Lag; }
  void addSnapshot(LoadSnapshot Snapshot);
  void addCacheEvent(std::uint64_t Prefix, bool Added, TimePoint Now);

  /// Returns the report to give at \p Now, of the state as long ago as the lag.
  /// Drops the snapshots before it, so time must not go back.
  [[nodiscard]] nlohmann::json visibleReport(TimePoint Now, bool Draining);

private:
  struct CacheEvent {
    TimePoint m_ChangedAt;        ///< Time of the change.
    std::uint64_t m_Sequence = 0; ///< Grows with each event.
    std::uint64_t m_Prefix = 0;   ///< Hash of the prefix.
    bool m_Added = false;         ///< False: evicted.
  };

  Duration m_Lag;                       ///< Age of what reports contain.
  std::uint64_t m_LastSnapshot = 0;     ///< Newest sequence number.
  std::uint64_t m_LastEvent = 0;        ///< Newest sequence number.
  std::deque<LoadSnapshot> m_Snapshots; ///< Oldest first.
  std::deque<CacheEvent> m_Events;      ///< Oldest first.
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_UPSTREAM_STATE_H
