/// Which instances tell one another of their calls.
///
/// Few instances all tell one another. With many, that would cost each of them
/// a part of its processor that grows with their number, and the zones' links
/// its square: then instances tell those of their own zone, and one of these,
/// its hub, exchanges sums with the hubs of the other zones.
#ifndef CROWSTEP_GATEWAY_EXCHANGE_PLAN_H
#define CROWSTEP_GATEWAY_EXCHANGE_PLAN_H

#include "gateway/directory.h"

#include <map>

namespace crowstep::gateway {

struct ExchangePlan {
  /// Up to this many instances all tell one another: 23 links cost an instance
  /// 460 frames a second, under a hundredth of a core.
  static constexpr std::size_t MostWithoutHubs = 24;

  /// Instances of a zone that hold links to other zones; the first of them that
  /// is up is the zone's hub. With two the loss of one cuts no zone off.
  static constexpr std::size_t HubsPerZone = 2;

  std::map<InstanceId, Address> m_Near; ///< Told by every digest.
  std::map<InstanceId, Address> m_Far;  ///< Other zones' hubs, for a hub.
  std::vector<InstanceId> m_Hubs; ///< Of the own zone, best first; none: few.
};

/// Returns the plan of \p Self, which may be among \p All. Instances with the
/// same list make plans that fit together.
ExchangePlan planExchange(const PeerInstance &Self,
                          const std::vector<PeerInstance> &All);

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_EXCHANGE_PLAN_H
