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

DigestExchange::DigestExchange(PeerInstance Self, OpenLinks Open,
                               const Clock &Time, Scheduler &Timers,
                               balance::Balancer &Balancer, Metrics &Stats,
                               TakeUpdate OnUpdate)
    : m_Self(std::move(Self)), m_Open(std::move(Open)), m_Clock(Time),
      m_Balancer(Balancer), m_OnUpdate(std::move(OnUpdate)),
      m_Updates(Stats.counter("crowstep_directory_updates_total")),
      m_DroppedUpdates(
          Stats.counter("crowstep_directory_updates_dropped_total")),
      m_Tick(Timers) {}

DigestExchange::~DigestExchange() = default;

void DigestExchange::setPeers(const PeerList &Peers) {
  m_Plan = planExchange(m_Self, Peers.m_Instances);
  if (m_Links == nullptr) {
    m_Links = m_Open(Peers.m_Key, *this);
    tick();
  }
  dialAll();
}

/// Each pair has one link: the instance with the greater address dials.
void DigestExchange::dialAll() {
  std::set<Address> Wanted;
  for (const auto *Peers : {&m_Plan.m_Near, &m_Plan.m_Far})
    for (const auto &[Id, Where] : *Peers)
      if (Where < m_Self.m_Address)
        Wanted.insert(Where);
  for (const Address &Where : m_Dialled)
    if (!Wanted.contains(Where))
      m_Links->hangUp(Where);
  for (const Address &Where : Wanted)
    if (!m_Dialled.contains(Where))
      m_Links->dial(Where);
  m_Dialled = std::move(Wanted);
}

// ---- Links ------------------------------------------------------------------

/// A peer that is not in this instance's list yet is near if it is in the same
/// zone.
bool DigestExchange::isNear(const Linked &Link) const {
  return m_Plan.m_Near.contains(Link.m_Instance) ||
         Link.m_Zone == m_Self.m_Zone;
}

void DigestExchange::linkUp(link::LinkId Link, const link::Peer &Peer) {
  const Linked NewLink = {Peer.m_Instance, Peer.m_Zone, false};
  m_Up[Link] = NewLink;
  if (!isNear(NewLink)) {
    // Sums sent while the link was down are not repeated, so known crashes are.
    if (m_Hub)
      pack(crashesKnown(), m_Links->outbox(Link).zone_sum);
    return;
  }
  // A peer that has just started needs to know the prefixes that engines hold.
  // Among many instances only the hub sends them, as the message is long.
  if (m_Plan.m_Hubs.empty() || m_Hub)
    pack(m_Balancer.wholeDigest(m_Clock.now()), m_Links->outbox(Link).digest);
}

void DigestExchange::linkFrame(link::LinkId Link, const wire::Frame &Frame) {
  const auto Found = m_Up.find(Link);
  if (Found == m_Up.end())
    return;
  Linked &From = Found->second;
  const TimePoint Now = m_Clock.now();
  if (Frame.digest() != nullptr) {
    const balance::LoadDigest Digest = unpacked(*Frame.digest());
    m_Balancer.peerSaid(From.m_Instance, Digest, Now);
    if (m_Hub)
      m_OwnZone.take(From.m_Instance, Digest, Now);
  }
  if (Frame.zone_sum() != nullptr && m_Hub) {
    const balance::LoadDigest Digest = unpacked(*Frame.zone_sum());
    m_Balancer.peerSaid(zoneId(From.m_Zone), Digest, Now);
    m_OtherZones.take(zoneId(From.m_Zone), Digest, Now);
  }
  if (Frame.elsewhere() != nullptr && !m_Hub)
    m_Balancer.peerSaid(otherZonesId(), unpacked(*Frame.elsewhere()), Now);
  if (Frame.directory_updates() != nullptr)
    takeUpdates(From, Frame);
}

void DigestExchange::linkDown(link::LinkId Link, const link::Peer &Peer,
                              link::CloseReason) {
  m_Up.erase(Link);
  m_Balancer.peerGone(Peer.m_Instance);
  m_OwnZone.drop(Peer.m_Instance);
}

void DigestExchange::dialFailed(const Address &, link::CloseReason) {
  // The links count, log and retry it.
}

// ---- The directory ----------------------------------------------------------

ReadingRole DigestExchange::readingRole() const {
  const std::vector<InstanceId> &Hubs = m_Plan.m_Hubs;
  if (Hubs.empty())
    return ReadingRole::Alone;
  const auto Own =
      std::find(Hubs.begin(), Hubs.end(), instanceIdOf(m_Self.m_Name));
  if (Own == Hubs.end())
    return ReadingRole::Follower;
  return Own == Hubs.begin() ? ReadingRole::Reader : ReadingRole::Deputy;
}

