/// Connects the membership state machine to links, timers and the clock.
#include "membership/membership.h"

#include "core/log.h"
#include "membership/member_func.h"
#include "membership/membership_core.h"
#include "membership/membership_wire.h"

#include <array>

namespace crowstep::membership {

namespace {

constexpr auto NoticeCount = static_cast<std::size_t>(NoticeKind::Count);

constexpr std::array<const char *, NoticeCount> NoticeNames = {
    "joined", "suspected", "died", "left", "refuted", "slow", "exchanged"};

LogEvent logEventOf(NoticeKind Kind) {
  constexpr std::array<LogEvent, NoticeCount> Events = {
      LogEvent::MemberJoined,      LogEvent::MemberSuspected,
      LogEvent::MemberDied,        LogEvent::MemberLeft,
      LogEvent::MembershipRefuted, LogEvent::MembershipSlow,
      LogEvent::ViewExchanged};
  return Events.at(static_cast<std::size_t>(Kind));
}

} // namespace

class Membership::Impl {
public:
  Impl(const MembershipConfig &Config, const Member &Self, const Clock &Time,
       Scheduler &Timers, link::Links &Wire, Metrics &Stats);

  void start() { tick(); }
  void handle(const Event &What);

  void run(const Dial &What) { m_Wire.dial(What.m_Where); }
  void run(const HangUp &What) { m_Wire.hangUp(What.m_Where); }
  void run(const Drop &What) { m_Wire.close(What.m_Link); }
  void run(const SendHeartbeat &What) { send(What); }
  void run(const SendMembers &What) { send(What); }
  void run(const SendNews &What) { send(What); }
  void run(const Notice &What);
  void run(const ViewChanged &What);

  const Clock &m_Clock;                      ///< Outlives this.
  link::Links &m_Wire;                       ///< Outlives this.
  MembershipCore m_Core;                     ///< The protocol.
  std::set<LinkId> m_Links;                  ///< To other dispatchers.
  std::vector<std::function<void()>> m_Jobs; ///< Called after each change.

private:
  void tick();
  void showMajority();
  template <typename Message> void send(const Message &What) {
    put(What, m_Wire.outbox(What.m_Link));
  }

  Timer m_Tick;                                   ///< Always running.
  std::array<Counter *, NoticeCount> m_Notices{}; ///< By kind; never null.
  std::array<Gauge *, 4> m_States{};              ///< By state; never null.
  Gauge &m_Majority;                              ///< 1 or 0.
};

Membership::Impl::Impl(const MembershipConfig &Config, const Member &Self,
                       const Clock &Time, Scheduler &Timers, link::Links &Wire,
                       Metrics &Stats)
    : m_Clock(Time), m_Wire(Wire), m_Core(Config, Self, Time.now()),
      m_Tick(Timers),
      m_Majority(Stats.gauge("crowstep_membership_hears_majority")) {
  for (std::size_t Kind = 0; Kind < NoticeCount; ++Kind)
    m_Notices.at(Kind) = &Stats.counter("crowstep_membership_events_total",
                                        {{"event", NoticeNames.at(Kind)}});
  for (std::size_t State = 0; State < m_States.size(); ++State)
    m_States.at(State) =
        &Stats.gauge("crowstep_membership_members",
                     {{"state", stateName(static_cast<MemberState>(State))}});
  m_States.front()->set(1);
  m_Majority.set(1);
}

void Membership::Impl::tick() {
  m_Tick.start(TickInterval, [this] { tick(); });
  handle(Tick{});
  showMajority();
}

void Membership::Impl::showMajority() {
  const double Heard = m_Core.hearsMajority(m_Clock.now()) ? 1 : 0;
  if (Heard == m_Majority.value())
    return;
  m_Majority.set(Heard);
  logEvent(Heard != 0 ? LogEvent::MembershipMajority
                      : LogEvent::MembershipMinority);
}

void Membership::Impl::handle(const Event &What) {
  for (const Action &Each : m_Core.handle(m_Clock.now(), What))
    std::visit([this](const auto &Known) { run(Known); }, Each);
}

void Membership::Impl::run(const Notice &What) {
  m_Notices.at(static_cast<std::size_t>(What.m_Kind))->add();
  logEvent(
      logEventOf(What.m_Kind),
      {{"member", What.m_Member.m_Name},
       {"incarnation", std::to_string(What.m_Member.m_Incarnation.value())}});
}

void Membership::Impl::run(const ViewChanged &) {
  std::array<int, 4> Counts{};
  for (const Member &Each : m_Core.members())
    ++Counts.at(static_cast<std::size_t>(Each.m_State));
  for (std::size_t State = 0; State < Counts.size(); ++State)
    m_States.at(State)->set(Counts.at(State));
  for (const std::function<void()> &Job : m_Jobs)
    Job();
}

Membership::Membership(MembershipConfig Config, const Member &Self,
                       const Clock &Time, Scheduler &Timers, link::Links &Wire,
                       Metrics &Stats)
    : m_Impl(std::make_unique<Impl>(Config, Self, Time, Timers, Wire, Stats)) {}
Membership::~Membership() = default;

void Membership::start() { m_Impl->start(); }

void Membership::seed(const std::vector<Address> &Hints) {
  m_Impl->handle(HintsGiven{Hints});
}

void Membership::linkUp(link::LinkId Link, const link::Peer &Who) {
  if (Who.m_Role != wire::Role::Dispatcher)
    return;
  m_Impl->m_Links.insert(Link);
  m_Impl->handle(PeerUp{Link, memberOf(Who)});
}

void Membership::linkFrame(link::LinkId Link, const wire::Frame &Frame) {
  if (!m_Impl->m_Links.contains(Link))
    return;
  for (const Event &Each : eventsOf(Link, Frame))
    m_Impl->handle(Each);
}

void Membership::linkDown(link::LinkId Link, const link::Peer &,
                          link::CloseReason Why) {
  if (m_Impl->m_Links.erase(Link) > 0)
    m_Impl->handle(PeerDown{Link, Why});
}

void Membership::dialFailed(const Address &Where, link::CloseReason Why) {
  m_Impl->handle(DialFailed{Where, Why});
}

const std::vector<Member> &Membership::members() const {
  return m_Impl->m_Core.members();
}

void Membership::onChange(std::function<void()> Job) {
  m_Impl->m_Jobs.push_back(std::move(Job));
}

void Membership::setTableVersion(TableVersion Version) {
  m_Impl->handle(VersionConfirmed{Version});
}

bool Membership::hearsMajority() const {
  // Reads the clock anew: a process that was frozen must not rely on what it
  // received before.
  return m_Impl->m_Core.hearsMajority(m_Impl->m_Clock.fresh());
}

link::LinkId Membership::linkTo(InstanceId Id) const {
  return m_Impl->m_Core.linkTo(Id);
}

void Membership::leave() { m_Impl->handle(Leave{}); }

} // namespace crowstep::membership
