/// Decides on the requests of one pool: admission, order, placement,
/// preemption.
///
/// Callers need only this header and decision_type.h; docs/DECIDER.md describes
/// how to drive it.
#ifndef CROWSTEP_DECISION_DECIDER_H
#define CROWSTEP_DECISION_DECIDER_H

#include "decision/decision_type.h"

#include <memory>
#include <optional>
#include <vector>

namespace crowstep::decision {

/// How a Decider orders and places requests; the baselines serve for
/// comparison.
enum class PolicyKind : std::uint8_t {
  Crowstep,   ///< By the operators' table.
  RoundRobin, ///< First come, first served, upstreams in turn.
  /// First come, first served, to the upstream with the fewest grants.
  LeastInFlight,
};

/// Settings that are not part of the operators' table.
struct DeciderConfig {
  PolicyKind m_Policy = PolicyKind::Crowstep;         ///< Order and placement.
  Duration m_GrantValidity = std::chrono::seconds(2); ///< > 0.
  double m_MaxEjectedShare = 0.25; ///< Of a pool's upstreams, 0 to 0.5.
  /// Breaks ties; the same seed gives the same choices.
  std::uint64_t m_Seed = 1;
  /// After the first event a new owner grants nothing for this long, so that
  /// reports of running work arrive first.
  Duration m_RebuildWindow{};
};

/// Counters and gauges of one Decider.
struct DeciderStats {
  std::uint64_t m_Waiting = 0;          ///< Bids in the queue.
  std::uint64_t m_Running = 0;          ///< Grants that have not ended.
  std::uint64_t m_Granted = 0;          ///< Grants since the start.
  std::uint64_t m_Preempted = 0;        ///< Preemptions since the start.
  std::uint64_t m_Ejected = 0;          ///< Upstreams that are ejected.
  std::vector<std::uint64_t> m_Refused; ///< By RefusalReason.
};

/// Decides for one pool. Not thread-safe; drive it from one thread.
class Decider {
public:
  explicit Decider(const DeciderConfig &Config);
  ~Decider();
  Decider(const Decider &) = delete;
  Decider &operator=(const Decider &) = delete;

  /// Handles one event at the time \p Now, which must not decrease between
  /// calls, and appends the resulting actions to \p Actions, to be carried out
  /// in this order.
  /// \throws DecisionError when the event violates a documented precondition.
  void handle(const Event &NextEvent, TimePoint Now,
              std::vector<Action> &Actions);

  /// Returns when the next Tick is due; empty if none is.
  [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

  /// Returns the current counters and gauges.
  [[nodiscard]] DeciderStats stats() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl; ///< Never null.
};

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_DECIDER_H
