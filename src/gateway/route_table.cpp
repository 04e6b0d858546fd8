/// Lookups in the route table.
#include "gateway/route_table.h"

#include "balance/balance_type.h"

#include <algorithm>
#include <cctype>

namespace crowstep::gateway {

namespace {

std::string plainHost(std::string_view Host) {
  std::string Result(Host.substr(0, Host.rfind(':')));
  for (char &Ch : Result)
    Ch = static_cast<char>(std::tolower(static_cast<unsigned char>(Ch)));
  return Result;
}

unsigned workspacePriority(const Route &Which, const KeyHolder *Holder) {
  return Holder == nullptr ? Which.m_Priority
                           : Holder->m_Priority.value_or(Which.m_Priority);
}

PriorityRanks::Priorities turnOf(const Route &Which, const KeyHolder *Holder) {
  return {workspacePriority(Which, Holder), Which.m_Priority};
}

PriorityRanks::Priorities atEngine(const Route &Which,
                                   const KeyHolder *Holder) {
  return {Which.m_Priority, workspacePriority(Which, Holder)};
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

std::map<std::string, Duration> tightestPauses(const RouteTableData &Table) {
  std::map<std::string, Duration> Result;
  for (const Route &Each : Table.m_Routes) {
    const auto *Stream = std::get_if<EventStream>(&Each.m_Kind);
    if (Stream == nullptr || Stream->m_LongestPause == Duration::zero())
      continue;
    for (const ServiceShare &Share : Each.m_Services) {
      const auto Found =
          Result.try_emplace(Share.m_Service, Stream->m_LongestPause).first;
      Found->second = std::min(Found->second, Stream->m_LongestPause);
    }
  }
  return Result;
}

RouteTable::RouteTable(RouteTableData Data) : m_Data(std::move(Data)) {
  for (const Route &Each : m_Data.m_Routes)
    m_ByPlace.emplace(plainHost(Each.m_Host) + Each.m_Prefix, &Each);
  for (const KeyHolder &Each : m_Data.m_Workspaces)
    for (const std::string &Key : Each.m_Keys)
      m_ByKey.emplace(Key, &Each);
  const auto Add = [this](const Route &Which, const KeyHolder *Holder) {
    m_Turns.add(turnOf(Which, Holder));
    m_EngineRanks.add(atEngine(Which, Holder));
  };
  for (const Route &Which : m_Data.m_Routes) {
    Add(Which, nullptr);
    for (const KeyHolder &Holder : m_Data.m_Workspaces)
      Add(Which, &Holder);
  }
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Path) const {
  const std::string Plain = plainHost(Host);
  // Path prefixes end with a slash, so only cuts after a slash can match.
  for (std::size_t Cut = Path.rfind('/'); Cut != std::string_view::npos;
       Cut = Cut == 0 ? std::string_view::npos : Path.rfind('/', Cut - 1)) {
    const auto Found =
        m_ByPlace.find(Plain + std::string(Path.substr(0, Cut + 1)));
    if (Found != m_ByPlace.end())
      return Found->second;
  }
  return nullptr;
}

unsigned PriorityRanks::rankOf(Priorities Which) const {
  const auto Found = m_Known.find(Which);
  const auto Place =
      static_cast<unsigned>(std::distance(m_Known.begin(), Found));
  const auto Pairs = static_cast<unsigned>(m_Known.size());
  constexpr auto Ranks = static_cast<unsigned>(balance::UrgencyCount);
  return Pairs <= Ranks ? Place : Place * Ranks / Pairs;
}

unsigned RouteTable::urgency(const Route &Which,
                             const KeyHolder *Holder) const {
  return m_Turns.rankOf(turnOf(Which, Holder));
}

unsigned RouteTable::engineRank(const Route &Which,
                                const KeyHolder *Holder) const {
  return m_EngineRanks.rankOf(atEngine(Which, Holder));
}

const KeyHolder *RouteTable::holderOf(const std::string &Key) const {
  const auto Found = m_ByKey.find(Key);
  return Found == m_ByKey.end() ? nullptr : Found->second;
}

} // namespace crowstep::gateway
