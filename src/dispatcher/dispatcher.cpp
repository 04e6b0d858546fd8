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
      m_Platform(m_HttpClient, m_Settings.m_PlatformAddress,
                 m_Settings.m_PlatformTimeout, m_Stats),
      m_Links(m_Settings.m_Link, m_Timers, m_Stats, *this),
      m_Membership(m_Settings.m_Membership, selfOf(m_Settings.m_Link), m_Clock,
                   m_Timers, m_Links, m_Stats),
      m_Table(m_Settings.m_Table, m_Clock, m_Timers, m_Platform, m_Membership,
              m_Links, m_Stats),
      m_Upstreams(m_Timers, m_Platform, m_Platform, m_Settings.m_ListInterval,
                  readingOffsetOf(m_Settings.m_Link.m_Name)),
      m_Workspaces(m_Timers, m_Platform, WorkspaceInterval),
      m_Pools(instanceIdOf(m_Settings.m_Link.m_Name), m_Settings.m_Decider,
              m_Clock, m_Timers, m_Links, m_HttpClient,
              m_Settings.m_LoadInterval, m_Upstreams),
      m_Attachments(m_Clock, m_Timers, m_Links, attachmentSource()),
      m_ClaimHome({}, m_Clock, m_Timers, m_Platform, m_Links, m_Stats),
      m_Orders(leaseHolderOf(m_Settings.m_Link), m_Clock, m_Timers, m_Platform,
               m_HttpClient, m_Stats, m_Upstreams),
      m_Admin({m_Table, m_Membership, m_Upstreams, m_Workspaces, m_Pools,
               m_Orders, m_Stats}),
      m_RightTimer(m_Timers), m_StopTimer(m_Timers) {
  connectComponents();
}

AttachmentSource Dispatcher::attachmentSource() {
  AttachmentSource Source;
  Source.m_HasRightToServe = [this] { return m_Table.rightToServe(); };
  Source.m_IsDraining = [this] {
    return m_IsStopping ||
           m_Upstreams.isInstanceDraining(m_Settings.m_Link.m_Name);
  };
  Source.m_Members = [this]() -> const auto & {
    return m_Membership.members();
  };
  Source.m_Upstreams = [this]() -> const auto & {
    return m_Upstreams.upstreams();
  };
  Source.m_Workspaces = [this]() -> const auto & {
    return m_Workspaces.workspaces();
  };
  return Source;
}

void Dispatcher::connectComponents() {
  m_Membership.onChange([this] {
    m_Pools.membersChanged(m_Membership.members());
    m_Attachments.membersChanged();
  });
  m_Upstreams.onChange([this] {
    logEvent(LogEvent::UpstreamsRead,
             {{"count", std::to_string(m_Upstreams.upstreams().size())}});
    m_Pools.upstreamsChanged();
    m_Attachments.upstreamsChanged();
  });
  m_Upstreams.onInstancesRead([this](const std::vector<std::string> &Names) {
    // A platform that lists no instance doesn't take back the settings' seeds.
    if (!Names.empty())
      m_Membership.setHints(m_Upstreams.dispatcherHints());
    m_Table.instancesListed(Names);
  });
  m_Workspaces.onChange([this] { m_Attachments.workspacesChanged(); });
  m_Table.onChange([this] {
    m_Pools.tableChanged(m_Table.table());
    // Without an attached entry no acknowledgement comes to report the version.
    m_Table.setEntriesVersion(
        m_Attachments.lowestHeldVersion(m_Table.table().m_Version));
  });
  m_Attachments.onEntriesVersionChanged([this](TableVersion Held) {
    m_Table.setEntriesVersion(std::min(Held, m_Table.table().m_Version));
  });
}

void Dispatcher::start() {
  m_Links.start();
  m_Admin.listen(m_Settings.m_AdminAddress);
  m_Membership.setHints(m_Settings.m_SeedAddresses);
  m_Membership.start();
  m_Table.start();
  m_Upstreams.start();
  m_Workspaces.start();
  m_Pools.membersChanged(m_Membership.members());
  logRightChanges();
}

void Dispatcher::logRightChanges() {
  const bool HasRight = m_Table.rightToServe();
  if (HasRight != m_LoggedRight)
    logEvent(HasRight ? LogEvent::RightToServeHeld
                      : LogEvent::RightToServeLost);
  m_LoggedRight = HasRight;
  m_RightTimer.start(RightCheckInterval, [this] { logRightChanges(); });
}

void Dispatcher::stop(std::function<void()> Done) {
  m_IsStopping = true;
  // The pools get new owners while the links are still up, so that entries are
  // notified of them instead of finding a closed link.
  m_Membership.leave();
  m_Pools.releaseAll();
  m_StopTimer.start(StopFlushTime, std::move(Done));
}

void Dispatcher::linkUp(link::LinkId Link, const link::Peer &Peer) {
  m_Membership.linkUp(Link, Peer);
  m_Table.linkUp(Link, Peer);
  m_Pools.linkUp(Link, Peer);
  m_Attachments.linkUp(Link, Peer);
  if (Peer.m_Role == wire::Role::Dispatcher)
    sendKnowledge(Link);
}

void Dispatcher::sendKnowledge(link::LinkId Link) {
  auto Out = std::make_unique<wire::KnowledgeT>();
  for (const Upstream &Info : m_Upstreams.upstreams())
    Out->upstreams.push_back(toWire(Info));
  for (const Workspace &Info : m_Workspaces.workspaces())
    Out->workspaces.push_back(toWire(Info));
  m_Links.outbox(Link).knowledge = std::move(Out);
}

void Dispatcher::applyKnowledge(const wire::Knowledge &Received) {
  std::vector<Upstream> Upstreams;
  if (Received.upstreams() != nullptr)
    for (const wire::UpstreamInfo *Info : *Received.upstreams())
      Upstreams.push_back(fromWire(*Info));
  std::vector<Workspace> Workspaces;
  if (Received.workspaces() != nullptr)
    for (const wire::WorkspaceInfo *Info : *Received.workspaces())
      Workspaces.push_back(fromWire(*Info));
  m_Upstreams.setFromPeer(std::move(Upstreams));
  m_Workspaces.setFromPeer(std::move(Workspaces));
}

void Dispatcher::linkFrame(link::LinkId Link, const wire::Frame &Frame) {
  m_Membership.linkFrame(Link, Frame);
  m_Table.linkFrame(Link, Frame);
  m_Attachments.linkFrame(Link, Frame);
  m_Pools.linkFrame(Link, Frame);
  m_ClaimHome.linkFrame(Link, Frame);
  if (Frame.knowledge() != nullptr)
    applyKnowledge(*Frame.knowledge());
}

void Dispatcher::linkDown(link::LinkId Link, const link::Peer &Peer,
                          link::CloseReason Reason) {
  m_Membership.linkDown(Link, Peer, Reason);
  m_Table.linkDown(Link, Peer, Reason);
  m_Attachments.linkDown(Link);
  m_Pools.linkDown(Link, Peer);
}

void Dispatcher::dialFailed(const Address &Target, link::CloseReason Reason) {
  m_Membership.dialFailed(Target, Reason);
}

} // namespace crowstep::dispatcher
