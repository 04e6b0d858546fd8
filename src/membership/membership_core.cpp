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

MemberNews updateOf(const Member &Subject) {
  return {Subject.m_Id, Subject.m_Incarnation, Subject.m_State,
          Subject.m_TableVersion};
}

} // namespace

MembershipCore::MembershipCore(const MembershipConfig &Config,
                               const Member &Self, TimePoint Now)
    : m_Config(Config), m_Self(Self.m_Id), m_View(Self),
      m_Watches(Config.m_SuspectAfter),
      m_Random(pairHash(Config.m_Seed, Self.m_Id.value())), m_Now(Now),
      m_LastTick(Now), m_Running(Now), m_NextHeartbeat(Now),
      m_NextProbe(Now), m_Reference{Self.m_Id} {}

const std::vector<Member> &MembershipCore::members() const {
  return m_View.all();
}

LinkId MembershipCore::linkTo(InstanceId Id) const {
  return m_Watches.linkTo(Id);
}

const Member &MembershipCore::self() const { return *m_View.find(m_Self); }

std::vector<Action> MembershipCore::handle(TimePoint Now,
                                           const Event &Incoming) {
  m_Now = Now;
  m_Out.clear();
  m_Source = LinkId();
  std::visit([this](const auto &Known) { on(Known); }, Incoming);
  settle();
  return std::move(m_Out);
}

/// Floods what the event changed and adapts targets to the changed view.
void MembershipCore::settle() {
  for (const auto &[Link, Peer] : m_Watches.links()) {
    if (Link == m_Source)
      continue;
    if (!m_Whole.empty())
      m_Out.emplace_back(SendMembers{Link, m_Whole});
    if (!m_News.empty())
      m_Out.emplace_back(SendNews{Link, m_News});
  }
  m_Whole.clear();
  m_News.clear();
  if (std::exchange(m_LiveChanged, false)) {
    m_ReferenceIsOld = true;
    countMajority();
    retarget();
  }
  if (std::exchange(m_ViewChanged, false))
    m_Out.emplace_back(ViewChanged{});
}

void MembershipCore::retarget() {
  const std::vector<Member> &All = m_View.all();
  std::set<InstanceId> Watched;
  std::map<Address, InstanceId> Dialled;
  for (const Member *Target :
       targetsOf(m_Self, m_Config.m_Degree, m_Config.m_Seed, All)) {
    Watched.insert(Target->m_Id);
    Dialled[Target->m_Address] = Target->m_Id;
  }
  m_Watches.setTargets(Watched, m_Running);
  m_Dials.setTargets(Dialled, m_Now, m_Out);
}

// ---- Time ----

void MembershipCore::on(const Tick &) {
  advanceRunningTime();
  for (const InstanceId Id :
       m_View.suspectsBefore(m_Running - m_Config.m_DeadAfter))
    accuse(Id, MemberState::Dead);
  for (const InstanceId Id : m_Watches.silent(m_Running))
    accuse(Id, MemberState::Suspect);
  if (m_Running >= m_NextForget) {
    m_NextForget = m_Running + TombstoneSweepInterval;
    if (m_View.forgetBefore(m_Running - RememberDead))
      m_ViewChanged = true;
  }
  if (m_Now >= m_NextHeartbeat)
    sendHeartbeats();
  sendHeldVersions();
  probe();
  if (m_ReferenceIsOld && hearsMajority(m_Now))
    rebaseReference();
}

void MembershipCore::rebaseReference() {
  m_ReferenceIsOld = false;
  m_Reference.clear();
  for (const Member &Known : m_View.all())
    if (isLive(Known.m_State))
      m_Reference.push_back(Known.m_Id);
  countMajority();
}

/// Called when the view changes and not at each tick, so that the cost of a
/// tick does not grow with the fleet.
void MembershipCore::countMajority() {
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
  m_Running += std::min(Gap, MaxTickGap);
  if (Gap > m_Config.m_HeartbeatInterval)
    notice(NoticeKind::Slow, self());
}

void MembershipCore::sendHeartbeat(LinkId Link) {
  m_Out.emplace_back(
      SendHeartbeat{Link, m_Sequence, self().m_TableVersion, m_View.hash()});
}

