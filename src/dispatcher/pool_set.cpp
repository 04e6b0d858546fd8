/// Tracks pool ownership and passes entries' frames to the pools.
#include "dispatcher/pool_set.h"

#include "core/log.h"

namespace crowstep::dispatcher {

namespace {

/// Time for an entry whose link closed to reconnect and send its requests
/// again. After it the entry counts as dead and its slots as free: its upstream
/// connections close with it, so the engines have stopped by then.
constexpr Duration EntryGrace = std::chrono::seconds(1);

} // namespace

PoolSet::PoolSet(InstanceId Self, decision::DeciderConfig Config,
                 const Clock &Time, Scheduler &Timers, link::Links &Wire,
                 HttpClientInterface &Http, Duration LoadInterval,
                 const UpstreamDirectory &Directory)
    : m_Self(Self), m_Config(Config), m_Clock(Time), m_Timers(Timers),
      m_Links(Wire), m_Directory(Directory),
      m_LoadMonitor(Http, Timers, LoadInterval,
                    [this](const decision::Event &Event) {
                      for (auto &[Pool, Runner] : m_Pools)
                        Runner->handle(Event);
                    }) {}

void PoolSet::linkUp(link::LinkId Link, const link::Peer &Peer) {
  if (Peer.m_Role != wire::Role::Entry)
    return;
  const InstanceId Id = sessionIdOf(Peer);
  Session &Entry = m_Sessions[Id];
  Entry.m_Entry = {Id, Peer.m_Zone};
  Entry.m_Link = Link;
  Entry.m_GraceTimer.reset();
  m_SessionOfLink[Link] = Id;
}

void PoolSet::linkDown(link::LinkId Link, const link::Peer &Peer) {
  m_SessionOfLink.erase(Link);
  const InstanceId Id = sessionIdOf(Peer);
  const auto Found = m_Sessions.find(Id);
  if (Found == m_Sessions.end() || Found->second.m_Link != Link)
    return;
  Found->second.m_GraceTimer = std::make_unique<Timer>(m_Timers);
  Found->second.m_GraceTimer->start(EntryGrace,
                                    [this, Id] { removeSession(Id); });
}

void PoolSet::removeSession(InstanceId Session) {
  // The timer that runs this belongs to the session, which must outlive the
  // call.
  const auto Extracted = m_Sessions.extract(Session);
  for (auto &[Pool, Runner] : m_Pools)
    Runner->entryLost(Session);
}

void PoolSet::linkFrame(link::LinkId Link, const wire::Frame &Frame) {
  const auto Found = m_SessionOfLink.find(Link);
  if (Found == m_SessionOfLink.end())
    return;
  const EntrySession &Sender = m_Sessions.at(Found->second).m_Entry;
  for (auto &[Pool, Runner] : m_Pools)
    Runner->handleFrame(Link, Sender, Frame);
  answerForeignBids(Link, Frame);
}

void PoolSet::answerForeignBids(link::LinkId Link, const wire::Frame &Frame) {
  if (Frame.bids() == nullptr)
    return;
  for (const wire::Bid *Bid : *Frame.bids())
    if (!m_Pools.contains(PoolId(Bid->pool())))
      m_Links.outbox(Link).not_owner.emplace_back(Bid->request(), Bid->pool());
}

void PoolSet::membersChanged(const std::vector<membership::Member> &Members) {
  m_Members = Members;
  updateOwnership();
}

void PoolSet::upstreamsChanged() {
  updateOwnership();
  for (auto &[Pool, Runner] : m_Pools)
    Runner->setUpstreams(m_Directory.upstreamsOfService(Runner->service()));
  updateLoadMonitor();
}

void PoolSet::tableChanged(const ContractTable &Table) {
  m_Table = Table;
  for (auto &[Pool, Runner] : m_Pools)
    Runner->handle(decision::TableChanged{Table});
}

void PoolSet::releaseAll() {
  m_IsReleased = true;
  updateOwnership();
}

void PoolSet::updateOwnership() {
  const std::size_t CountBefore = m_Pools.size();
  std::erase_if(m_Pools, [&](const auto &Item) {
    const membership::Member *Owner =
        membership::ownerOf(Item.first, m_Members);
    const bool IsKept =
        !m_IsReleased && Owner != nullptr && Owner->m_Id == m_Self;
    if (!IsKept)
      logEvent(LogEvent::PoolReleased, {{"service", Item.second->service()}});
    return !IsKept;
  });
  bool Changed = m_Pools.size() != CountBefore;
  for (const PoolId Pool : m_Directory.pools()) {
    const membership::Member *Owner = membership::ownerOf(Pool, m_Members);
    if (m_IsReleased || Owner == nullptr || Owner->m_Id != m_Self ||
        m_Pools.contains(Pool))
      continue;
    acquire(Pool, m_Directory.serviceOf(Pool).value_or(""));
    Changed = true;
  }
  if (Changed)
    updateLoadMonitor();
}

void PoolSet::acquire(PoolId Pool, const std::string &Service) {
  auto Runner = std::make_unique<PoolRunner>(Pool, Service, m_Config, m_Clock,
                                             m_Timers, m_Links);
  if (m_Table.m_Version != TableVersion())
    Runner->handle(decision::TableChanged{m_Table});
  Runner->setUpstreams(m_Directory.upstreamsOfService(Service));
  m_Pools.emplace(Pool, std::move(Runner));
  logEvent(LogEvent::PoolAcquired, {{"service", Service}});
}

void PoolSet::updateLoadMonitor() {
  std::vector<Upstream> Owned;
  for (const auto &[Pool, Runner] : m_Pools)
    for (const Upstream &Info :
         m_Directory.upstreamsOfService(Runner->service()))
      Owned.push_back(Info);
  m_LoadMonitor.watch(Owned);
}

} // namespace crowstep::dispatcher
