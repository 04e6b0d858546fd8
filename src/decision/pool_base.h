/// The whole state of one pool, which the decisions share.
#ifndef CROWSTEP_DECISION_POOL_BASE_H
#define CROWSTEP_DECISION_POOL_BASE_H

#include "decision/decider.h"
#include "decision/fleet.h"
#include "decision/queue.h"

#include <deque>
#include <set>
#include <utility>

namespace crowstep::decision {

/// One pool. Only the handling of an event changes it; m_Now and m_Actions are
/// that event's.
struct Pool {
  explicit Pool(const DeciderConfig &Config);

  [[nodiscard]] bool isBaseline() const {
    return m_Config.m_Policy != PolicyKind::Crowstep;
  }
  /// Tells whether a new owner still waits to hear what runs already.
  [[nodiscard]] bool isRebuilding() const { return m_Now < m_RebuildUntil; }

  DeciderConfig m_Config;        ///< As given.
  TimePoint m_Now;               ///< Time of the event; never goes back.
  TimePoint m_RebuildUntil;      ///< Nothing is granted before.
  bool m_KnowsUpstreams = false; ///< Before, nobody is refused for want of one.
  bool m_HasStarted = false;     ///< An event was handled.
  std::vector<Action> *m_Actions = nullptr; ///< Answer to the event.
  ContractTable m_Table;         ///< In force; the version never goes back.
  std::string m_Service;         ///< Of the upstreams; empty until known.
  RequestTable m_Requests;       ///< All known; outlives the queues below.
  Queue m_Queue;                 ///< Waiting bids.
  Fleet m_Fleet;                 ///< Upstreams.
  std::uint64_t m_NextOrder = 0; ///< Arrivals so far.
  std::uint64_t m_Choices = 0;   ///< Placements so far; breaks ties.
  UpstreamId m_LastTurn;         ///< Of the round robin.
  double m_MedianSlowness = 0.0; ///< Of the upstreams; 0: not known.
  std::uint32_t m_Running = 0;   ///< Granted requests.
  std::set<std::pair<TimePoint, RequestId>> m_Lapses;      ///< Silent grants.
  std::deque<std::pair<TimePoint, RequestId>> m_Returning; ///< By time.
  std::deque<std::pair<TimePoint, RequestId>> m_Stopping;  ///< By time.
  TimePoint m_OfferedUntil; ///< The tiers' offered load is fresh so long.
  std::size_t m_Stops = 0;  ///< Ordered preemptions not yet followed.
  TimePoint m_LastStop;     ///< Time of the last such order.
  Mean m_StopDelay;         ///< Seconds from the order to the free slot.
  Duration m_StopLead = tuning::FirstPreemptDelay + tuning::PreemptMargin;
  ///< Time to be left for a slot to be taken back.
  DeciderStats m_Stats; ///< Counters; gauges are filled on demand.
};

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_POOL_BASE_H