void MembershipCore::sendHeartbeats() {
  m_NextHeartbeat = m_Now + m_Config.m_HeartbeatInterval;
  ++m_Sequence;
  for (const auto &[Link, Peer] : m_Watches.links())
    sendHeartbeat(Link);
}

/// Versions that others confirmed are sent in one message per tick and link:
/// after each change of the table every member confirms, and a frame for each
/// confirmation would cost more than its content.
void MembershipCore::sendHeldVersions() {
  for (const auto &[Link, Peer] : m_Watches.links()) {
    std::vector<MemberNews> Updates;
    for (const auto &[Id, Informed] : m_Held)
      if (const Member *Confirmer = m_View.find(Id);
          !Informed.contains(Link) && Confirmer != nullptr)
        Updates.push_back(updateOf(*Confirmer));
    if (!Updates.empty())
      m_Out.emplace_back(SendNews{Link, std::move(Updates)});
  }
  m_Held.clear();
}

void MembershipCore::probe() {
  m_Dials.expire(m_Now, m_Out);
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
    m_Dials.probe(Candidate, m_Now, m_Out);
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
  m_Watches.linkUp(Up.m_Peer.m_Id, Up.m_Link, m_Running, m_Now);
  accept(Up.m_Peer);
  sendHeartbeat(Up.m_Link);
}

void MembershipCore::on(const PeerDown &Down) {
  m_Watches.linkDown(Down.m_Link, Down.m_Why);
  m_Exchange.drop(Down.m_Link);
}

/// A process that closed its links and whose address refuses connections has
/// ended: the refusal comes from the kernel, and neither a frozen process nor a
/// cut link can cause both. A refusal alone may come from a stale address.
void MembershipCore::on(const DialFailed &Failure) {
  const std::optional<InstanceId> Target =
      m_Dials.failed(Failure.m_Where, m_Out);
  if (!Target || Failure.m_Why != CloseReason::ConnectRefused)
    return;
  accuse(*Target, m_Watches.closedByPeer(*Target) ? MemberState::Dead
                                                  : MemberState::Suspect);
}

void MembershipCore::on(const PeerHeard &Received) {
  m_Watches.heard(Received.m_Link, m_Running, m_Now);
}

void MembershipCore::on(const HeartbeatHeard &Heartbeat) {
  m_Watches.heard(Heartbeat.m_Link, m_Running, m_Now);
  const Member *Sender = m_View.find(m_Watches.peerOf(Heartbeat.m_Link));
  if (Sender == nullptr)
    return;
  // A member that was frozen does not know that it was declared dead. Notify it
  // at once, so that it rejoins with a higher incarnation.
  if (!isLive(Sender->m_State)) {
    m_Out.emplace_back(SendNews{Heartbeat.m_Link, {updateOf(*Sender)}});
    return;
  }
  if (!m_Exchange.differs(Heartbeat.m_Link, m_View.hash(),
                          Heartbeat.m_ViewHash))
    return;
  m_Out.emplace_back(SendMembers{Heartbeat.m_Link, m_View.all()});
  notice(NoticeKind::Exchanged, *Sender);
}

// ---- Updates ----

void MembershipCore::on(const MembersHeard &Received) {
  m_Source = Received.m_Link;
  for (const Member &Update : Received.m_Members)
    accept(Update);
}

/// An update lacks the member's name and address. It is ignored for a member
/// that is not known with this incarnation; the difference of view hashes then
/// leads to an exchange of full records.
void MembershipCore::on(const NewsHeard &Received) {
  m_Source = Received.m_Link;
  for (const MemberNews &Update : Received.m_News) {
    const Member *Known = m_View.find(Update.m_Id);
    if (Known == nullptr ||
        (Known->m_Incarnation != Update.m_Incarnation && Update.m_Id != m_Self))
      continue;
    Member Updated = *Known;
    Updated.m_Incarnation = Update.m_Incarnation;
    Updated.m_State = Update.m_State;
    Updated.m_TableVersion = Update.m_TableVersion;
    accept(Updated);
  }
}

