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
  void handle(const Event &Incoming);

  void perform(const Dial &Requested) { m_Transport.dial(Requested.m_Address); }
  void perform(const Disconnect &Requested) {
    m_Transport.disconnect(Requested.m_Address);
  }
  void perform(const CloseLink &Requested) {
    m_Transport.close(Requested.m_Link);
  }
  void perform(const SendHeartbeat &Message) { send(Message); }
  void perform(const SendMembers &Message) { send(Message); }
  void perform(const SendUpdates &Message) { send(Message); }
  void perform(const Notice &Raised);
  void perform(const ViewChanged &Changed);

  const Clock &m_Clock;                           ///< Outlives this.
  link::Links &m_Transport;                       ///< Outlives this.
  MembershipCore m_Core;                          ///< The protocol.
  std::set<LinkId> m_Links;                       ///< To other dispatchers.
  std::vector<std::function<void()>> m_Callbacks; ///< Called after each change.

private:
  void tick();
  void publishMajority();
  template <typename Message> void send(const Message &Outgoing) {
    addToFrame(Outgoing, m_Transport.outbox(Outgoing.m_Link));
  }

  Timer m_Tick;                                   ///< Runs from start() on.
  std::array<Counter *, NoticeCount> m_Notices{}; ///< By kind; never null.
  std::array<Gauge *, 4> m_States{};              ///< By state; never null.
  Gauge &m_Majority;                              ///< 1 or 0.
};

Membership::Impl::Impl(const MembershipConfig &Config, const Member &Self,
                       const Clock &Time, Scheduler &Timers, link::Links &Wire,
                       Metrics &Stats)
    : m_Clock(Time), m_Transport(Wire), m_Core(Config, Self, Time.now()),
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
  publishMajority();
}

void Membership::Impl::publishMajority() {
  const double IsInMajority = m_Core.isInMajority(m_Clock.now()) ? 1 : 0;
  if (IsInMajority == m_Majority.value())
    return;
  m_Majority.set(IsInMajority);
  logEvent(IsInMajority != 0 ? LogEvent::MembershipMajority
                             : LogEvent::MembershipMinority);
}

void Membership::Impl::handle(const Event &Incoming) {
  for (const Action &Next : m_Core.handle(m_Clock.now(), Incoming))
    std::visit([this](const auto &Known) { perform(Known); }, Next);
}

void Membership::Impl::perform(const Notice &Raised) {
  m_Notices.at(static_cast<std::size_t>(Raised.m_Kind))->add();
  logEvent(
      logEventOf(Raised.m_Kind),
      {{"member", Raised.m_Member.m_Name},
       {"incarnation", std::to_string(Raised.m_Member.m_Incarnation.value())}});
}

void Membership::Impl::perform(const ViewChanged &) {
  std::array<int, 4> Counts{};
  for (const Member &Known : m_Core.members())
    ++Counts.at(static_cast<std::size_t>(Known.m_State));
  for (std::size_t State = 0; State < Counts.size(); ++State)
    m_States.at(State)->set(Counts.at(State));
  for (const std::function<void()> &Callback : m_Callbacks)
    Callback();
}

Membership::Membership(MembershipConfig Config, const Member &Self,
                       const Clock &Time, Scheduler &Timers, link::Links &Wire,
                       Metrics &Stats)
    : m_Impl(std::make_unique<Impl>(Config, Self, Time, Timers, Wire, Stats)) {}
Membership::~Membership() = default;

void Membership::start() { m_Impl->start(); }

void Membership::setHints(const std::vector<Address> &Hints) {
  m_Impl->handle(HintsSet{Hints});
}

void Membership::linkUp(link::LinkId Link, const link::Peer &Remote) {
  if (Remote.m_Role != wire::Role::Dispatcher)
    return;
  m_Impl->m_Links.insert(Link);
  m_Impl->handle(PeerUp{Link, memberOf(Remote)});
}

void Membership::linkFrame(link::LinkId Link, const wire::Frame &Frame) {
  if (!m_Impl->m_Links.contains(Link))
    return;
  for (const Event &Received : eventsOf(Link, Frame))
    m_Impl->handle(Received);
}

void Membership::linkDown(link::LinkId Link, const link::Peer &,
                          link::CloseReason Reason) {
  if (m_Impl->m_Links.erase(Link) > 0)
    m_Impl->handle(PeerDown{Link, Reason});
}

void Membership::dialFailed(const Address &Dialled, link::CloseReason Reason) {
  m_Impl->handle(DialFailed{Dialled, Reason});
}

const std::vector<Member> &Membership::members() const {
  return m_Impl->m_Core.members();
}

void Membership::onChange(std::function<void()> Callback) {
  m_Impl->m_Callbacks.push_back(std::move(Callback));
}

void Membership::setTableVersion(TableVersion Version) {
  m_Impl->handle(VersionConfirmed{Version});
}

bool Membership::isInMajority() const {
  // Reads the clock anew: a process that was frozen must not rely on what it
  // received before.
  return m_Impl->m_Core.isInMajority(m_Impl->m_Clock.readNow());
}

link::LinkId Membership::linkTo(InstanceId Id) const {
  return m_Impl->m_Core.linkTo(Id);
}

void Membership::leave() { m_Impl->handle(Leave{}); }

} // namespace crowstep::membership
