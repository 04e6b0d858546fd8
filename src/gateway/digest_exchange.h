/// Exchanges digests of the load at the upstreams with the other instances.
///
/// Each instance places calls by itself and sees only a small part of the load.
/// Without the others' digests all instances would send a burst to the same
/// engines, which look idle to each of them.
#ifndef CROWSTEP_GATEWAY_DIGEST_EXCHANGE_H
#define CROWSTEP_GATEWAY_DIGEST_EXCHANGE_H

#include "balance/balancer.h"
#include "balance/digest_sum.h"
#include "core/metrics.h"
#include "core/scheduler.h"
#include "gateway/directory.h"
#include "gateway/exchange_plan.h"
#include "link/link_type.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace crowstep::gateway {

/// Handles a directory update from a reader of this instance's zone.
using TakeUpdate = std::function<void(const DirectoryUpdate &)>;

/// Opens an instance's links once their \p Key is known.
using OpenLinks = std::function<std::unique_ptr<link::Links>(
    const std::string &Key, link::LinkListener &Listener)>;

class DigestExchange final : private link::LinkListener {
public:
  /// Interval of digests while there is load to report. A tenth of a second is
  /// short against the shortest latency target and the time in which an engine
  /// reads a long prompt.
  static constexpr Duration Interval = std::chrono::milliseconds(100);

  /// Minimum interval per link. It limits an instance to 200 frames a second,
  /// which cost less than half a percent of a core, whatever the number of
  /// links.
  static constexpr Duration IntervalPerLink = std::chrono::milliseconds(5);

  /// Digest intervals between two sums of the other zones that a hub sends to
  /// its own zone: such a sum has an entry for each engine and goes to every
  /// instance of the zone.
  static constexpr unsigned TicksPerRelay = 2;

  /// \p Self holds the address at which others open links to this instance.
  DigestExchange(PeerInstance Self, OpenLinks Open, const Clock &Time,
                 Scheduler &Timers, balance::Balancer &Balancer, Metrics &Stats,
                 TakeUpdate OnUpdate);
  ~DigestExchange() override;
  DigestExchange(const DigestExchange &) = delete;
  DigestExchange &operator=(const DigestExchange &) = delete;

  /// Connects to \p Peers, which may include this instance.
  void setPeers(const PeerList &Peers);

  /// Returns the role of this instance in reading the directory: the zone's
  /// hubs read it for the others.
  [[nodiscard]] ReadingRole readingRole() const;

  /// Sends an update that this instance has read to its zone.
  void passOn(const DirectoryUpdate &Update);

private:
  /// An established link.
  struct Linked {
    InstanceId m_Instance;   ///< The peer.
    AvailabilityZone m_Zone; ///< The peer's.
    bool m_Reported = false; ///< A dropped update was logged.
  };

  void linkUp(link::LinkId Link, const link::Peer &Peer) override;
  void linkFrame(link::LinkId Link, const wire::Frame &Frame) override;
  void linkDown(link::LinkId Link, const link::Peer &Peer,
                link::CloseReason Reason) override;
  void dialFailed(const Address &Where, link::CloseReason Reason) override;

  void dialAll();
  void tick();
  void tellNear(const balance::LoadDigest &Own);
  void relay(const balance::LoadDigest &Own);
  void becomeHub(bool Hub);
  [[nodiscard]] balance::LoadDigest crashesKnown() const;
  void takeUpdates(Linked &From, const wire::Frame &Frame);
  void dropUpdate(Linked &From);
  [[nodiscard]] bool isNear(const Linked &Link) const;
  [[nodiscard]] bool shouldBeHub() const;
  [[nodiscard]] Duration interval() const;

  PeerInstance m_Self;                  ///< This instance.
  OpenLinks m_Open;                     ///< Never empty.
  const Clock &m_Clock;                 ///< Outlives this object.
  balance::Balancer &m_Balancer;        ///< Outlives this object.
  TakeUpdate m_OnUpdate;                ///< Never empty.
  Counter &m_Updates;                   ///< From readers.
  Counter &m_DroppedUpdates;            ///< From others, or malformed.
  std::unique_ptr<link::Links> m_Links; ///< Null until the key is known.
  ExchangePlan m_Plan;                  ///< For the last list of peers.
  std::set<Address> m_Dialled;          ///< Peers that this instance dials.
  std::map<link::LinkId, Linked> m_Up;  ///< Established links.
  bool m_ToldNothing = true;            ///< Or none was sent yet.
  bool m_Hub = false;                   ///< This instance is its zone's hub.
  unsigned m_Ticks = 0;                 ///< Digest intervals so far.
  balance::DigestSum m_OwnZone;         ///< A hub sends it to other zones.
  balance::DigestSum m_OtherZones;      ///< A hub sends it to its zone.
  Timer m_Tick;                         ///< Until the next digest.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_DIGEST_EXCHANGE_H