void MembershipCore::accept(const Member &Update) {
  if (Update.m_Id == m_Self) {
    acceptAboutSelf(Update);
    return;
  }
  const MergeResult Result = m_View.merge(Update, m_Running);
  if (const auto Pending = m_Held.find(Update.m_Id);
      Result == MergeResult::Nothing && Pending != m_Held.end())
    Pending->second.insert(m_Source); // The sender has the version.
  if (Result == MergeResult::Nothing)
    return;
  m_ViewChanged = true;
  if (Result == MergeResult::VersionOnly) {
    m_Held[Update.m_Id] = {m_Source};
    return;
  }
  m_LiveChanged = true;
  const Member &Merged = *m_View.find(Update.m_Id);
  if (Result == MergeResult::Joined)
    m_Whole.push_back(Merged);
  else
    m_News.push_back(updateOf(Merged));
  constexpr NoticeKind Kinds[] = {NoticeKind::Joined, NoticeKind::Suspected,
                                  NoticeKind::Died, NoticeKind::Left};
  notice(Kinds[static_cast<std::size_t>(Merged.m_State)], Merged);
  if (Merged.m_State == MemberState::Alive)
    for (const LinkId Link : m_Watches.vouched(Update.m_Id, m_Running))
      m_Out.emplace_back(Drop{Link});
}

/// Raises the own incarnation above that of an update which suspects this
/// process, or which stems from an earlier start of the instance.
void MembershipCore::acceptAboutSelf(const Member &Update) {
  Member Own = self();
  const bool Newer = Update.m_Incarnation > Own.m_Incarnation;
  const bool Suspected = Update.m_Incarnation == Own.m_Incarnation &&
                         Update.m_State != MemberState::Alive;
  if (m_Leaving || !(Newer || Suspected))
    return;
  Own.m_Incarnation = Incarnation(Update.m_Incarnation.value() + 1);
  Own.m_State = MemberState::Alive;
  m_View.merge(Own, m_Running);
  m_Whole.push_back(Own);
  m_Source = LinkId(); // The sender must receive the refutation, too.
  m_ViewChanged = true;
  notice(NoticeKind::Refuted, Own);
}

void MembershipCore::accuse(InstanceId Id, MemberState State) {
  const Member *Known = m_View.find(Id);
  if (Known == nullptr || Known->m_State >= State || m_Leaving)
    return;
  Member Update = *Known;
  Update.m_State = State;
  m_Watches.accused(Id);
  accept(Update);
}

void MembershipCore::on(const HintsGiven &Set) {
  m_Hints = Set.m_Hints;
  std::erase(m_Hints, self().m_Address);
}

void MembershipCore::on(const VersionConfirmed &Confirmed) {
  Member Own = self();
  Own.m_TableVersion = std::max(Own.m_TableVersion, Confirmed.m_Version);
  if (m_View.merge(Own, m_Running) == MergeResult::Nothing)
    return;
  m_News.push_back(updateOf(Own));
  m_ViewChanged = true;
}

void MembershipCore::on(const Leave &) {
  m_Leaving = true;
  Member Own = self();
  Own.m_State = MemberState::Left;
  m_View.merge(Own, m_Running);
  m_News.push_back(updateOf(Own));
  m_ViewChanged = true;
}

// ---- Majority ----

/// Checks the view and the direct peers, as the overlay connects a member to
/// few others. The view alone lags: in a small group that is cut off from a
/// large fleet, most others are watched by nobody and stay alive in it for
/// several rounds of suspicion. The direct peers alone are only a random sample
/// of the fleet.
bool MembershipCore::hearsMajority(TimePoint Now) const {
  const auto IsKnownLive = [this](InstanceId Id) {
    const Member *Known = m_View.find(Id);
    return Known != nullptr && isLive(Known->m_State);
  };
  return m_ViewHasMajority && m_Watches.hearsMost(Now, IsKnownLive);
}

void MembershipCore::notice(NoticeKind Kind, const Member &Subject) {
  m_Out.emplace_back(Notice{Kind, Subject});
}

} // namespace crowstep::membership
