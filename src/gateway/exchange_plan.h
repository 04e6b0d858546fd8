/// Which instances exchange load digests.
///
/// Few instances all send to each other. With many, the processor time of each
/// would grow with their number, and the traffic between zones with its square.
/// Instances then send to those of their own zone only, and one of these, the
/// zone's hub, exchanges sums with the hubs of the other zones.
#ifndef CROWSTEP_GATEWAY_EXCHANGE_PLAN_H
#define CROWSTEP_GATEWAY_EXCHANGE_PLAN_H

#include "gateway/directory.h"

#include <map>
#include <set>

namespace crowstep::gateway {

struct ExchangePlan {
  /// Up to this many instances all send to each other: 23 links cost an
  /// instance 400 frames a second, sent and received (see
  /// DigestExchange::IntervalPerLink), less than one percent of a core.
  static constexpr std::size_t MaxInstancesWithoutHubs = 24;

  /// Instances of a zone with links to other zones; the first reachable one is
  /// the zone's hub. With two, the loss of one doesn't disconnect the zone.
  static constexpr std::size_t HubsPerZone = 2;

  /// Instances that read the directory for all, where there are no hubs.
  static constexpr std::size_t ReadersWithoutHubs = 2;

  /// Instances that collect what is needed for the duties, where there are no
  /// hubs to do so.
  static constexpr std::size_t CollectorsWithoutHubs = 3;

  /// At most this many zones have candidates for the duties. Each candidate
  /// calls the store about once a second, whatever the number of instances.
  static constexpr std::size_t ZonesWithCandidates = 4;

  /// With fewer zones than this, the second hubs are candidates too.
  static constexpr std::size_t ZonesForOneCandidate = 3;

  std::map<InstanceId, Address> m_NearPeers; ///< Receive every digest.
  std::map<InstanceId, Address> m_OtherHubs; ///< Of other zones; for a hub.
  std::vector<InstanceId> m_Hubs; ///< Of the own zone, best first; empty: few.
  std::vector<InstanceId>
      m_Readers; ///< Read the directory for the near peers, best first.
  std::set<InstanceId> m_Collectors; ///< Receive the own usage counters.
  bool m_IsDutyCandidate = false;    ///< Self may hold the duties.
};

/// Returns the plan of \p Self. Instances with the same list compute consistent
/// plans. \p Self counts as listed unless it is \p IsStopping: then it has a
/// role only while it is among \p All.
ExchangePlan planExchange(const PeerInstance &Self,
                          const std::vector<PeerInstance> &All,
                          bool IsStopping = false);

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_EXCHANGE_PLAN_H
