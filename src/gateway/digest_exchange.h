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
#include "gateway/usage_exchange.h"
#include "link/link_type.h"
#include "resume/origin_exchange.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace crowstep::gateway {

/// Handles a directory update from a reader of this instance's zone.
using UpdateHandler = std::function<void(const DirectoryUpdate &)>;

/// Opens an instance's links once their \p Key is known.
using LinksFactory = std::function<std::unique_ptr<link::Links>(
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
  static constexpr unsigned IntervalsPerRelay = 2;

  /// A hub that has sent nothing for this long does not relay: its process is
  /// stopped, or its machine is cut off. It is as long as digests are used.
  static constexpr Duration HubSilenceLimit =
      balance::PeerLoads::DigestLifetime;

  /// A peer that has not dialled this instance within this time is dialled: it
  /// may not have read yet that this instance is listed.
  static constexpr Duration DialWait = std::chrono::milliseconds(300);

  /// \p Self holds the address at which others open links to this instance.
  /// \p Usage and \p Origins outlive this object; null: no usage is reported,
  /// or no origins of streams are exchanged.
  DigestExchange(PeerInstance Self, LinksFactory Open, const Clock &Time,
                 Scheduler &Timers, balance::Balancer &Balancer, Metrics &Stats,
                 UpdateHandler OnUpdate, UsageExchange *Usage = nullptr,
                 resume::OriginExchange *Origins = nullptr);
  ~DigestExchange() override;
  DigestExchange(const DigestExchange &) = delete;
  DigestExchange &operator=(const DigestExchange &) = delete;

  /// Connects to \p Peers, which may include this instance.
  void setPeers(const PeerList &Peers);

  /// This instance ends soon. It takes part until then, but once it is no
  /// longer listed it is neither a hub, a reader nor a collector.
  void stop();

  /// Sends what is due at once, as the process is about to end.
  void flush();

  /// Returns the role of this instance in reading the directory for its near
  /// peers; Alone if there are none.
  [[nodiscard]] ReadingRole readingRole() const;

  /// Returns whether this instance is the reader, and in a fleet with hubs, in
  /// which each zone has one, the reader of the first zone.
  [[nodiscard]] bool isFirstReader() const;

  /// Returns whether this instance may hold the duties.
  [[nodiscard]] bool isDutyCandidate() const {
    return m_Plan.m_IsDutyCandidate;
  }

  /// Sends an update that this instance has read to its near peers.
  void sendUpdate(const DirectoryUpdate &Update);

private:
  /// An established link.
  struct PeerLink {
    InstanceId m_Instance;     ///< The peer.
    AvailabilityZone m_Zone;   ///< The peer's.
    bool m_DropLogged = false; ///< A dropped update was logged.
    TimePoint m_LastFrameAt{}; ///< Time of receipt, or of the link's start.
    UsageExchange::PeerRole m_UsageRole =
        UsageExchange::PeerRole::None; ///< By the plan in force.
  };

  void linkUp(link::LinkId Link, const link::Peer &Peer) override;
  void linkFrame(link::LinkId Link, const wire::Frame &Frame) override;
  void linkDown(link::LinkId Link, const link::Peer &Peer,
                link::CloseReason Reason) override;
  void dialFailed(const Address &Where, link::CloseReason Reason) override;

  void updateDials(const PeerList &Peers);
  void scheduleMissingDials();
  void dialMissingPeers();
  [[nodiscard]] bool isLinked(InstanceId Peer) const;
  void sendDigests();
  void sendToNearPeers(const balance::LoadDigest &Own);
  void relayZoneSums(const balance::LoadDigest &Own);
  void setHub(bool Hub);
  [[nodiscard]] balance::LoadDigest lastingFacts() const;
  void receiveUpdates(PeerLink &From, const wire::Frame &Frame);
  void dropUpdate(PeerLink &From);
  [[nodiscard]] bool isNearPeer(const PeerLink &Link) const;
  [[nodiscard]] UsageExchange::PeerRole usageRoleOf(const PeerLink &Link) const;
  void updateUsageRole(link::LinkId Link, PeerLink &Peer);
  void sendUsage();
  [[nodiscard]] bool shouldBeHub() const;
  [[nodiscard]] Duration interval() const;

  PeerInstance m_Self;                  ///< This instance.
  LinksFactory m_OpenLinks;             ///< Never empty.
  const Clock &m_Clock;                 ///< Outlives this object.
  balance::Balancer &m_Balancer;        ///< Outlives this object.
  UpdateHandler m_OnUpdate;             ///< Never empty.
  UsageExchange *m_Usage;               ///< Null: no usage is reported.
  resume::OriginExchange *m_Origins;    ///< Null: none are exchanged.
  Counter &m_UpdatesReceived;           ///< From readers.
  Counter &m_UpdatesDropped;            ///< From others, or malformed.
  std::unique_ptr<link::Links> m_Links; ///< Null until the key is known.
  ExchangePlan m_Plan;                  ///< For the last list of peers.
  std::string m_FirstZone;              ///< Of all zones, by name.
  std::set<Address> m_Dialled;          ///< Peers that this instance dials.
  std::set<Address> m_DialledInstead;   ///< Of these, those that should dial.
  std::map<link::LinkId, PeerLink> m_PeerLinks; ///< Established links.
  bool m_LastDigestEmpty = true;                ///< Or none was sent yet.
  bool m_IsHub = false;         ///< This instance is its zone's hub.
  bool m_IsStopping = false;    ///< After stop().
  unsigned m_IntervalCount = 0; ///< Digest intervals so far.
  balance::DigestSum m_OwnZoneSum{
      speed::SpeedSums::ZoneSumLimit}; ///< A hub sends it to other zones.
  balance::DigestSum m_OtherZonesSum{
      speed::SpeedSums::OtherZonesLimit}; ///< A hub sends it to its zone.
  Timer m_DigestTimer;                    ///< Until the next digest.
  Timer m_DialTimer;                      ///< Until dialMissingPeers().
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_DIGEST_EXCHANGE_H
