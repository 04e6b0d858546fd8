/// Exchange of load digests among instances.
#include "gateway/digest_exchange.h"

#include "core/log.h"
#include "gateway/digest_codec.h"
#include "gateway/directory_codec.h"

#include <algorithm>
#include <utility>

namespace crowstep::gateway {

namespace {

/// Id under which the load of all other zones counts, as a hub sums it up.
InstanceId otherZonesId() {
  static const InstanceId Id = instanceIdOf("/elsewhere");
  return Id;
}

/// Id under which the load of a zone counts, as its hub sums it up. No
/// instance's name begins like this.
InstanceId zoneId(const AvailabilityZone &Zone) {
  return instanceIdOf("/zone/" + Zone.m_Name);
}

} // namespace

DigestExchange::DigestExchange(PeerInstance Self, LinksFactory Open,
                               const Clock &Time, Scheduler &Timers,
                               balance::Balancer &Balancer, Metrics &Stats,
                               UpdateHandler OnUpdate, UsageExchange *Usage,
                               resume::OriginExchange *Origins)
    : m_Self(std::move(Self)), m_OpenLinks(std::move(Open)), m_Clock(Time),
      m_Balancer(Balancer), m_OnUpdate(std::move(OnUpdate)), m_Usage(Usage),
      m_Origins(Origins),
      m_UpdatesReceived(Stats.counter("crowstep_directory_updates_total")),
      m_UpdatesDropped(
          Stats.counter("crowstep_directory_updates_dropped_total")),
      m_DigestTimer(Timers), m_DialTimer(Timers) {}

DigestExchange::~DigestExchange() = default;

void DigestExchange::setPeers(const PeerList &Peers) {
  m_Plan = planExchange(m_Self, Peers.m_Instances, m_IsStopping);
  m_FirstZone = m_Self.m_Zone.m_Name;
  for (const PeerInstance &Peer : Peers.m_Instances)
    m_FirstZone = std::min(m_FirstZone, Peer.m_Zone.m_Name);
  if (m_Links == nullptr) {
    m_Links = m_OpenLinks(Peers.m_Key, *this);
    sendDigests();
  }
  updateDials(Peers);
  if (m_Origins != nullptr)
    m_Origins->setHubs(m_Plan.m_Hubs);
  for (auto &[Link, Peer] : m_PeerLinks) {
    updateUsageRole(Link, Peer);
    if (m_Origins != nullptr)
      m_Origins->setNear(Link, isNearPeer(Peer));
  }
}

void DigestExchange::stop() { m_IsStopping = true; }

/// Each pair has one link: the instance with the greater address dials. A peer
/// that is no longer listed stops, but serves until its process ends: its link
/// stays until then. One that stops keeps its links as well.
void DigestExchange::updateDials(const PeerList &Peers) {
  std::set<Address> Wanted;
  for (const auto *Planned : {&m_Plan.m_NearPeers, &m_Plan.m_OtherHubs})
    for (const auto &[Id, Where] : *Planned)
      if (Where < m_Self.m_Address || m_DialledInstead.contains(Where))
        Wanted.insert(Where);
  std::set<Address> Listed;
  for (const PeerInstance &Peer : Peers.m_Instances)
    Listed.insert(Peer.m_Address);
  for (const Address &Where : m_Dialled)
    if (!Wanted.contains(Where)) {
      m_DialledInstead.erase(Where);
      if (Listed.contains(Where) && !m_IsStopping)
        m_Links->disconnect(Where);
      else
        m_Links->stopDialling(Where);
    }
  for (const Address &Where : Wanted)
    if (!m_Dialled.contains(Where))
      m_Links->dial(Where);
  m_Dialled = std::move(Wanted);
  scheduleMissingDials();
}

/// No peer dials an instance that is no longer listed.
void DigestExchange::scheduleMissingDials() {
  if (!m_DialTimer.isRunning())
    m_DialTimer.start(m_IsStopping ? Duration::zero() : DialWait,
                      [this] { dialMissingPeers(); });
}

/// The peer that should dial does so once it knows this instance, and the link
/// made here then gives way (see linkUp()).
void DigestExchange::dialMissingPeers() {
  for (const auto *Planned : {&m_Plan.m_NearPeers, &m_Plan.m_OtherHubs})
    for (const auto &[Id, Where] : *Planned)
      if (!isLinked(Id) && m_Dialled.insert(Where).second) {
        m_DialledInstead.insert(Where);
        m_Links->dial(Where);
      }
}

bool DigestExchange::isLinked(InstanceId Peer) const {
  return std::any_of(
      m_PeerLinks.begin(), m_PeerLinks.end(),
      [&](const auto &Entry) { return Entry.second.m_Instance == Peer; });
}

// ---- Links ------------------------------------------------------------------

/// A peer that is not in this instance's list, or no longer, is near if those
/// of its zone are.
bool DigestExchange::isNearPeer(const PeerLink &Link) const {
  return m_Plan.m_NearPeers.contains(Link.m_Instance) ||
         Link.m_Zone == m_Self.m_Zone || m_Plan.m_Hubs.empty();
}

void DigestExchange::linkUp(link::LinkId Link, const link::Peer &Peer) {
  if (isLinked(Peer.m_Instance) && m_DialledInstead.erase(Peer.m_Address) > 0) {
    m_Dialled.erase(Peer.m_Address);
    m_Links->disconnect(Peer.m_Address);
  }
  const PeerLink NewLink = {Peer.m_Instance, Peer.m_Zone, false, m_Clock.now()};
  updateUsageRole(Link, m_PeerLinks[Link] = NewLink);
  if (m_Origins != nullptr)
    m_Origins->addPeer(
        *m_Links, {Link, Peer.m_Instance, Peer.m_Zone, isNearPeer(NewLink)});
  if (!isNearPeer(NewLink)) {
    // Sums sent while the link was down are not repeated.
    if (m_IsHub)
      packDigest(lastingFacts(), m_Links->outbox(Link).zone_sum);
    return;
  }
  // A peer that has just started needs to know the prefixes that engines hold.
  // Among many instances only the hub sends them, as the message is long.
  if (m_Plan.m_Hubs.empty() || m_IsHub)
    packDigest(m_Balancer.fullDigest(m_Clock.now()),
               m_Links->outbox(Link).digest);
}

void DigestExchange::linkFrame(link::LinkId Link, const wire::Frame &Frame) {
  const auto Found = m_PeerLinks.find(Link);
  if (Found == m_PeerLinks.end())
    return;
  PeerLink &From = Found->second;
  const TimePoint Now = m_Clock.now();
  From.m_LastFrameAt = Now;
  if (m_Usage != nullptr)
    m_Usage->receive(From.m_Instance, Frame, isNearPeer(From));
  if (m_Origins != nullptr)
    m_Origins->receive(Link, Frame);
  if (Frame.digest() != nullptr) {
    const balance::LoadDigest Digest = unpack(*Frame.digest());
    m_Balancer.applyPeerDigest(From.m_Instance, Digest, Now);
    if (m_IsHub)
      m_OwnZoneSum.add(From.m_Instance, Digest, Now);
  }
  if (Frame.zone_sum() != nullptr && m_IsHub) {
    const balance::LoadDigest Digest = unpack(*Frame.zone_sum());
    m_Balancer.applyPeerDigest(zoneId(From.m_Zone), Digest, Now);
    m_OtherZonesSum.add(zoneId(From.m_Zone), Digest, Now);
  }
  if (Frame.elsewhere() != nullptr && !m_IsHub)
    m_Balancer.applyPeerDigest(otherZonesId(), unpack(*Frame.elsewhere()), Now);
  if (Frame.directory_updates() != nullptr)
    receiveUpdates(From, Frame);
}

void DigestExchange::linkDown(link::LinkId Link, const link::Peer &Peer,
                              link::CloseReason) {
  m_PeerLinks.erase(Link);
  if (m_Origins != nullptr)
    m_Origins->removePeer(Link);
  scheduleMissingDials();
  if (isLinked(Peer.m_Instance))
    return;
  m_Balancer.removePeer(Peer.m_Instance);
  m_OwnZoneSum.drop(Peer.m_Instance);
  if (m_Usage != nullptr)
    m_Usage->removePeer(Peer.m_Instance);
}

void DigestExchange::dialFailed(const Address &, link::CloseReason) {
  // The links count, log and retry it.
}

// ---- Usage ------------------------------------------------------------------

UsageExchange::PeerRole
DigestExchange::usageRoleOf(const PeerLink &Link) const {
  if (m_Plan.m_Collectors.contains(Link.m_Instance))
    return UsageExchange::PeerRole::Collector;
  return m_Plan.m_OtherHubs.contains(Link.m_Instance)
             ? UsageExchange::PeerRole::OtherZonesHub
             : UsageExchange::PeerRole::None;
}

void DigestExchange::updateUsageRole(link::LinkId Link, PeerLink &Peer) {
  const auto Before = std::exchange(Peer.m_UsageRole, usageRoleOf(Peer));
  if (m_Usage != nullptr && Before != Peer.m_UsageRole)
    m_Usage->sendAll(*m_Links, {Link, Peer.m_UsageRole});
}

void DigestExchange::sendUsage() {
  std::vector<UsageExchange::PeerLink> Peers;
  for (const auto &[Link, Peer] : m_PeerLinks)
    if (Peer.m_UsageRole != UsageExchange::PeerRole::None)
      Peers.push_back({Link, Peer.m_UsageRole});
  m_Usage->sendChanges(*m_Links, Peers, m_IsHub);
}

// ---- The directory ----------------------------------------------------------

ReadingRole DigestExchange::readingRole() const {
  const std::vector<InstanceId> &Readers = m_Plan.m_Readers;
  if (Readers.size() < 2)
    return ReadingRole::Alone;
  const auto Own =
      std::find(Readers.begin(), Readers.end(), instanceIdOf(m_Self.m_Name));
  if (Own == Readers.end())
    return ReadingRole::Follower;
  return Own == Readers.begin() ? ReadingRole::Reader : ReadingRole::Deputy;
}

bool DigestExchange::isFirstReader() const {
  return readingRole() == ReadingRole::Reader &&
         (m_Plan.m_Hubs.empty() || m_Self.m_Zone.m_Name == m_FirstZone);
}

void DigestExchange::sendUpdate(const DirectoryUpdate &Update) {
  for (const auto &[Link, Peer] : m_PeerLinks)
    if (isNearPeer(Peer))
      m_Links->outbox(Link).directory_updates.push_back(packUpdate(Update));
}

void DigestExchange::receiveUpdates(PeerLink &From, const wire::Frame &Frame) {
  const std::vector<InstanceId> &Readers = m_Plan.m_Readers;
  const bool IsReader = std::find(Readers.begin(), Readers.end(),
                                  From.m_Instance) != Readers.end();
  std::vector<DirectoryUpdate> Accepted;
  for (const wire::DirectoryUpdate *Encoded : *Frame.directory_updates()) {
    if (auto Update = IsReader ? unpack(*Encoded) : std::nullopt)
      Accepted.push_back(std::move(*Update));
    else
      dropUpdate(From);
  }
  // A new list of instances can close this link, which destroys From.
  for (const DirectoryUpdate &Update : Accepted) {
    m_UpdatesReceived.add();
    m_OnUpdate(Update);
  }
}

/// Logs once a link. Instances that have just started may know other readers
/// than this one does; this one then reads the directory itself.
void DigestExchange::dropUpdate(PeerLink &From) {
  m_UpdatesDropped.add();
  if (std::exchange(From.m_DropLogged, true))
    return;
  logEvent(LogEvent::GatewayUpdateDropped,
           {{"peer", std::to_string(From.m_Instance.value())},
            {"zone", From.m_Zone.m_Name}});
}

// ---- Sending ----------------------------------------------------------------

Duration DigestExchange::interval() const {
  return std::max(Interval, IntervalPerLink *
                                static_cast<Duration::rep>(m_PeerLinks.size()));
}

void DigestExchange::sendDigests() {
  m_DigestTimer.start(interval(), [this] { sendDigests(); });
  ++m_IntervalCount;
  const balance::LoadDigest Own = m_Balancer.takeDigest(m_Clock.now());
  sendToNearPeers(Own);
  setHub(shouldBeHub());
  if (m_IsHub)
    relayZoneSums(Own);
  if (m_Usage != nullptr)
    sendUsage();
}

void DigestExchange::flush() {
  if (m_Links == nullptr)
    return;
  sendDigests();
  for (const auto &[Link, Peer] : m_PeerLinks)
    m_Links->flush(Link);
}

void DigestExchange::sendToNearPeers(const balance::LoadDigest &Own) {
  // One empty digest clears the last one; further ones would change nothing. A
  // hub sends them all the same, as its silence means that it has failed.
  if (Own.empty() && m_LastDigestEmpty && !m_IsHub)
    return;
  m_LastDigestEmpty = Own.empty();
  for (const auto &[Link, Peer] : m_PeerLinks)
    if (isNearPeer(Peer)) {
      auto &Digest = m_Links->outbox(Link).digest;
      packDigest(Own, Digest);
      if (m_Usage != nullptr)
        m_Usage->stamp(*Digest);
    }
}

/// The first responsive one of the zone's hubs exchanges sums for the zone.
bool DigestExchange::shouldBeHub() const {
  const InstanceId Self = instanceIdOf(m_Self.m_Name);
  const TimePoint Now = m_Clock.now();
  for (const InstanceId Hub : m_Plan.m_Hubs) {
    if (Hub == Self)
      return true;
    if (std::any_of(m_PeerLinks.begin(), m_PeerLinks.end(),
                    [&](const auto &Entry) {
                      const PeerLink &Peer = Entry.second;
                      return Peer.m_Instance == Hub &&
                             Now - Peer.m_LastFrameAt < HubSilenceLimit;
                    }))
      return false;
  }
  return false;
}

/// Clears the sums: load received in the other role would count twice.
void DigestExchange::setHub(bool Hub) {
  if (Hub == m_IsHub)
    return;
  m_IsHub = Hub;
  if (m_Origins != nullptr)
    m_Origins->setActiveHub(Hub);
  m_OwnZoneSum.clear();
  m_OtherZonesSum.clear();
  m_Balancer.removePeer(otherZonesId());
  for (const auto &[Link, Peer] : m_PeerLinks)
    m_Balancer.removePeer(zoneId(Peer.m_Zone));
  if (!Hub)
    return;
  // The previous hub may have failed before it relayed all of them.
  const balance::LoadDigest Known = lastingFacts();
  m_OwnZoneSum.add(instanceIdOf(m_Self.m_Name), Known, m_Clock.now());
  m_OtherZonesSum.add(otherZonesId(), Known, m_Clock.now());
  // Nor all usage counters.
  if (m_Usage != nullptr)
    for (const auto &[Link, Peer] : m_PeerLinks)
      if (Peer.m_UsageRole == UsageExchange::PeerRole::OtherZonesHub)
        m_Usage->sendAll(*m_Links, {Link, Peer.m_UsageRole});
}

/// Returns what stays true until it is stated otherwise, unlike loads.
balance::LoadDigest DigestExchange::lastingFacts() const {
  balance::LoadDigest Result;
  Result.m_Crashes = m_Balancer.quarantine().snapshot();
  Result.m_Leaving = m_Balancer.leavingUpstreams();
  return Result;
}

void DigestExchange::relayZoneSums(const balance::LoadDigest &Own) {
  const TimePoint Now = m_Clock.now();
  m_OwnZoneSum.add(instanceIdOf(m_Self.m_Name), Own, Now);
  const balance::LoadDigest Zone = m_OwnZoneSum.takeSum(Now);
  const bool SendOthers = m_IntervalCount % IntervalsPerRelay == 0;
  const balance::LoadDigest Others =
      SendOthers ? m_OtherZonesSum.takeSum(Now) : balance::LoadDigest();
  // Empty sums need not be sent: earlier ones expire after a short time.
  for (const auto &[Link, Peer] : m_PeerLinks) {
    if (!isNearPeer(Peer) && !Zone.empty())
      packDigest(Zone, m_Links->outbox(Link).zone_sum);
    else if (isNearPeer(Peer) && !Others.empty())
      packDigest(Others, m_Links->outbox(Link).elsewhere);
  }
}

} // namespace crowstep::gateway