void DigestExchange::passOn(const DirectoryUpdate &Update) {
  for (const auto &[Link, Peer] : m_Up)
    if (isNear(Peer))
      m_Links->outbox(Link).directory_updates.push_back(packed(Update));
}

void DigestExchange::takeUpdates(Linked &From, const wire::Frame &Frame) {
  const std::vector<InstanceId> &Hubs = m_Plan.m_Hubs;
  const bool IsReader =
      From.m_Zone == m_Self.m_Zone &&
      std::find(Hubs.begin(), Hubs.end(), From.m_Instance) != Hubs.end();
  std::vector<DirectoryUpdate> Accepted;
  for (const wire::DirectoryUpdate *Encoded : *Frame.directory_updates()) {
    if (auto Update = IsReader ? unpacked(*Encoded) : std::nullopt)
      Accepted.push_back(std::move(*Update));
    else
      dropUpdate(From);
  }
  // A new list of instances can close this link, which destroys From.
  for (const DirectoryUpdate &Update : Accepted) {
    m_Updates.add();
    m_OnUpdate(Update);
  }
}

/// Logs once a link. Instances that have just started may know other readers
/// than this one does; this one then reads the directory itself.
void DigestExchange::dropUpdate(Linked &From) {
  m_DroppedUpdates.add();
  if (std::exchange(From.m_Reported, true))
    return;
  logEvent(LogEvent::GatewayUpdateDropped,
           {{"peer", std::to_string(From.m_Instance.value())},
            {"zone", From.m_Zone.m_Name}});
}

// ---- Sending ----------------------------------------------------------------

Duration DigestExchange::interval() const {
  return std::max(Interval,
                  IntervalPerLink * static_cast<Duration::rep>(m_Up.size()));
}

void DigestExchange::tick() {
  m_Tick.start(interval(), [this] { tick(); });
  ++m_Ticks;
  const balance::LoadDigest Own = m_Balancer.takeDigest(m_Clock.now());
  tellNear(Own);
  becomeHub(shouldBeHub());
  if (m_Hub)
    relay(Own);
}

void DigestExchange::tellNear(const balance::LoadDigest &Own) {
  // One empty digest clears the last one; further ones would change nothing.
  if (Own.empty() && m_ToldNothing)
    return;
  m_ToldNothing = Own.empty();
  for (const auto &[Link, Peer] : m_Up)
    if (isNear(Peer))
      pack(Own, m_Links->outbox(Link).digest);
}

/// The first reachable one of the zone's hubs exchanges sums for the zone.
bool DigestExchange::shouldBeHub() const {
  const InstanceId Self = instanceIdOf(m_Self.m_Name);
  for (const InstanceId Hub : m_Plan.m_Hubs) {
    if (Hub == Self)
      return true;
    if (std::any_of(m_Up.begin(), m_Up.end(), [&](const auto &Entry) {
          return Entry.second.m_Instance == Hub;
        }))
      return false;
  }
  return false;
}

/// Clears the sums: load received in the other role would count twice.
void DigestExchange::becomeHub(bool Hub) {
  if (Hub == m_Hub)
    return;
  m_Hub = Hub;
  m_OwnZone.clear();
  m_OtherZones.clear();
  m_Balancer.peerGone(otherZonesId());
  for (const auto &[Link, Peer] : m_Up)
    m_Balancer.peerGone(zoneId(Peer.m_Zone));
  if (!Hub)
    return;
  // The previous hub may have failed before it relayed all crash reports.
  const balance::LoadDigest Known = crashesKnown();
  m_OwnZone.take(instanceIdOf(m_Self.m_Name), Known, m_Clock.now());
  m_OtherZones.take(otherZonesId(), Known, m_Clock.now());
}

balance::LoadDigest DigestExchange::crashesKnown() const {
  balance::LoadDigest Result;
  Result.m_Crashes = m_Balancer.quarantine().all();
  return Result;
}

void DigestExchange::relay(const balance::LoadDigest &Own) {
  const TimePoint Now = m_Clock.now();
  m_OwnZone.take(instanceIdOf(m_Self.m_Name), Own, Now);
  const balance::LoadDigest Zone = m_OwnZone.takeSum(Now);
  const bool SendOthers = m_Ticks % TicksPerRelay == 0;
  const balance::LoadDigest Others =
      SendOthers ? m_OtherZones.takeSum(Now) : balance::LoadDigest();
  // Empty sums need not be sent: earlier ones expire after a short time.
  for (const auto &[Link, Peer] : m_Up) {
    if (!isNear(Peer) && !Zone.empty())
      pack(Zone, m_Links->outbox(Link).zone_sum);
    else if (isNear(Peer) && !Others.empty())
      pack(Others, m_Links->outbox(Link).elsewhere);
  }
}

} // namespace crowstep::gateway
