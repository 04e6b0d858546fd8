/// Which instances exchange load digests.
#include "gateway/exchange_plan.h"

#include "core/pair_hash.h"

#include <algorithm>

namespace crowstep::gateway {

namespace {

/// Arbitrary; these make the hashes independent of others.
constexpr std::uint64_t HubSeed = 7;
constexpr std::uint64_t CandidateSeed = 8;

/// Returns whether \p Left is the preferred hub: the one with the larger
/// machine, then the one with the higher hash.
bool isBetterHub(const PeerInstance &Left, const PeerInstance &Right) {
  const auto RankOf = [](const PeerInstance &Peer) {
    return std::make_pair(Peer.m_Weight,
                          pairHash(HubSeed, instanceIdOf(Peer.m_Name).value()));
  };
  return RankOf(Left) > RankOf(Right);
}

bool isListed(const std::vector<PeerInstance> &All, const PeerInstance &Self) {
  return std::any_of(All.begin(), All.end(), [&](const PeerInstance &Peer) {
    return Peer.m_Name == Self.m_Name;
  });
}

using Zones = std::map<AvailabilityZone, std::vector<PeerInstance>>;

/// Without hubs, the best instances of all read the directory, collect, and are
/// candidates.
void chooseAmongAll(const Zones &ByZone, InstanceId Self,
                    ExchangePlan &Result) {
  std::vector<PeerInstance> All;
  for (const auto &[Zone, Members] : ByZone)
    All.insert(All.end(), Members.begin(), Members.end());
  std::sort(All.begin(), All.end(), isBetterHub);
  std::vector<InstanceId> Best;
  Best.reserve(All.size());
  for (const PeerInstance &Peer : All)
    Best.push_back(instanceIdOf(Peer.m_Name));
  const auto BestOf = [&](std::size_t Count) {
    return Best.begin() +
           static_cast<std::ptrdiff_t>(std::min(Best.size(), Count));
  };
  Result.m_Readers = {Best.begin(), BestOf(ExchangePlan::ReadersWithoutHubs)};
  Result.m_Collectors = {Best.begin(),
                         BestOf(ExchangePlan::CollectorsWithoutHubs)};
  Result.m_IsDutyCandidate = Result.m_Collectors.contains(Self);
}

/// Returns whether \p Zone is among the zones with candidates.
bool hasCandidates(const Zones &All, const AvailabilityZone &Zone) {
  const auto RankOf = [](const AvailabilityZone &Ranked) {
    return pairHash(CandidateSeed, instanceIdOf(Ranked.m_Name).value());
  };
  const auto Better = std::count_if(All.begin(), All.end(), [&](auto &Entry) {
    return RankOf(Entry.first) > RankOf(Zone);
  });
  return static_cast<std::size_t>(Better) < ExchangePlan::ZonesWithCandidates;
}

/// The hubs read for their zone, and know the counters of all zones.
void chooseHubs(const Zones &All, const PeerInstance &Self,
                ExchangePlan &Result) {
  Result.m_Readers = Result.m_Hubs;
  Result.m_Collectors.insert(Result.m_Hubs.begin(), Result.m_Hubs.end());
  const InstanceId SelfId = instanceIdOf(Self.m_Name);
  const bool IsFirstHub =
      !Result.m_Hubs.empty() && Result.m_Hubs.front() == SelfId;
  const bool IsCandidate = All.size() < ExchangePlan::ZonesForOneCandidate
                               ? Result.m_Collectors.contains(SelfId)
                               : IsFirstHub;
  Result.m_IsDutyCandidate = IsCandidate && hasCandidates(All, Self.m_Zone);
}

} // namespace

ExchangePlan planExchange(const PeerInstance &Self,
                          const std::vector<PeerInstance> &All,
                          bool IsStopping) {
  Zones ByZone;
  if (!IsStopping || isListed(All, Self))
    ByZone[Self.m_Zone].push_back(Self);
  for (const PeerInstance &Peer : All)
    if (Peer.m_Name != Self.m_Name)
      ByZone[Peer.m_Zone].push_back(Peer);
  const bool Few = All.size() <= ExchangePlan::MaxInstancesWithoutHubs;
  ExchangePlan Result;
  for (auto &[Zone, Members] : ByZone) {
    const bool Own = Zone == Self.m_Zone;
    std::sort(Members.begin(), Members.end(), isBetterHub);
    const auto Hubs = std::min(Members.size(), ExchangePlan::HubsPerZone);
    for (std::size_t I = 0; I < Members.size(); ++I) {
      const InstanceId Id = instanceIdOf(Members[I].m_Name);
      if (Own && !Few && I < Hubs)
        Result.m_Hubs.push_back(Id);
      if ((Own || Few) && Members[I].m_Name != Self.m_Name)
        Result.m_NearPeers.emplace(Id, Members[I].m_Address);
      if (!Own && !Few && I < Hubs)
        Result.m_OtherHubs.emplace(Id, Members[I].m_Address);
    }
  }
  const InstanceId SelfId = instanceIdOf(Self.m_Name);
  if (std::find(Result.m_Hubs.begin(), Result.m_Hubs.end(), SelfId) ==
      Result.m_Hubs.end())
    Result.m_OtherHubs.clear();
  if (Few)
    chooseAmongAll(ByZone, SelfId, Result);
  else
    chooseHubs(ByZone, Self, Result);
  return Result;
}

} // namespace crowstep::gateway
