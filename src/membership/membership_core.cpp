/// The membership protocol as a state machine without I/O.
#include "membership/membership_core.h"

#include "membership/member_func.h"
#include "membership/overlay.h"

#include <algorithm>

namespace crowstep::membership {

namespace {

/// Longest interval between ticks that counts as running time. A later tick was
/// delayed by this process or its machine; the rest of the interval must not
/// count as silence of others.
constexpr Duration MaxTickGap = 2 * TickInterval;

constexpr std::size_t ProbesWhenAlone = 3;
constexpr Duration ProbeIntervalAlone = std::chrono::milliseconds(500);
constexpr Duration TombstoneSweepInterval = std::chrono::seconds(10);
constexpr Duration ProbeInterval = std::chrono::seconds(5);

MemberUpdate updateOf(const Member &Subject) {
  return {Subject.m_Id, Subject.m_Incarnation, Subject.m_State,
          Subject.m_TableVersion};
}

} // namespace

MembershipCore::MembershipCore(const MembershipConfig &Config,
                               const Member &Self, TimePoint Now)
    : m_Config(Config), m_Self(Self.m_Id), m_View(Self),
      m_WatchList(Config.m_SuspectAfter),
      m_Random(pairHash(Config.m_Seed, Self.m_Id.value())), m_Now(Now),
      m_LastTick(Now), m_RunningTime(Now), m_NextHeartbeat(Now),
      m_NextProbe(Now), m_Reference{Self.m_Id} {}

const std::vector<Member> &MembershipCore::members() const {
  return m_View.all();
}

LinkId MembershipCore::linkTo(InstanceId Id) const {
  return m_WatchList.linkTo(Id);
}

const Member &MembershipCore::self() const { return *m_View.find(m_Self); }

std::vector<Action> MembershipCore::handle(TimePoint Now,
                                           const Event &Incoming) {
  m_Now = Now;
  m_Actions.clear();
  m_SourceLink = LinkId();
  std::visit([this](const auto &Known) { on(Known); }, Incoming);
  finishEvent();
  return std::move(m_Actions);
}

/// Floods what the event changed and adapts targets to the changed view.
void MembershipCore::finishEvent() {
  for (const auto &[Link, Peer] : m_WatchList.links()) {
    if (Link == m_SourceLink)
      continue;
    if (!m_MembersToFlood.empty())
      m_Actions.emplace_back(SendMembers{Link, m_MembersToFlood});
    if (!m_UpdatesToFlood.empty())
      m_Actions.emplace_back(SendUpdates{Link, m_UpdatesToFlood});
  }
  m_MembersToFlood.clear();
  m_UpdatesToFlood.clear();
  if (std::exchange(m_LiveChanged, false)) {
    m_ReferenceIsStale = true;
    updateViewMajority();
    updateTargets();
  }
  if (std::exchange(m_ViewChanged, false))
    m_Actions.emplace_back(ViewChanged{});
}

void MembershipCore::updateTargets() {
  const std::vector<Member> &All = m_View.all();
  std::set<InstanceId> Watched;
  std::map<Address, InstanceId> Dialled;
  for (const Member *Target :
       targetsOf(m_Self, m_Config.m_Degree, m_Config.m_Seed, All)) {
    Watched.insert(Target->m_Id);
    Dialled[Target->m_Address] = Target->m_Id;
  }
  m_WatchList.setTargets(Watched, m_RunningTime);
  m_DialPlan.setTargets(Dialled, m_Now, m_Actions);
}

// ---- Time ----

void MembershipCore::on(const Tick &) {
  advanceRunningTime();
  for (const InstanceId Id :
       m_View.suspectsBefore(m_RunningTime - m_Config.m_DeadAfter))
    reportFailure(Id, MemberState::Dead);
  for (const InstanceId Id : m_WatchList.silentPeers(m_RunningTime))
    reportFailure(Id, MemberState::Suspect);
  if (m_RunningTime >= m_NextTombstoneSweep) {
    m_NextTombstoneSweep = m_RunningTime + TombstoneSweepInterval;
    if (m_View.removeTombstonesBefore(m_RunningTime - TombstoneRetention))
      m_ViewChanged = true;
  }
  if (m_Now >= m_NextHeartbeat)
    sendHeartbeats();
  sendPendingVersions();
  probe();
  if (m_ReferenceIsStale && isInMajority(m_Now))
    resetReference();
}

void MembershipCore::resetReference() {
  m_ReferenceIsStale = false;
  m_Reference.clear();
  for (const Member &Known : m_View.all())
    if (isLive(Known.m_State))
      m_Reference.push_back(Known.m_Id);
  updateViewMajority();
}

/// Called when the view changes and not at each tick, so that the cost of a
/// tick does not grow with the fleet.
void MembershipCore::updateViewMajority() {
  const auto IsAlive = [this](InstanceId Id) {
    const Member *Known = m_View.find(Id);
    return Known != nullptr && Known->m_State == MemberState::Alive;
  };
  const auto Alive =
      static_cast<std::size_t>(std::ranges::count_if(m_Reference, IsAlive));
  m_ViewHasMajority = Alive * 2 > m_Reference.size();
}

void MembershipCore::advanceRunningTime() {
  const Duration Gap = m_Now - m_LastTick;
  m_LastTick = m_Now;
  m_RunningTime += std::min(Gap, MaxTickGap);
  if (Gap > m_Config.m_HeartbeatInterval)
    addNotice(NoticeKind::Slow, self());
}

void MembershipCore::sendHeartbeat(LinkId Link) {
  m_Actions.emplace_back(
      SendHeartbeat{Link, m_Sequence, self().m_TableVersion, m_View.hash()});
}

void MembershipCore::sendHeartbeats() {
  m_NextHeartbeat = m_Now + m_Config.m_HeartbeatInterval;
  ++m_Sequence;
  for (const auto &[Link, Peer] : m_WatchList.links())
    sendHeartbeat(Link);
}

/// Versions that others confirmed are sent in one message per tick and link:
/// after each change of the table every member confirms, and a frame for each
/// confirmation would cost more than its content.
void MembershipCore::sendPendingVersions() {
  for (const auto &[Link, Peer] : m_WatchList.links()) {
    std::vector<MemberUpdate> Updates;
    for (const auto &[Id, Informed] : m_PendingVersions)
      if (const Member *Confirmer = m_View.find(Id);
          !Informed.contains(Link) && Confirmer != nullptr)
        Updates.push_back(updateOf(*Confirmer));
    if (!Updates.empty())
      m_Actions.emplace_back(SendUpdates{Link, std::move(Updates)});
  }
  m_PendingVersions.clear();
}

void MembershipCore::probe() {
  m_DialPlan.expireProbes(m_Now, m_Actions);
  if (m_Now < m_NextProbe || m_Leaving)
    return;
  const auto Live = std::ranges::count_if(
      m_View.all(), [](const Member &Known) { return isLive(Known.m_State); });
  const bool Alone = Live == 1;
  std::vector<Address> Candidates = probeCandidates();
  std::ranges::shuffle(Candidates, m_Random);
  Candidates.resize(
      std::min(Candidates.size(), Alone ? ProbesWhenAlone : std::size_t{1}));
  for (const Address &Candidate : Candidates)
    m_DialPlan.probe(Candidate, m_Now, m_Actions);
  const Duration Base = Alone ? ProbeIntervalAlone : ProbeInterval;
  std::uniform_int_distribution<Duration::rep> Spread(Base.count() / 2,
                                                      Base.count());
  m_NextProbe = m_Now + Duration(Spread(m_Random));
}

/// Hints and dead members are probed from time to time for as long as they are
/// known: after a partition between regions each side takes the other for dead,
/// and without probes nobody would dial across again.
std::vector<Address> MembershipCore::probeCandidates() const {
  std::set<Address> Live;
  std::set<Address> Result(m_Hints.begin(), m_Hints.end());
  for (const Member &Known : m_View.all()) {
    if (isLive(Known.m_State))
      Live.insert(Known.m_Address);
    else if (Known.m_State == MemberState::Dead)
      Result.insert(Known.m_Address);
  }
  std::erase_if(Result, [&](const Address &Candidate) {
    return Live.contains(Candidate) || Candidate.m_Port == 0;
  });
  return {Result.begin(), Result.end()};
}

// ---- Links ----

void MembershipCore::on(const PeerUp &Up) {
  m_WatchList.linkUp(Up.m_Peer.m_Id, Up.m_Link, m_RunningTime, m_Now);
  applyUpdate(Up.m_Peer);
  sendHeartbeat(Up.m_Link);
}

void MembershipCore::on(const PeerDown &Down) {
  m_WatchList.linkDown(Down.m_Link, Down.m_Reason);
  m_Exchange.removeLink(Down.m_Link);
}

/// A process that closed its links and whose address refuses connections has
/// ended: the refusal comes from the kernel, and neither a frozen process nor a
/// cut link can cause both. A refusal alone may come from a stale address.
void MembershipCore::on(const DialFailed &Failure) {
  const std::optional<InstanceId> Target =
      m_DialPlan.dialFailed(Failure.m_Address, m_Actions);
  if (!Target || Failure.m_Reason != CloseReason::ConnectRefused)
    return;
  reportFailure(*Target, m_WatchList.wasClosedByPeer(*Target)
                             ? MemberState::Dead
                             : MemberState::Suspect);
}

void MembershipCore::on(const FrameReceived &Received) {
  m_WatchList.frameReceived(Received.m_Link, m_RunningTime, m_Now);
}

void MembershipCore::on(const HeartbeatReceived &Heartbeat) {
  m_WatchList.frameReceived(Heartbeat.m_Link, m_RunningTime, m_Now);
  const Member *Sender = m_View.find(m_WatchList.peerOf(Heartbeat.m_Link));
  if (Sender == nullptr)
    return;
  // A member that was frozen does not know that it was declared dead. Notify it
  // at once, so that it rejoins with a higher incarnation.
  if (!isLive(Sender->m_State)) {
    m_Actions.emplace_back(SendUpdates{Heartbeat.m_Link, {updateOf(*Sender)}});
    return;
  }
  if (!m_Exchange.shouldSendView(Heartbeat.m_Link, m_View.hash(),
                                 Heartbeat.m_ViewHash))
    return;
  m_Actions.emplace_back(SendMembers{Heartbeat.m_Link, m_View.all()});
  addNotice(NoticeKind::Exchanged, *Sender);
}

// ---- Updates ----

void MembershipCore::on(const MembersReceived &Received) {
  m_SourceLink = Received.m_Link;
  for (const Member &Update : Received.m_Members)
    applyUpdate(Update);
}

/// An update lacks the member's name and address. It is ignored for a member
/// that is not known with this incarnation; the difference of view hashes then
/// leads to an exchange of full records.
void MembershipCore::on(const UpdatesReceived &Received) {
  m_SourceLink = Received.m_Link;
  for (const MemberUpdate &Update : Received.m_Updates) {
    const Member *Known = m_View.find(Update.m_Id);
    if (Known == nullptr ||
        (Known->m_Incarnation != Update.m_Incarnation && Update.m_Id != m_Self))
      continue;
    Member Updated = *Known;
    Updated.m_Incarnation = Update.m_Incarnation;
    Updated.m_State = Update.m_State;
    Updated.m_TableVersion = Update.m_TableVersion;
    applyUpdate(Updated);
  }
}

void MembershipCore::applyUpdate(const Member &Update) {
  if (Update.m_Id == m_Self) {
    applyUpdateAboutSelf(Update);
    return;
  }
  const MergeResult Result = m_View.merge(Update, m_RunningTime);
  if (const auto Pending = m_PendingVersions.find(Update.m_Id);
      Result == MergeResult::Unchanged && Pending != m_PendingVersions.end())
    Pending->second.insert(m_SourceLink); // The sender has the version.
  if (Result == MergeResult::Unchanged)
    return;
  m_ViewChanged = true;
  if (Result == MergeResult::VersionOnly) {
    m_PendingVersions[Update.m_Id] = {m_SourceLink};
    return;
  }
  m_LiveChanged = true;
  const Member &Merged = *m_View.find(Update.m_Id);
  if (Result == MergeResult::Joined)
    m_MembersToFlood.push_back(Merged);
  else
    m_UpdatesToFlood.push_back(updateOf(Merged));
  constexpr NoticeKind Kinds[] = {NoticeKind::Joined, NoticeKind::Suspected,
                                  NoticeKind::Died, NoticeKind::Left};
  addNotice(Kinds[static_cast<std::size_t>(Merged.m_State)], Merged);
  if (Merged.m_State == MemberState::Alive)
    for (const LinkId Link :
         m_WatchList.handleRefutation(Update.m_Id, m_RunningTime))
      m_Actions.emplace_back(CloseLink{Link});
}

/// Raises the own incarnation above that of an update which suspects this
/// process, or which stems from an earlier start of the instance.
void MembershipCore::applyUpdateAboutSelf(const Member &Update) {
  Member Own = self();
  const bool Newer = Update.m_Incarnation > Own.m_Incarnation;
  const bool Suspected = Update.m_Incarnation == Own.m_Incarnation &&
                         Update.m_State != MemberState::Alive;
  if (m_Leaving || !(Newer || Suspected))
    return;
  Own.m_Incarnation = Incarnation(Update.m_Incarnation.value() + 1);
  Own.m_State = MemberState::Alive;
  m_View.merge(Own, m_RunningTime);
  m_MembersToFlood.push_back(Own);
  m_SourceLink = LinkId(); // The sender must receive the refutation, too.
  m_ViewChanged = true;
  addNotice(NoticeKind::Refuted, Own);
}

void MembershipCore::reportFailure(InstanceId Id, MemberState State) {
  const Member *Known = m_View.find(Id);
  if (Known == nullptr || Known->m_State >= State || m_Leaving)
    return;
  Member Update = *Known;
  Update.m_State = State;
  m_WatchList.recordFailureReport(Id);
  applyUpdate(Update);
}

void MembershipCore::on(const HintsSet &Set) {
  m_Hints = Set.m_Hints;
  std::erase(m_Hints, self().m_Address);
}

void MembershipCore::on(const VersionConfirmed &Confirmed) {
  Member Own = self();
  Own.m_TableVersion = std::max(Own.m_TableVersion, Confirmed.m_Version);
  if (m_View.merge(Own, m_RunningTime) == MergeResult::Unchanged)
    return;
  m_UpdatesToFlood.push_back(updateOf(Own));
  m_ViewChanged = true;
}

void MembershipCore::on(const Leave &) {
  m_Leaving = true;
  Member Own = self();
  Own.m_State = MemberState::Left;
  m_View.merge(Own, m_RunningTime);
  m_UpdatesToFlood.push_back(updateOf(Own));
  m_ViewChanged = true;
}

// ---- Majority ----

/// Checks the view and the direct peers, as the overlay connects a member to
/// few others. The view alone lags: in a small group that is cut off from a
/// large fleet, most others are watched by nobody and stay alive in it for
/// several rounds of suspicion. The direct peers alone are only a random sample
/// of the fleet.
bool MembershipCore::isInMajority(TimePoint Now) const {
  const auto IsKnownLive = [this](InstanceId Id) {
    const Member *Known = m_View.find(Id);
    return Known != nullptr && isLive(Known->m_State);
  };
  return m_ViewHasMajority &&
         m_WatchList.receivedFromMajority(Now, IsKnownLive);
}

void MembershipCore::addNotice(NoticeKind Kind, const Member &Subject) {
  m_Actions.emplace_back(Notice{Kind, Subject});
}

} // namespace crowstep::membership
