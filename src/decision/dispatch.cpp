/// Matching of waiting bids with free slots, in the order of service.
#include "decision/dispatch_func.h"

#include "decision/floor_func.h"
#include "decision/placement_func.h"
#include "decision/work_func.h"

#include <boost/container/small_vector.hpp>

#include <algorithm>

namespace crowstep::decision {

namespace {

/// A bid and the upstream that can take it.
struct Match {
  Request *m_Bid = nullptr;           ///< Null: none found.
  UpstreamState *m_Serving = nullptr; ///< Null: none found.
};

bool isAtLimit(const ClassState &Class) {
  const std::uint32_t Limit = Class.m_Contract.m_MaxConcurrent;
  return Limit != 0 && Class.m_Running >= Limit;
}

/// Tries the bids at the head of the first flows. A later flow's bid is tried
/// only when an earlier one avoids the only free upstream, so that it does not
/// block the others.
Match matchLane(Pool &P, Lane &L) {
  unsigned Scanned = 0;
  for (Flow &F : L.m_ReadyFlows) {
    Request &Head = *F.m_Queue.begin();
    if (UpstreamState *State = chooseUpstream(P, Head))
      return {&Head, State};
    if (++Scanned == tuning::MaxFlowScan)
      break;
  }
  return {};
}

bool isBefore(const Lane *A, const Lane *B) {
  const Flow &First = *A->m_ReadyFlows.begin();
  const Flow &Second = *B->m_ReadyFlows.begin();
  const Request &FirstHead = *First.m_Queue.begin();
  const Request &SecondHead = *Second.m_Queue.begin();
  return std::tie(First.m_Share->m_VirtualTime, FirstHead.m_FlowKey,
                  FirstHead.m_ArrivalNumber) <
         std::tie(Second.m_Share->m_VirtualTime, SecondHead.m_FlowKey,
                  SecondHead.m_ArrivalNumber);
}

using Lanes = boost::container::small_vector<Lane *, 8>;

Match matchTier(Pool &P, const Tier &T, Lane ClassState::*Kind) {
  Lanes Open;
  for (ClassState *Class : T.m_Classes) {
    Lane &L = Class->*Kind;
    if (!L.m_ReadyFlows.empty() && !isAtLimit(*Class) &&
        hasFreeUpstream(P, *Class))
      Open.push_back(&L);
  }
  std::sort(Open.begin(), Open.end(), isBefore);
  for (Lane *L : Open)
    if (const Match Found = matchLane(P, *L); Found.m_Bid != nullptr)
      return Found;
  return {};
}

Match matchFloor(Pool &P) {
  ClassState *Class = classWithLargestDeficit(P);
  if (Class == nullptr)
    return {};
  for (Lane *L : {&Class->m_OnTime, &Class->m_Late})
    if (const Match Found = matchLane(P, *L); Found.m_Bid != nullptr)
      return Found;
  return {};
}

Match matchNext(Pool &P) {
  if (const Match Found = matchFloor(P); Found.m_Bid != nullptr)
    return Found;
  for (const auto &[Number, Tier] : P.m_Queue.tiers())
    for (Lane ClassState::*Kind : {&ClassState::m_OnTime, &ClassState::m_Late})
      if (const Match Found = matchTier(P, Tier, Kind); Found.m_Bid != nullptr)
        return Found;
  return {};
}

} // namespace

void dispatch(Pool &P) {
  if (P.isRebuilding())
    return;
  while (P.m_Queue.size() > 0 && P.m_Fleet.hasFreeSlot(P.m_Now)) {
    const Match Next = matchNext(P);
    if (Next.m_Bid == nullptr)
      return;
    grant(P, *Next.m_Bid, *Next.m_Serving);
  }
}

} // namespace crowstep::decision
