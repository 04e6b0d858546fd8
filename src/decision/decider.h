/// The deciding library: admission, order, placement, preemption of one pool.
///
/// This header and decision_type.h are all that a driver needs; docs/DECIDER.md
/// describes how anyone drives it.
#ifndef CROWSTEP_DECISION_DECIDER_H
#define CROWSTEP_DECISION_DECIDER_H

#include "decision/decision_type.h"

#include <memory>
#include <optional>
#include <vector>

namespace crowstep::decision {

/// How a Decider orders and places; the baselines exist to be measured against.
enum class PolicyKind : std::uint8_t {
  Crowstep,      ///< The table's promises.
  RoundRobin,    ///< First come, first served, upstreams in turn.
  LeastInFlight, ///< First come, first served, least known in flight.
};

/// Figures that are no part of the operators' table.
struct DeciderConfig {
  PolicyKind m_Policy = PolicyKind::Crowstep;         ///< See above.
  Duration m_GrantValidity = std::chrono::seconds(2); ///< > 0.
  double m_MaxEjectedShare = 0.25; ///< Of a pool's upstreams, 0 to 0.5.
  std::uint64_t m_Seed = 1;        ///< Breaks ties; same seed, same choices.
  Duration m_RebuildWindow{}; ///< From the first event on a new owner grants
                              ///< nothing, to hear first what runs already.
};

/// Counters and gauges of one Decider.
struct DeciderStats {
  std::uint64_t m_Waiting = 0;          ///< Bids in the queue now.
  std::uint64_t m_Running = 0;          ///< Grants not ended now.
  std::uint64_t m_Granted = 0;          ///< Grants since the start.
  std::uint64_t m_Preempted = 0;        ///< Preemptions since the start.
  std::uint64_t m_Ejected = 0;          ///< Upstreams ejected now.
  std::vector<std::uint64_t> m_Refused; ///< By RefusalReason.
};

/// Decides for one pool. Not thread-safe; one loop drives it.
class Decider {
public:
  explicit Decider(const DeciderConfig &Config);
  ~Decider();
  Decider(const Decider &) = delete;
  Decider &operator=(const Decider &) = delete;

  /// Takes one event at the time \p Now, which never goes back, and appends
  /// what is to be done to \p Actions in the order in which it is to be done.
  /// \throws DecisionError when the event breaks a stated precondition.
  void handle(const Event &NextEvent, TimePoint Now,
              std::vector<Action> &Actions);

  /// Returns when the next Tick is due, or nothing while there is none.
  [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

  /// Returns the present counters.
  [[nodiscard]] DeciderStats stats() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl; ///< Never null.
};

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_DECIDER_H
