/// Tells the other instances what this one has at the upstreams.
///
/// Instances decide alone, and each sees a small part of the load: without the
/// others' digests the engines that look idle to all get all of a burst.
#ifndef CROWSTEP_GATEWAY_DIGEST_EXCHANGE_H
#define CROWSTEP_GATEWAY_DIGEST_EXCHANGE_H

#include "balance/balancer.h"
#include "gateway/directory.h"
#include "link/link_tcp.h"

#include <map>
#include <memory>
#include <set>

namespace crowstep::gateway {

class DigestExchange final : private link::LinkListener {
public:
  /// How often a digest goes out while there is something to tell. A tenth of
  /// a second is a small part of the shortest target and of the time in which
  /// an engine reads a long prompt.
  static constexpr Duration Interval = std::chrono::milliseconds(100);

  DigestExchange(std::string Name, AvailabilityZone Zone, Address Listen,
                 const Clock &Time, Scheduler &Timers, Metrics &Stats,
                 balance::Balancer &Loads);

  /// Links up with \p Peers, which may hold this instance itself.
  void setPeers(const PeerList &Peers);

private:
  void linkUp(link::LinkId Link, const link::Peer &Who) override;
  void linkFrame(link::LinkId Link, const wire::Frame &Frame) override;
  void linkDown(link::LinkId Link, const link::Peer &Who,
                link::CloseReason Why) override;
  void dialFailed(const Address &Where, link::CloseReason Why) override;
  void send(link::LinkId Link, const balance::LoadDigest &What);
  void tick();

  std::string m_Name;                      ///< Own.
  AvailabilityZone m_Zone;                 ///< Own.
  Address m_Listen;                        ///< For links.
  const Clock &m_Clock;                    ///< Outlives this object.
  Scheduler &m_Timers;                     ///< Outlives this object.
  Metrics &m_Metrics;                      ///< Outlives this object.
  balance::Balancer &m_Balancer;           ///< Outlives this object.
  std::unique_ptr<link::TcpLinks> m_Links; ///< Null until the key is known.
  std::set<Address> m_Dialled;             ///< Peers whose links we open.
  std::map<link::LinkId, InstanceId> m_Up; ///< Links that are up.
  bool m_ToldNothing = true;               ///< The last digest was empty.
  Timer m_Tick;                            ///< The next digest.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_DIGEST_EXCHANGE_H
