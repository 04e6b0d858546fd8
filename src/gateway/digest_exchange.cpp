/// Digests among instances.
#include "gateway/digest_exchange.h"

#include "core/log.h"

#include <glib.h>

namespace crowstep::gateway {

namespace {

std::unique_ptr<wire::GatewayDigestT> packed(const balance::LoadDigest &From) {
  auto Result = std::make_unique<wire::GatewayDigestT>();
  for (const balance::UpstreamLoad &Each : From.m_Loads)
    Result->loads.emplace_back(
        Each.m_Upstream.value(), Each.m_UnreadTokens, Each.m_HeldTokens,
        static_cast<std::uint16_t>(Each.m_Running), Each.m_Urgency);
  for (const balance::PartPlaced &Each : From.m_Parts)
    Result->parts.emplace_back(Each.m_Upstream.value(), Each.m_Part.m_Id,
                               Each.m_Part.m_Tokens);
  for (const auto &[Pool, Work] : From.m_Work)
    Result->work.emplace_back(Pool.value(),
                              static_cast<std::uint32_t>(Work.m_Short),
                              static_cast<std::uint32_t>(Work.m_Long));
  return Result;
}

balance::LoadDigest unpacked(const wire::GatewayDigest &From) {
  balance::LoadDigest Result;
  if (From.loads() != nullptr)
    for (const wire::UpstreamLoad *Each : *From.loads())
      if (Each->urgency() < balance::UrgencyCount)
        Result.m_Loads.push_back({UpstreamId(Each->upstream()), Each->urgency(),
                                  Each->running(), Each->unread_tokens(),
                                  Each->held_tokens()});
  if (From.parts() != nullptr)
    for (const wire::PartPlaced *Each : *From.parts())
      Result.m_Parts.push_back(
          {UpstreamId(Each->upstream()), {Each->part(), Each->tokens()}});
  if (From.work() != nullptr)
    for (const wire::WorkPlaced *Each : *From.work())
      Result.m_Work[PoolId(Each->pool())] = {
          static_cast<double>(Each->short_tokens()),
          static_cast<double>(Each->long_tokens())};
  return Result;
}

} // namespace

DigestExchange::DigestExchange(std::string Name, AvailabilityZone Zone,
                               Address Listen, const Clock &Time,
                               Scheduler &Timers, Metrics &Stats,
                               balance::Balancer &Loads)
    : m_Name(std::move(Name)), m_Zone(std::move(Zone)), m_Listen(Listen),
      m_Clock(Time), m_Timers(Timers), m_Metrics(Stats), m_Balancer(Loads),
      m_Tick(Timers) {}

void DigestExchange::setPeers(const PeerList &Peers) {
  if (m_Links == nullptr) {
    link::LinkConfig Config;
    Config.m_Role = wire::Role::Gateway;
    Config.m_Name = m_Name;
    Config.m_Incarnation =
        Incarnation(static_cast<std::uint64_t>(g_get_real_time()));
    Config.m_Zone = m_Zone;
    Config.m_Listen = m_Listen;
    Config.m_Key = Peers.m_Key;
    link::LinkListener &Self = *this;
    m_Links =
        std::make_unique<link::TcpLinks>(Config, m_Timers, m_Metrics, Self);
    m_Links->start();
    tick();
  }
  // One link a pair: the instance with the greater address opens it.
  std::set<Address> Wanted;
  for (const PeerInstance &Each : Peers.m_Instances)
    if (Each.m_Address < m_Listen)
      Wanted.insert(Each.m_Address);
  for (const Address &Where : m_Dialled)
    if (!Wanted.contains(Where))
      m_Links->hangUp(Where);
  for (const Address &Where : Wanted)
    if (!m_Dialled.contains(Where))
      m_Links->dial(Where);
  m_Dialled = std::move(Wanted);
}

void DigestExchange::linkUp(link::LinkId Link, const link::Peer &Who) {
  m_Up[Link] = Who.m_Instance;
  send(Link, m_Balancer.wholeDigest());
}

void DigestExchange::linkFrame(link::LinkId Link, const wire::Frame &Frame) {
  const auto Found = m_Up.find(Link);
  if (Found != m_Up.end() && Frame.digest() != nullptr)
    m_Balancer.peerSaid(Found->second, unpacked(*Frame.digest()),
                        m_Clock.now());
}

void DigestExchange::linkDown(link::LinkId Link, const link::Peer &Who,
                              link::CloseReason) {
  m_Up.erase(Link);
  m_Balancer.peerGone(Who.m_Instance);
}

void DigestExchange::dialFailed(const Address &, link::CloseReason) {
  // Counted and logged by the links, which also try again.
}

/// Two digests of one loop iteration go out as one frame: the loads are those
/// of the later, parts and work add up.
void DigestExchange::send(link::LinkId Link, const balance::LoadDigest &What) {
  std::unique_ptr<wire::GatewayDigestT> &Waiting = m_Links->outbox(Link).digest;
  std::unique_ptr<wire::GatewayDigestT> Fresh = packed(What);
  if (Waiting != nullptr) {
    Fresh->parts.insert(Fresh->parts.begin(), Waiting->parts.begin(),
                        Waiting->parts.end());
    Fresh->work.insert(Fresh->work.begin(), Waiting->work.begin(),
                       Waiting->work.end());
  }
  Waiting = std::move(Fresh);
}

void DigestExchange::tick() {
  m_Tick.start(Interval, [this] { tick(); });
  const balance::LoadDigest Digest = m_Balancer.takeDigest();
  const bool Nothing = Digest.m_Loads.empty() && Digest.m_Parts.empty();
  // One empty digest ends what the last one said; more would say nothing.
  if (Nothing && m_ToldNothing)
    return;
  m_ToldNothing = Nothing;
  for (const auto &[Link, Peer] : m_Up)
    send(Link, Digest);
}

} // namespace crowstep::gateway
