/// Lanes, flows and the workspaces' accounts.
#include "decision/queue.h"

#include <algorithm>

namespace crowstep::decision {

namespace {

void linkReady(Flow &One) {
  One.m_Lane->m_Ready.insert(One);
  One.m_Lane->m_ReadyCount += One.m_Queue.size();
}

void unlinkReady(Flow &One) {
  One.m_Lane->m_Ready.erase(One.m_Lane->m_Ready.iterator_to(One));
  One.m_Lane->m_ReadyCount -= One.m_Queue.size();
}

bool isReady(const Flow &One) { return One.m_ReadyHook.is_linked(); }

void block(Lane &In, WorkspaceId Workspace, bool IsBlocked) {
  const auto At = In.m_Flows.find(Workspace);
  if (At == In.m_Flows.end() || At->second.m_Blocked == IsBlocked)
    return;
  Flow &Changed = At->second;
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
  const auto Use = Class.m_Workspaces.find(Workspace);
  return Limit != 0 && Use != Class.m_Workspaces.end() &&
         Use->second.m_Running >= Limit;
}

void updateBlocks(ClassState &Class) {
  for (Lane *In : {&Class.m_OnTime, &Class.m_Late})
    for (auto &[Workspace, One] : In->m_Flows)
      block(*In, Workspace, isAtLimit(Class, Workspace));
}

void applyRow(ClassState &Class, const Contract &Row, TimePoint Now) {
  Class.m_Contract = Row;
  Class.m_Listed = true;
  Class.updateAllowance();
  Class.m_Rate.setRate(Row.m_MaxRate, Now);
  Class.m_Tokens.setRate(Row.m_MaxTokenRate, Now);
  for (auto &[Workspace, Use] : Class.m_Workspaces) {
    Use.m_Rate.setRate(Row.m_WorkspaceRate, Now);
    Use.m_Tokens.setRate(Row.m_WorkspaceTokenRate, Now);
  }
}

} // namespace

ClassState *Queue::find(ClassId Id) {
  const auto At = m_Classes.find(Id);
  return At == m_Classes.end() || !At->second.m_Listed ? nullptr : &At->second;
}

void Queue::push(Request &Bid, bool IsLate) {
  ClassState &Class = *Bid.m_Class;
  Lane &Into = IsLate ? Class.m_Late : Class.m_OnTime;
  const WorkspaceId Workspace = Bid.m_Bid.m_Workspace;
  Flow &Own = Into.m_Flows[Workspace];
  Bid.m_Flow = &Own;
  Into.m_ByDeadline.insert(Bid);
  ++m_Size;
  if (!Own.m_Queue.empty()) {
    Own.m_Queue.insert(Bid);
    Into.m_ReadyCount += isReady(Own) ? 1 : 0;
    return;
  }
  WorkspaceShare &Share = Class.m_Tier->m_Shares[Workspace];
  if (Share.m_Flows.empty())
    Share.m_Virtual = std::max(Share.m_Virtual, Class.m_Tier->m_Virtual);
  Share.m_Flows.push_back(&Own);
  Own.m_Workspace = Workspace;
  Own.m_Lane = &Into;
  Own.m_Share = &Share;
  Own.m_Blocked = isAtLimit(Class, Workspace);
  Own.m_Queue.insert(Bid);
  if (!Own.m_Blocked)
    linkReady(Own);
}

void Queue::remove(Request &Bid) {
  Flow &Own = *Bid.m_Flow;
  Lane &From = *Own.m_Lane;
  From.m_ByDeadline.erase(From.m_ByDeadline.iterator_to(Bid));
  const bool WasReady = isReady(Own);
  if (WasReady && Own.m_Queue.size() == 1)
    unlinkReady(Own);
  else if (WasReady)
    --From.m_ReadyCount;
  Own.m_Queue.erase(Own.m_Queue.iterator_to(Bid));
  Bid.m_Flow = nullptr;
  --m_Size;
  if (Own.m_Queue.empty())
    std::erase(Own.m_Share->m_Flows, &Own);
}

void Queue::charge(ClassState &Class, WorkspaceId Workspace, double Tokens) {
  if (Class.m_Tier == nullptr)
    return;
  WorkspaceShare &Share = Class.m_Tier->m_Shares[Workspace];
  // Sorted sets must not see a key change underneath them.
  std::vector<Flow *> Ready;
  for (Flow *One : Share.m_Flows)
    if (isReady(*One))
      Ready.push_back(One);
  for (Flow *One : Ready)
    unlinkReady(*One);
  Share.m_Virtual += Tokens;
  for (Flow *One : Ready)
    linkReady(*One);
}

void Queue::noteServed(const Request &Bid) {
  Tier &Own = *Bid.m_Class->m_Tier;
  Own.m_Virtual = std::max(Own.m_Virtual, Bid.m_Flow->m_Share->m_Virtual);
}

void Queue::addRunning(ClassState &Class, WorkspaceId Workspace, int Change,
                       TimePoint Now) {
  WorkspaceUse &Use = Class.useOf(Workspace, Now);
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
                     std::vector<Request *> &Homeless) {
  std::map<ClassId, std::uint8_t> Numbers;
  for (const Contract &Row : Table.m_Contracts)
    if (Service.empty() || Row.m_Service == Service)
      Numbers[Row.m_Id] = IsFlat ? 1 : Row.m_Tier;
  std::vector<Displacement> Moved;
  for (auto &[Id, Class] : m_Classes) {
    Class.m_Listed = false;
    const auto Number = Numbers.find(Id);
    if (Class.m_Tier != nullptr &&
        (Number == Numbers.end() || Number->second != Class.m_Tier->m_Number))
      takeOut(Class, Moved);
  }
  for (const Contract &Row : Table.m_Contracts)
    applyRow(m_Classes[Row.m_Id], Row, Now);
  rebuildTiers(Numbers);
  for (const Displacement &One : Moved)
    if (One.m_Bid->m_Class->m_Tier != nullptr)
      push(*One.m_Bid, One.m_IsLate);
    else
      Homeless.push_back(One.m_Bid);
  for (ClassState *Class : m_PoolClasses)
    updateBlocks(*Class);
}

void Queue::takeOut(ClassState &Class, std::vector<Displacement> &Moved) {
  const std::size_t First = Moved.size();
  for (Lane *From : {&Class.m_OnTime, &Class.m_Late})
    for (Request &One : From->m_ByDeadline)
      Moved.push_back({&One, From == &Class.m_Late});
  for (std::size_t I = First; I < Moved.size(); ++I)
    remove(*Moved[I].m_Bid);
}

void Queue::rebuildTiers(const std::map<ClassId, std::uint8_t> &Numbers) {
  // Accounts of a tier outlive the change; only the lists of rows are renewed.
  for (auto &[Number, Old] : m_Tiers)
    Old.m_Classes.clear();
  m_PoolClasses.clear();
  std::uint8_t Last = 0;
  for (auto &[Id, Class] : m_Classes) {
    const auto Number = Numbers.find(Id);
    Class.m_Tier = nullptr;
    if (Number == Numbers.end())
      continue;
    Tier &Into = m_Tiers[Number->second];
    Into.m_Number = Number->second;
    Into.m_Classes.push_back(&Class);
    Class.m_Tier = &Into;
    m_PoolClasses.push_back(&Class);
    Last = std::max(Last, Into.m_Number);
  }
  for (ClassState *Class : m_PoolClasses)
    Class->m_MayProbe = Class->m_Tier->m_Number == Last;
}

} // namespace crowstep::decision
