/// The state of one request class in one pool: its contract, queues, limits and
/// statistics.
#ifndef CROWSTEP_DECISION_CLASS_BASE_H
#define CROWSTEP_DECISION_CLASS_BASE_H

#include "decision/flow_base.h"
#include "decision/learned.h"
#include "decision/token_bucket.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace crowstep::decision {

struct Tier;

/// What one workspace uses of one class.
struct WorkspaceUsage {
  std::uint32_t m_Running = 0; ///< Granted and not ended.
  TokenBucket m_RateLimit;     ///< Column workspace_rate.
  TokenBucket m_TokenLimit;    ///< Column workspace_tokens.
  /// Tokens of whole answers.
  Quantile m_OutputLengths{tuning::LengthQuantile};
};

/// The state of one row of the operators' table.
struct ClassState {
  Contract m_Contract; ///< The row in force.
  /// False: no longer in the table; its work runs to its end.
  bool m_Listed = true;
  bool m_MayProbe = false; ///< Its bids may probe an ejected upstream.
  Tier *m_Tier = nullptr;  ///< Null while the row is not part of the pool.
  Lane m_OnTime;           ///< Bids that can still meet their targets.
  Lane m_Late; ///< Bids past their targets, served until their limits.
  std::uint32_t m_Running = 0; ///< Granted and not ended.
  /// Running work not ordered to stop, the least wasteful to stop first.
  VictimQueue m_Victims;
  /// Created on first use.
  std::unordered_map<WorkspaceId, WorkspaceUsage> m_Workspaces;

  TokenBucket m_RateLimit;   ///< Column rate.
  TokenBucket m_TokenLimit;  ///< Column tokens.
  RetryBudget m_RetryBudget; ///< Column retry_percent.

  /// Tokens of whole answers.
  Quantile m_OutputLengths{tuning::LengthQuantile};
  Quantile m_FirstTokenTimes{tuning::FirstTokenQuantile}; ///< Milliseconds.
  /// Time reserved for the first token: bids are late this long before their
  /// targets. At most half the target.
  Duration m_Allowance{};
  MovingAverage m_FirstTokenMean;   ///< Seconds from the grant.
  MovingAverage m_TimePerTokenMean; ///< Seconds per generated token.
  /// Seconds for which a slot is held.
  MovingAverage m_ServiceTime{tuning::ServiceTimeGain};
  /// Arrivals within the limits.
  RateMeter m_ArrivalRate{tuning::ArrivalRateSeconds};

  /// Listed upstreams that have its model.
  std::vector<UpstreamState *> m_EligibleUpstreams;
  double m_Slots = 0.0;      ///< Of the eligible upstreams in use.
  double m_FloorSlots = 0.0; ///< Guaranteed to it by its weight.
  /// Slot-seconds of the floor that it did not get, >= 0.
  double m_FloorDeficit = 0.0;

  mutable double m_ReleaseRate = 0.0; ///< Cache of releaseRate().
  /// Fleet::changeCount() at that time.
  mutable std::uint64_t m_ReleaseRateVersion = 0;

  [[nodiscard]] std::size_t waitingCount() const {
    return m_OnTime.m_ByDeadline.size() + m_Late.m_ByDeadline.size();
  }

  /// Returns how many waiting bids may start now, within the limits on running
  /// work.
  [[nodiscard]] std::size_t demand() const;

  /// Returns the slots that the class may keep ahead of more urgent bids: its
  /// floor, and up to as much again (tuning::FloorCatchUpShare) while it has
  /// been below it.
  [[nodiscard]] double effectiveFloor() const;

  /// Returns the usage of \p Workspace; a new one starts with full buckets.
  WorkspaceUsage &usageOf(WorkspaceId Workspace, TimePoint Now);

  /// Tells whether running work of the class may be stopped for urgent bids.
  [[nodiscard]] bool isPreemptible() const {
    return m_Contract.m_Preemptible && m_Contract.m_Repeatable;
  }

  /// Records the time from a grant to the first token.
  void recordFirstToken(Duration Latency);

  /// Returns the time that must be left before the deadlines of \p L; zero for
  /// late bids, which have missed their targets.
  [[nodiscard]] Duration allowanceOf(const Lane &L) const {
    return &L == &m_OnTime ? m_Allowance : Duration::zero();
  }

  /// Recomputes m_Allowance from the observed first-token times and the
  /// contract.
  void updateAllowance();

  /// Returns the mean seconds for which a slot is held; 0 while unknown.
  [[nodiscard]] double serviceSeconds() const { return m_ServiceTime.value(); }
};

/// Classes of equal urgency and the workspaces' shares among them.
struct Tier {
  std::uint8_t m_Number = 1;  ///< 1 is the most urgent.
  double m_VirtualTime = 0.0; ///< Highest of the flows served so far.
  double m_OfferedLoad = 0.0; ///< Slots that its arrivals need.
  /// The same, with all more urgent tiers.
  double m_CumulativeOfferedLoad = 0.0;
  std::vector<ClassState *> m_Classes; ///< In the order of their ids.
  /// Created on first use.
  std::unordered_map<WorkspaceId, WorkspaceShare> m_Shares;
};

using TierMap = std::map<std::uint8_t, Tier>;

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_CLASS_BASE_H
