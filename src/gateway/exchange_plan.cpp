/// Which instances exchange load digests.
#include "gateway/exchange_plan.h"

#include "core/pair_hash.h"

#include <algorithm>

namespace crowstep::gateway {

namespace {

/// Arbitrary; makes this hash independent of others.
constexpr std::uint64_t HubSeed = 7;

/// Returns whether \p Left is the preferred hub: the one with the larger
/// machine, then the one with the higher hash.
bool isBetterHub(const PeerInstance &Left, const PeerInstance &Right) {
  const auto RankOf = [](const PeerInstance &Peer) {
    return std::make_pair(Peer.m_Weight,
                          pairHash(HubSeed, instanceIdOf(Peer.m_Name).value()));
  };
  return RankOf(Left) > RankOf(Right);
}

} // namespace

ExchangePlan planExchange(const PeerInstance &Self,
                          const std::vector<PeerInstance> &All) {
  std::map<AvailabilityZone, std::vector<PeerInstance>> Zones;
  Zones[Self.m_Zone].push_back(Self);
  for (const PeerInstance &Peer : All)
    if (Peer.m_Name != Self.m_Name)
      Zones[Peer.m_Zone].push_back(Peer);
  const bool Few = All.size() <= ExchangePlan::MaxInstancesWithoutHubs;
  ExchangePlan Result;
  for (auto &[Zone, Members] : Zones) {
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
  return Result;
}

} // namespace crowstep::gateway
