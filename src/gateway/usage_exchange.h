/// Passes the usage counters to the instances that collect them, and the
/// instances' calendar time to one another.
///
/// An instance sends its own counters to the collectors of its zone, and the
/// zone's hub passes those of its zone on to the hubs of the other zones. Only
/// counters that have grown are sent; a link that comes up gets all.
#ifndef CROWSTEP_GATEWAY_USAGE_EXCHANGE_H
#define CROWSTEP_GATEWAY_USAGE_EXCHANGE_H

#include "duty/usage_meter.h"
#include "link/link_type.h"

#include "core/metrics.h"

#include <set>
#include <vector>

namespace crowstep::gateway {

class UsageExchange {
public:
  /// How the instance at the other end of a link takes part.
  enum class PeerRole : std::uint8_t {
    None,          ///< Gets no counters.
    Collector,     ///< Gets the counters of this process.
    OtherZonesHub, ///< Gets the counters of this zone from its hub.
  };

  /// An established link.
  struct PeerLink {
    link::LinkId m_Link; ///< To the peer.
    PeerRole m_Role;     ///< Of the peer.
  };

  /// Everything outlives this object.
  UsageExchange(duty::UsageMeter &Meter, duty::MajorityClock &Time,
                const WallClock &Wall, Metrics &Stats);

  /// Sends all known counters. A process that has just been started knows none,
  /// and this one may know those of processes that have ended.
  void sendAll(link::Links &Links, const PeerLink &To) const;

  /// Sends the counters that have grown since the last call.
  void sendChanges(link::Links &Links, const std::vector<PeerLink> &Peers,
                   bool IsHub);

  /// Adds the calendar time to a digest that is about to be sent.
  void stamp(wire::GatewayDigestT &Digest) const;

  /// Takes the counters and the calendar time of a frame from \p Peer. The
  /// counters that come from the own zone are passed on to other zones.
  void receive(InstanceId Peer, const wire::Frame &Frame, bool FromOwnZone);

  /// The link to \p Peer is down.
  void removePeer(InstanceId Peer) { m_Time.removePeer(Peer); }

private:
  [[nodiscard]] bool goesTo(PeerRole Role, const duty::UsageSource &Source,
                            bool IsHub) const;
  void receiveCounts(const wire::UsageCounts &Received, bool FromOwnZone);
  static void pack(const std::vector<duty::UsageCount> &Counts,
                   wire::FrameT &Into);

  duty::UsageMeter &m_Meter;      ///< Holds the counters.
  duty::MajorityClock &m_Time;    ///< Takes the peers' calendar time.
  const WallClock &m_Wall;        ///< Of this machine.
  Counter &m_Dropped;             ///< Counters of windows that are not kept.
  std::set<InstanceId> m_OwnZone; ///< Other instances that sent counters.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_USAGE_EXCHANGE_H
