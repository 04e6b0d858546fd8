/// Connects the components of the dispatcher daemon.
#include "dispatcher/dispatcher.h"

#include "core/log.h"
#include "knowledge_wire.h"

namespace crowstep::dispatcher {

using namespace std::chrono_literals;

namespace {

constexpr Duration WorkspaceInterval = 5s;
constexpr Duration RightCheckInterval = 100ms;
/// Time between stop() and exit; long enough for the last frames to leave the
/// send queues.
constexpr Duration StopFlushTime = 300ms;

membership::Member selfOf(const link::LinkConfig &Link) {
  membership::Member Self;
  Self.m_Name = Link.m_Name;
  Self.m_Id = instanceIdOf(Link.m_Name);
  Self.m_Incarnation = Link.m_Incarnation;
  Self.m_Address = Link.m_Listen;
  Self.m_Zone = Link.m_Zone;
  return Self;
}

/// Returns a lease holder's name that no other incarnation of any process has.
std::string leaseHolderOf(const link::LinkConfig &Link) {
  return Link.m_Name + "#" + std::to_string(Link.m_Incarnation.value());
}

/// Returns a fraction from 0 to 1, hashed from the name, so that instances
/// spread their readings over an interval.
double readingOffsetOf(const std::string &Name) {
  return static_cast<double>(instanceIdOf(Name).value() % 1000) / 1000.0;
}

} // namespace

Dispatcher::Dispatcher(DispatcherSettings Config)
    : m_Settings(std::move(Config)),
      m_Platform(m_Http, m_Settings.m_Platform, m_Settings.m_PlatformTimeout,
                 m_Stats),
      m_Links(m_Settings.m_Link, m_Timers, m_Stats, *this),
      m_Fleet(m_Settings.m_Membership, selfOf(m_Settings.m_Link), m_Clock,
              m_Timers, m_Links, m_Stats),
      m_Table(m_Settings.m_Table, m_Clock, m_Timers, m_Platform, m_Fleet,
              m_Links, m_Stats),
      m_Upstreams(m_Timers, m_Platform, m_Platform, m_Settings.m_ListInterval,
                  readingOffsetOf(m_Settings.m_Link.m_Name)),
      m_Workspaces(m_Timers, m_Platform, WorkspaceInterval),
      m_Pools(instanceIdOf(m_Settings.m_Link.m_Name), m_Settings.m_Policy,
              m_Clock, m_Timers, m_Links, m_Http, m_Settings.m_LoadInterval,
              m_Upstreams),
      m_Entries(m_Clock, m_Timers, m_Links, attachmentSource()),
      m_Claims({}, m_Clock, m_Timers, m_Platform, m_Links, m_Stats),
      m_Orders(leaseHolderOf(m_Settings.m_Link), m_Clock, m_Timers, m_Platform,
               m_Http, m_Stats, m_Upstreams),
      m_Admin({m_Table, m_Fleet, m_Upstreams, m_Workspaces, m_Pools, m_Orders,
               m_Stats}),
      m_RightTimer(m_Timers), m_StopTimer(m_Timers) {
  connectParts();
}

AttachmentSource Dispatcher::attachmentSource() {
  AttachmentSource Source;
  Source.m_RightToServe = [this] { return m_Table.rightToServe(); };
  Source.m_Draining = [this] {
    return m_Stopping || m_Upstreams.instanceDrained(m_Settings.m_Link.m_Name);
  };
  Source.m_Members = [this]() -> const auto & { return m_Fleet.members(); };
  Source.m_Upstreams = [this]() -> const auto & {
    return m_Upstreams.upstreams();
  };
  Source.m_Workspaces = [this]() -> const auto & {
    return m_Workspaces.workspaces();
  };
  return Source;
}

void Dispatcher::connectParts() {
  m_Fleet.onChange([this] {
    m_Pools.membersChanged(m_Fleet.members());
    m_Entries.membersChanged();
  });
  m_Upstreams.onChange([this] {
    logEvent(LogEvent::UpstreamsRead,
             {{"count", std::to_string(m_Upstreams.upstreams().size())}});
    m_Fleet.seed(m_Upstreams.dispatcherHints());
    m_Pools.upstreamsChanged();
    m_Entries.upstreamsChanged();
  });
  m_Upstreams.onInstances([this](const std::vector<std::string> &Names) {
    m_Table.instancesListed(Names);
  });
  m_Workspaces.onChange([this] { m_Entries.workspacesChanged(); });
  m_Table.onChange([this] {
    m_Pools.tableChanged(m_Table.table());
    // Without an attached entry no acknowledgement comes to report the version.
    m_Table.entriesHold(m_Entries.heldByAll(m_Table.table().m_Version));
  });
  m_Entries.onHeld([this](TableVersion Held) {
    m_Table.entriesHold(std::min(Held, m_Table.table().m_Version));
  });
}

void Dispatcher::start() {
  m_Links.start();
  m_Admin.listen(m_Settings.m_Admin);
  m_Fleet.seed(m_Settings.m_Seeds);
  m_Fleet.start();
  m_Table.start();
  m_Upstreams.start();
  m_Workspaces.start();
  m_Pools.membersChanged(m_Fleet.members());
  watchRight();
}

void Dispatcher::watchRight() {
  const bool HasRight = m_Table.rightToServe();
  if (HasRight != m_Serves)
    logEvent(HasRight ? LogEvent::RightToServeHeld
                      : LogEvent::RightToServeLost);
  m_Serves = HasRight;
  m_RightTimer.start(RightCheckInterval, [this] { watchRight(); });
}

void Dispatcher::stop(std::function<void()> Done) {
  m_Stopping = true;
  // The pools get new owners while the links are still up, so that entries are
  // notified of them instead of finding a closed link.
  m_Fleet.leave();
  m_Pools.release();
  m_StopTimer.start(StopFlushTime, std::move(Done));
}

void Dispatcher::linkUp(link::LinkId Link, const link::Peer &Peer) {
  m_Fleet.linkUp(Link, Peer);
  m_Table.linkUp(Link, Peer);
  m_Pools.linkUp(Link, Peer);
  m_Entries.linkUp(Link, Peer);
  if (Peer.m_Role == wire::Role::Dispatcher)
    tellKnowledge(Link);
}

void Dispatcher::tellKnowledge(link::LinkId Link) {
  auto Out = std::make_unique<wire::KnowledgeT>();
  for (const Upstream &Info : m_Upstreams.upstreams())
    Out->upstreams.push_back(toWire(Info));
  for (const Workspace &Info : m_Workspaces.workspaces())
    Out->workspaces.push_back(toWire(Info));
  m_Links.outbox(Link).knowledge = std::move(Out);
}

void Dispatcher::learn(const wire::Knowledge &Received) {
  std::vector<Upstream> Upstreams;
  if (Received.upstreams() != nullptr)
    for (const wire::UpstreamInfo *Info : *Received.upstreams())
      Upstreams.push_back(fromWire(*Info));
  std::vector<Workspace> Workspaces;
  if (Received.workspaces() != nullptr)
    for (const wire::WorkspaceInfo *Info : *Received.workspaces())
      Workspaces.push_back(fromWire(*Info));
  m_Upstreams.learn(std::move(Upstreams));
  m_Workspaces.learn(std::move(Workspaces));
}

void Dispatcher::linkFrame(link::LinkId Link, const wire::Frame &Frame) {
  m_Fleet.linkFrame(Link, Frame);
  m_Table.linkFrame(Link, Frame);
  m_Entries.linkFrame(Link, Frame);
  m_Pools.linkFrame(Link, Frame);
  m_Claims.linkFrame(Link, Frame);
  if (Frame.knowledge() != nullptr)
    learn(*Frame.knowledge());
}

void Dispatcher::linkDown(link::LinkId Link, const link::Peer &Peer,
                          link::CloseReason Reason) {
  m_Fleet.linkDown(Link, Peer, Reason);
  m_Table.linkDown(Link, Peer, Reason);
  m_Entries.linkDown(Link);
  m_Pools.linkDown(Link, Peer);
}

void Dispatcher::dialFailed(const Address &Target, link::CloseReason Reason) {
  m_Fleet.dialFailed(Target, Reason);
}

} // namespace crowstep::dispatcher
