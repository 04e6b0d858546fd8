/// Lanes, flows and the workspaces' shares.
#include "decision/queue.h"

#include <algorithm>

namespace crowstep::decision {

namespace {

void linkReady(Flow &F) {
  F.m_Lane->m_ReadyFlows.insert(F);
  F.m_Lane->m_ReadyBidCount += F.m_Queue.size();
}

void unlinkReady(Flow &F) {
  F.m_Lane->m_ReadyFlows.erase(F.m_Lane->m_ReadyFlows.iterator_to(F));
  F.m_Lane->m_ReadyBidCount -= F.m_Queue.size();
}

bool isReady(const Flow &F) { return F.m_ReadyHook.is_linked(); }

void block(Lane &L, WorkspaceId Workspace, bool IsBlocked) {
  const auto It = L.m_Flows.find(Workspace);
  if (It == L.m_Flows.end() || It->second.m_Blocked == IsBlocked)
    return;
  Flow &Changed = It->second;
  Changed.m_Blocked = IsBlocked;
  if (Changed.m_Queue.empty())
    return;
  if (IsBlocked)
    unlinkReady(Changed);
  else
    linkReady(Changed);
}

bool isAtLimit(const ClassState &Class, WorkspaceId Workspace) {
  const std::uint32_t Limit = Class.m_Contract.m_WorkspaceConcurrent;
  const auto It = Class.m_Workspaces.find(Workspace);
  return Limit != 0 && It != Class.m_Workspaces.end() &&
         It->second.m_Running >= Limit;
}

void updateBlocks(ClassState &Class) {
  for (Lane *L : {&Class.m_OnTime, &Class.m_Late})
    for (auto &[Workspace, F] : L->m_Flows)
      block(*L, Workspace, isAtLimit(Class, Workspace));
}

void applyRow(ClassState &Class, const Contract &Row, TimePoint Now) {
  Class.m_Contract = Row;
  Class.m_Listed = true;
  Class.updateAllowance();
  Class.m_RateLimit.setRate(Row.m_MaxRate, Now);
  Class.m_TokenLimit.setRate(Row.m_MaxTokenRate, Now);
  for (auto &[Workspace, Use] : Class.m_Workspaces) {
    Use.m_RateLimit.setRate(Row.m_WorkspaceRate, Now);
    Use.m_TokenLimit.setRate(Row.m_WorkspaceTokenRate, Now);
  }
}

} // namespace

ClassState *Queue::find(ClassId Id) {
  const auto It = m_Classes.find(Id);
  return It == m_Classes.end() || !It->second.m_Listed ? nullptr : &It->second;
}

void Queue::push(Request &Waiting, bool IsLate) {
  ClassState &Class = *Waiting.m_Class;
  Lane &L = IsLate ? Class.m_Late : Class.m_OnTime;
  const WorkspaceId Workspace = Waiting.m_Bid.m_Workspace;
  Flow &F = L.m_Flows[Workspace];
  Waiting.m_Flow = &F;
  L.m_ByDeadline.insert(Waiting);
  ++m_Size;
  if (!F.m_Queue.empty()) {
    F.m_Queue.insert(Waiting);
    L.m_ReadyBidCount += isReady(F) ? 1 : 0;
    return;
  }
  WorkspaceShare &Share = Class.m_Tier->m_Shares[Workspace];
  if (Share.m_Flows.empty())
    Share.m_VirtualTime =
        std::max(Share.m_VirtualTime, Class.m_Tier->m_VirtualTime);
  Share.m_Flows.push_back(&F);
  F.m_Workspace = Workspace;
  F.m_Lane = &L;
  F.m_Share = &Share;
  F.m_Blocked = isAtLimit(Class, Workspace);
  F.m_Queue.insert(Waiting);
  if (!F.m_Blocked)
    linkReady(F);
}

void Queue::remove(Request &Waiting) {
  Flow &F = *Waiting.m_Flow;
  Lane &L = *F.m_Lane;
  L.m_ByDeadline.erase(L.m_ByDeadline.iterator_to(Waiting));
  const bool WasReady = isReady(F);
  if (WasReady && F.m_Queue.size() == 1)
    unlinkReady(F);
  else if (WasReady)
    --L.m_ReadyBidCount;
  F.m_Queue.erase(F.m_Queue.iterator_to(Waiting));
  Waiting.m_Flow = nullptr;
  --m_Size;
  if (F.m_Queue.empty())
    std::erase(F.m_Share->m_Flows, &F);
}

void Queue::charge(ClassState &Class, WorkspaceId Workspace, double Tokens) {
  if (Class.m_Tier == nullptr)
    return;
  WorkspaceShare &Share = Class.m_Tier->m_Shares[Workspace];
  // The key of an element in a sorted set must not change, so the flows are
  // unlinked meanwhile.
  std::vector<Flow *> Ready;
  for (Flow *F : Share.m_Flows)
    if (isReady(*F))
      Ready.push_back(F);
  for (Flow *F : Ready)
    unlinkReady(*F);
  Share.m_VirtualTime += Tokens;
  for (Flow *F : Ready)
    linkReady(*F);
}

void Queue::advanceVirtualTime(const Request &Waiting) {
  Tier &T = *Waiting.m_Class->m_Tier;
  T.m_VirtualTime =
      std::max(T.m_VirtualTime, Waiting.m_Flow->m_Share->m_VirtualTime);
}

void Queue::addRunning(ClassState &Class, WorkspaceId Workspace, int Change,
                       TimePoint Now) {
  WorkspaceUsage &Use = Class.usageOf(Workspace, Now);
  Class.m_Running += static_cast<std::uint32_t>(Change);
  Use.m_Running += static_cast<std::uint32_t>(Change);
  if (Class.m_Contract.m_WorkspaceConcurrent == 0)
    return;
  const bool IsBlocked = isAtLimit(Class, Workspace);
  block(Class.m_OnTime, Workspace, IsBlocked);
  block(Class.m_Late, Workspace, IsBlocked);
}

void Queue::setTable(const ContractTable &Table, const std::string &Service,
                     bool IsFlat, TimePoint Now,
                     std::vector<Request *> &Removed) {
  std::map<ClassId, std::uint8_t> Numbers;
  for (const Contract &Row : Table.m_Contracts)
    if (Service.empty() || Row.m_Service == Service)
      Numbers[Row.m_Id] = IsFlat ? 1 : Row.m_Tier;
  std::vector<MovedBid> Moved;
  for (auto &[Id, Class] : m_Classes) {
    Class.m_Listed = false;
    const auto Number = Numbers.find(Id);
    if (Class.m_Tier != nullptr &&
        (Number == Numbers.end() || Number->second != Class.m_Tier->m_Number))
      removeAll(Class, Moved);
  }
  for (const Contract &Row : Table.m_Contracts)
    applyRow(m_Classes[Row.m_Id], Row, Now);
  rebuildTiers(Numbers);
  for (const MovedBid &Move : Moved)
    if (Move.m_Bid->m_Class->m_Tier != nullptr)
      push(*Move.m_Bid, Move.m_IsLate);
    else
      Removed.push_back(Move.m_Bid);
  for (ClassState *Class : m_PoolClasses)
    updateBlocks(*Class);
}

void Queue::removeAll(ClassState &Class, std::vector<MovedBid> &Moved) {
  const std::size_t First = Moved.size();
  for (Lane *L : {&Class.m_OnTime, &Class.m_Late})
    for (Request &Waiting : L->m_ByDeadline)
      Moved.push_back({&Waiting, L == &Class.m_Late});
  for (std::size_t I = First; I < Moved.size(); ++I)
    remove(*Moved[I].m_Bid);
}

void Queue::rebuildTiers(const std::map<ClassId, std::uint8_t> &Numbers) {
  // A tier's shares outlive a change of the table; only its list of rows is
  // rebuilt.
  for (auto &[Number, T] : m_Tiers)
    T.m_Classes.clear();
  m_PoolClasses.clear();
  std::uint8_t Last = 0;
  for (auto &[Id, Class] : m_Classes) {
    const auto Number = Numbers.find(Id);
    Class.m_Tier = nullptr;
    if (Number == Numbers.end())
      continue;
    Tier &T = m_Tiers[Number->second];
    T.m_Number = Number->second;
    T.m_Classes.push_back(&Class);
    Class.m_Tier = &T;
    m_PoolClasses.push_back(&Class);
    Last = std::max(Last, T.m_Number);
  }
  for (ClassState *Class : m_PoolClasses)
    Class->m_MayProbe = Class->m_Tier->m_Number == Last;
}

} // namespace crowstep::decision
