/// The order of service.
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
  Request *m_Bid = nullptr;     ///< Null: none found.
  Serving *m_Serving = nullptr; ///< Null: none found.
};

bool isAtLimit(const ClassState &Class) {
  const std::uint32_t Limit = Class.m_Contract.m_MaxConcurrent;
  return Limit != 0 && Class.m_Running >= Limit;
}

/// The first flows' heads; later flows only when an earlier bid avoids the one
/// upstream that is free, so that it doesn't hold up the others.
Match matchLane(Pool &In, Lane &Of) {
  unsigned Scanned = 0;
  for (Flow &One : Of.m_Ready) {
    Request &Head = *One.m_Queue.begin();
    if (Serving *Where = chooseUpstream(In, Head))
      return {&Head, Where};
    if (++Scanned == tuning::MaxFlowScan)
      break;
  }
  return {};
}

bool isBefore(const Lane *A, const Lane *B) {
  const Flow &First = *A->m_Ready.begin();
  const Flow &Second = *B->m_Ready.begin();
  const Request &Mine = *First.m_Queue.begin();
  const Request &Other = *Second.m_Queue.begin();
  return std::tie(First.m_Share->m_Virtual, Mine.m_FlowKey, Mine.m_Order) <
         std::tie(Second.m_Share->m_Virtual, Other.m_FlowKey, Other.m_Order);
}

using Lanes = boost::container::small_vector<Lane *, 8>;

Match matchTier(Pool &In, const Tier &Of, Lane ClassState::*Which) {
  Lanes Open;
  for (ClassState *Class : Of.m_Classes) {
    Lane &One = Class->*Which;
    if (!One.m_Ready.empty() && !isAtLimit(*Class) && hasPlace(In, *Class))
      Open.push_back(&One);
  }
  std::sort(Open.begin(), Open.end(), isBefore);
  for (Lane *One : Open)
    if (const Match Found = matchLane(In, *One); Found.m_Bid != nullptr)
      return Found;
  return {};
}

Match matchOwed(Pool &In) {
  ClassState *Owed = owedClass(In);
  if (Owed == nullptr)
    return {};
  for (Lane *One : {&Owed->m_OnTime, &Owed->m_Late})
    if (const Match Found = matchLane(In, *One); Found.m_Bid != nullptr)
      return Found;
  return {};
}

Match matchNext(Pool &In) {
  if (const Match Found = matchOwed(In); Found.m_Bid != nullptr)
    return Found;
  for (const auto &[Number, Tier] : In.m_Queue.tiers())
    for (Lane ClassState::*Which : {&ClassState::m_OnTime, &ClassState::m_Late})
      if (const Match Found = matchTier(In, Tier, Which);
          Found.m_Bid != nullptr)
        return Found;
  return {};
}

} // namespace

void dispatch(Pool &In) {
  if (In.isRebuilding())
    return;
  while (In.m_Queue.size() > 0 && In.m_Fleet.hasFreeSlot(In.m_Now)) {
    const Match Next = matchNext(In);
    if (Next.m_Bid == nullptr)
      return;
    grant(In, *Next.m_Bid, *Next.m_Serving);
  }
}

} // namespace crowstep::decision
