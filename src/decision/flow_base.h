/// Queues of one class: a lane has one flow for each workspace.
#ifndef CROWSTEP_DECISION_FLOW_BASE_H
#define CROWSTEP_DECISION_FLOW_BASE_H

#include "decision/request_base.h"

#include <unordered_map>
#include <vector>

namespace crowstep::decision {

struct Lane;

/// A workspace's share of one tier. Its virtual time grows with the tokens that
/// it was served; the lowest one is served next.
struct WorkspaceShare {
  /// Changed only by Queue::charge() and Queue::push().
  double m_VirtualTime = 0.0;
  std::vector<Flow *> m_Flows; ///< Those with waiting bids.
};

/// The waiting bids of one workspace in one lane, ordered by target.
struct Flow {
  WorkspaceId m_Workspace;           ///< Owner of the bids.
  Lane *m_Lane = nullptr;            ///< Never null once it has had bids.
  WorkspaceShare *m_Share = nullptr; ///< Never null while it has bids.
  FlowQueue m_Queue;                 ///< Waiting bids.
  bool m_Blocked = false; ///< The workspace is at its limit on running work.
  boost::intrusive::set_member_hook<> m_ReadyHook; ///< In Lane::m_ReadyFlows.
};

/// Orders flows by their workspace's virtual time, the lowest first.
struct ShareOrder {
  bool operator()(const Flow &A, const Flow &B) const {
    return std::tie(A.m_Share->m_VirtualTime, A.m_Workspace) <
           std::tie(B.m_Share->m_VirtualTime, B.m_Workspace);
  }
};

using ReadyFlows = boost::intrusive::set<
    Flow, boost::intrusive::compare<ShareOrder>,
    boost::intrusive::member_hook<Flow, boost::intrusive::set_member_hook<>,
                                  &Flow::m_ReadyHook>>;

/// One half of a class's queue: bids that can still meet their targets, or late
/// ones. Late bids are served after the others; otherwise a queue that once
/// grew too long would be served by age, and every answer would come just too
/// late.
struct Lane {
  std::unordered_map<WorkspaceId, Flow> m_Flows; ///< Kept when empty.
  ReadyFlows m_ReadyFlows;    ///< Flows that have bids and are not blocked.
  DeadlineQueue m_ByDeadline; ///< All bids of the lane.
  std::size_t m_ReadyBidCount = 0; ///< Bids of the ready flows.
};

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_FLOW_BASE_H
