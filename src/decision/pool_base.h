/// The state of one pool, shared by the parts of the decision.
#ifndef CROWSTEP_DECISION_POOL_BASE_H
#define CROWSTEP_DECISION_POOL_BASE_H

#include "decision/decider.h"
#include "decision/fleet.h"
#include "decision/queue.h"

#include <deque>
#include <set>
#include <utility>

namespace crowstep::decision {

/// One pool. It changes only while an event is handled; m_Now and m_Actions
/// belong to that event.
struct Pool {
  explicit Pool(const DeciderConfig &Config);

  [[nodiscard]] bool isBaseline() const {
    return m_Config.m_Policy != PolicyKind::Crowstep;
  }
  /// Tells whether a new owner still waits for reports of running work.
  [[nodiscard]] bool isRebuilding() const { return m_Now < m_RebuildUntil; }

  DeciderConfig m_Config;   ///< Set at construction.
  TimePoint m_Now;          ///< Time of the event; never decreases.
  TimePoint m_RebuildUntil; ///< Nothing is granted before.
  /// False: no list received yet, so no bid is refused for lack of an upstream.
  bool m_KnowsUpstreams = false;
  bool m_HasStarted = false; ///< An event was handled.
  /// Actions for the event; null between events.
  std::vector<Action> *m_Actions = nullptr;
  ContractTable m_Table; ///< In force; the version never decreases.
  std::string m_Service; ///< Of the upstreams; empty until known.
  /// All known requests. Must outlive the queues below, which link to them.
  RequestTable m_Requests;
  Queue m_Queue;                         ///< Waiting bids.
  Fleet m_Fleet;                         ///< Upstreams.
  std::uint64_t m_NextArrivalNumber = 0; ///< Number of arrivals so far.
  std::uint64_t m_PlacementCount = 0;    ///< Placements so far; breaks ties.
  UpstreamId m_LastRoundRobin;   ///< Upstream last chosen by round robin.
  double m_MedianSlowness = 0.0; ///< Of the upstreams; 0: unknown.
  std::uint32_t m_Running = 0;   ///< Granted requests.
  /// Of grants without a sign of use.
  std::set<std::pair<TimePoint, RequestId>> m_SilenceDeadlines;
  /// In order of time.
  std::deque<std::pair<TimePoint, RequestId>> m_AwaitingRebid;
  /// Orders to stop, in order of time.
  std::deque<std::pair<TimePoint, RequestId>> m_StopOrders;
  /// The tiers' offered load is recomputed then.
  TimePoint m_OfferedLoadExpiry;
  /// Orders to stop that have not taken effect.
  std::size_t m_PendingStops = 0;
  TimePoint m_LastStopAt; ///< Time of the last order to stop.
  /// Seconds from an order to stop until the slot is free.
  MovingAverage m_StopDelay;
  /// Time to allow for stopping running work.
  Duration m_StopLeadTime = tuning::InitialPreemptDelay + tuning::PreemptMargin;
  DeciderStats m_Stats; ///< Counters; the gauges are computed by stats().
};

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_POOL_BASE_H
