/// Lookups in the route table.
#include "gateway/route_table.h"

#include "balance/balance_type.h"

#include <algorithm>
#include <cctype>

namespace crowstep::gateway {

namespace {

/// Removes a port. Colons before a bracket belong to an IPv6 address.
std::string_view withoutPort(std::string_view Host) {
  const std::size_t Colon = Host.rfind(':');
  if (Colon == std::string_view::npos ||
      Host.find(']', Colon) != std::string_view::npos)
    return Host;
  return Host.substr(0, Colon);
}

std::string normalizedHost(std::string_view Host) {
  std::string Result(withoutPort(Host));
  for (char &Ch : Result)
    Ch = static_cast<char>(std::tolower(static_cast<unsigned char>(Ch)));
  return Result;
}

unsigned workspacePriority(const Route &CallRoute,
                           const WorkspaceEntry *KeyOwner) {
  return KeyOwner == nullptr
             ? CallRoute.m_Priority
             : KeyOwner->m_Priority.value_or(CallRoute.m_Priority);
}

PriorityRanks::Priorities queuePriorities(const Route &CallRoute,
                                          const WorkspaceEntry *KeyOwner) {
  return {workspacePriority(CallRoute, KeyOwner), CallRoute.m_Priority};
}

PriorityRanks::Priorities enginePriorities(const Route &CallRoute,
                                           const WorkspaceEntry *KeyOwner) {
  return {CallRoute.m_Priority, workspacePriority(CallRoute, KeyOwner)};
}

} // namespace

bool mayRunAgain(const RouteKind &Kind) {
  struct Visitor {
    bool operator()(const PlainCall &Call) const { return Call.m_Idempotent; }
    bool operator()(const EventStream &Stream) const {
      return Stream.m_Resumable;
    }
  };
  return std::visit(Visitor{}, Kind);
}

std::set<std::string> resumableServices(const RouteTableData &Table) {
  std::set<std::string> Result;
  for (const Route &Entry : Table.m_Routes) {
    const auto *Stream = std::get_if<EventStream>(&Entry.m_Kind);
    if (Stream != nullptr && Stream->m_Resumable)
      for (const ServiceShare &Share : Entry.m_Services)
        Result.insert(Share.m_Service);
  }
  return Result;
}

std::map<std::string, Duration>
minPausesByService(const RouteTableData &Table) {
  std::map<std::string, Duration> Result;
  for (const Route &Entry : Table.m_Routes) {
    const auto *Stream = std::get_if<EventStream>(&Entry.m_Kind);
    if (Stream == nullptr || Stream->m_MaxPause == Duration::zero())
      continue;
    for (const ServiceShare &Share : Entry.m_Services) {
      const auto Found =
          Result.try_emplace(Share.m_Service, Stream->m_MaxPause).first;
      Found->second = std::min(Found->second, Stream->m_MaxPause);
    }
  }
  return Result;
}

RouteTable::RouteTable(RouteTableData Data) : m_Data(std::move(Data)) {
  for (const Route &Entry : m_Data.m_Routes)
    m_ByHostAndPrefix.emplace(normalizedHost(Entry.m_Host) + Entry.m_Prefix,
                              &Entry);
  for (const WorkspaceEntry &Entry : m_Data.m_Workspaces)
    for (const std::string &Key : Entry.m_Keys)
      m_ByKey.emplace(Key, &Entry);
  const auto Add = [this](const Route &CallRoute,
                          const WorkspaceEntry *KeyOwner) {
    m_QueueRanks.add(queuePriorities(CallRoute, KeyOwner));
    m_EngineRanks.add(enginePriorities(CallRoute, KeyOwner));
  };
  for (const Route &CallRoute : m_Data.m_Routes) {
    Add(CallRoute, nullptr);
    for (const WorkspaceEntry &KeyOwner : m_Data.m_Workspaces)
      Add(CallRoute, &KeyOwner);
  }
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Path) const {
  const std::string NormalHost = normalizedHost(Host);
  // Path prefixes end with a slash, so only cuts after a slash can match.
  for (std::size_t Cut = Path.rfind('/'); Cut != std::string_view::npos;
       Cut = Cut == 0 ? std::string_view::npos : Path.rfind('/', Cut - 1)) {
    const auto Found = m_ByHostAndPrefix.find(
        NormalHost + std::string(Path.substr(0, Cut + 1)));
    if (Found != m_ByHostAndPrefix.end())
      return Found->second;
  }
  return nullptr;
}

unsigned PriorityRanks::rankOf(Priorities Pair) const {
  const auto Found = m_Pairs.find(Pair);
  const auto Index =
      static_cast<unsigned>(std::distance(m_Pairs.begin(), Found));
  const auto Pairs = static_cast<unsigned>(m_Pairs.size());
  constexpr auto Ranks = static_cast<unsigned>(balance::UrgencyCount);
  return Pairs <= Ranks ? Index : Index * Ranks / Pairs;
}

unsigned RouteTable::queueRank(const Route &CallRoute,
                               const WorkspaceEntry *KeyOwner) const {
  return m_QueueRanks.rankOf(queuePriorities(CallRoute, KeyOwner));
}

unsigned RouteTable::engineRank(const Route &CallRoute,
                                const WorkspaceEntry *KeyOwner) const {
  return m_EngineRanks.rankOf(enginePriorities(CallRoute, KeyOwner));
}

const WorkspaceEntry *RouteTable::workspaceOfKey(const std::string &Key) const {
  const auto Found = m_ByKey.find(Key);
  return Found == m_ByKey.end() ? nullptr : Found->second;
}

} // namespace crowstep::gateway
