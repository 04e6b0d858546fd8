/// Attempts at upstreams and retries after they end.
#include "gateway/forwarded_request.h"

#include "core/log.h"
#include "gateway/forward_limits.h"

#include <algorithm>

namespace crowstep::gateway {

namespace {

ContentHash hashOf(const IncomingRequest &Request, const Admitted &Admission) {
  const std::string *Host = findHeader(Request.m_Headers, "Host");
  return contentHashOf(
      {Request.m_Method, Host == nullptr ? std::string_view() : *Host,
       Request.m_Target, Admission.m_Workspace, Request.m_Body});
}

} // namespace

ForwardedRequest::ForwardedRequest(ForwardWorld &Context,
                                   IncomingRequest Request, Admitted Admission,
                                   std::unique_ptr<Caller> From,
                                   std::function<void()> OnEnded)
    : m_World(Context), m_Request(std::move(Request)),
      m_What(std::move(Admission)), m_Content(hashOf(m_Request, m_What)),
      m_Caller(std::move(From)), m_OnEnded(std::move(OnEnded)),
      m_Stats(Context.m_Stats.route(m_What.m_Route->m_Name)),
      m_Begin(Context.m_Clock.now()), m_Limit(Context.m_Timers),
      m_Silence(Context.m_Timers) {
  Duration Timeout = m_What.m_Route->m_Timeout;
  if (m_What.m_Facts.m_Deadline)
    Timeout = std::min(Timeout, *m_What.m_Facts.m_Deadline);
  m_EndBy = m_Begin + Timeout;
}

ForwardedRequest::~ForwardedRequest() {
  if (m_Call != nullptr)
    m_World.m_Balancer.ended(m_Ticket, balance::CallOutcome::Dropped,
                             m_World.m_Clock.now());
}

void ForwardedRequest::start() {
  m_Stats.m_Requests->add();
  m_Service = chooseService();
  m_LastId = m_What.m_Facts.m_LastEvent;
  m_World.m_Budget.call(m_Service, m_Begin);
  m_Caller->onGone([this] { callerGone(); });
  m_Caller->onDrained([this] {
    if (m_Call != nullptr)
      m_Call->continueReading();
  });
  m_Limit.start(timeLeft(), [this] { timeIsOver(); });
  attempt();
}

std::string ForwardedRequest::chooseService() const {
  const std::vector<ServiceShare> &Shares = m_What.m_Route->m_Services;
  double Sum = 0;
  for (const ServiceShare &Share : Shares)
    Sum += Share.m_Weight;
  double Remaining = m_World.m_Random() * Sum;
  for (const ServiceShare &Share : Shares) {
    Remaining -= Share.m_Weight;
    if (Remaining < 0)
      return Share.m_Service;
  }
  return Shares.back().m_Service;
}

Duration ForwardedRequest::timeLeft() const {
  return m_EndBy - m_World.m_Clock.fresh();
}

// ---- Calls ------------------------------------------------------------------

void ForwardedRequest::attempt() {
  balance::PlacementQuery Query;
  Query.m_Service = m_Service;
  Query.m_Urgency = static_cast<balance::Urgency>(m_What.m_Urgency);
  Query.m_Prompt = m_What.m_Facts.m_Prompt;
  Query.m_Target = m_What.m_Route->m_Target;
  if (const EventStream *Stream = stream())
    Query.m_LongestPause = Stream->m_LongestPause;
  Query.m_Avoid = m_Tried;
  Query.m_Content = m_Content;
  Query.m_MayWait = mayWait();
  Query.m_WaitedInVain = m_WaitedInVain;
  const auto Result = m_World.m_Balancer.place(Query, m_World.m_Clock.now());
  if (const auto *Wait = std::get_if<balance::MustWait>(&Result)) {
    waitForRoom(Wait->m_Why);
    return;
  }
  if (m_Place != nullptr)
    m_Waited = m_World.m_Clock.now() - m_Begin;
  m_Place.reset();
  if (const auto *Unplaced = std::get_if<balance::NotPlaced>(&Result)) {
    m_Why = Unplaced->m_Why;
    giveUp(Unplaced->m_Reason,
           m_WaitedInVain ? RoomRetryAfter : Unplaced->m_RetryAfter);
    return;
  }
  send(std::get<balance::Placed>(Result));
}

/// A retry goes to any engine with room: its caller has waited once.
bool ForwardedRequest::mayWait() const {
  return m_Sends == 0 && !m_WaitedInVain &&
         m_What.m_Route->m_Target > Duration::zero() &&
         (m_Place != nullptr || !m_World.m_Waiting.full());
}

/// Ends an attempt(); the wait queue calls attempt() again.
void ForwardedRequest::waitForRoom(const balance::PlacementInputs &Inputs) {
  m_Why = Inputs;
  const Duration Waited = m_World.m_Clock.now() - m_Begin;
  if (Waited * MostWaitDivisor > m_What.m_Route->m_Target * MostWaitParts) {
    // Once more, at an engine that preempts less urgent calls for it.
    m_WaitedInVain = true;
    attempt();
    return;
  }
  if (m_Place == nullptr)
    m_Place = m_World.m_Waiting.enter(
        {static_cast<balance::Urgency>(m_What.m_Turn), m_What.m_Workspace},
        [this] { attempt(); });
}

void ForwardedRequest::send(const balance::Placed &Placement) {
  m_Ticket = Placement.m_Ticket;
  m_Upstream = Placement.m_Name;
  m_Address = Placement.m_Address;
  m_Why = Placement.m_Why;
  m_Tried.push_back(Placement.m_Upstream);
  m_Status = 0;
  m_Body.clear();
  m_Splitter = SseSplitter();
  SendFacts Facts;
  Facts.m_TimeLeft = timeLeft();
  Facts.m_Upstream = Placement.m_Name;
  Facts.m_Workspace = m_What.m_Workspace;
  Facts.m_Priority = m_What.m_Urgency;
  Facts.m_LastEvent = m_LastId;
  UpstreamSend Outgoing;
  Outgoing.m_Where = Placement.m_Address;
  Outgoing.m_Method = m_Request.m_Method;
  Outgoing.m_Path = m_Request.m_Target;
  Outgoing.m_Headers =
      m_World.m_Codec.writeRequest(endToEndHeaders(m_Request.m_Headers), Facts);
  Outgoing.m_Body = m_Request.m_Body;
  Outgoing.m_Repeatable = repeatable();
  Outgoing.m_SendBefore = m_EndBy;
  Outgoing.m_ConnectLimit = ConnectLimit;
  Outgoing.m_Wanted = [this] {
    return !m_Caller->hasLeft() &&
           m_World.m_Balancer.mayBegin(m_Ticket, m_World.m_Clock.now());
  };
  ++m_Sends;
  m_Call = m_World.m_Upstream.send(Outgoing, *this);
  watchSilence(firstByteLimit());
}

/// Timeout of the first byte of a retryable call's answer, after which another
/// upstream is tried; zero: none. Twice the target leaves time for a loaded
/// engine; under the minimum, a pause of the network would look like an
/// upstream that is unreachable.
Duration ForwardedRequest::firstByteLimit() const {
  constexpr int TargetsToWait = 2;
  constexpr Duration LeastForPlain = std::chrono::milliseconds(250);
  constexpr Duration LeastForStream = std::chrono::milliseconds(1200);
  if (!repeatable())
    return Duration::zero();
  return std::max(m_What.m_Route->m_Target * TargetsToWait,
                  stream() == nullptr ? LeastForPlain : LeastForStream);
}

void ForwardedRequest::watchSilence(Duration Limit) {
  if (Limit > Duration::zero())
    m_Silence.start(Limit, [this] { silent(); });
}

void ForwardedRequest::silent() {
  if (m_Call == nullptr || !mayTryAgain())
    return;
  // A loaded upstream delays many calls at once, and sending them to another
  // one as well would add to the load. An unreachable one sends no byte on any
  // call.
  const Duration Silence =
      m_World.m_Balancer.unheardOf(m_Ticket, m_World.m_Clock.now());
  if (Silence < SignOfLife) {
    m_Silence.start(SignOfLife - Silence + LeastTimeToRetry,
                    [this] { silent(); });
    return;
  }
  if (!m_World.m_Budget.take(m_Service, m_World.m_Clock.now()))
    return;
  m_MayHaveRun = true;
  endCall(balance::CallOutcome::Silent);
  m_World.m_Stats.retried(closedWhen());
  attempt();
}

void ForwardedRequest::endCall(balance::CallOutcome Outcome) {
  if (Outcome != balance::CallOutcome::Served)
    logEvent(LogEvent::GatewayCallEnded,
             {{"request", m_What.m_Facts.m_Id},
              {"content", toString(m_Content)},
              {"body", std::to_string(m_Request.m_Body.size())},
              {"upstream", m_Upstream},
              {"outcome", std::string(balance::nameOf(Outcome))},
              {"status", std::to_string(m_Status)},
              {"sends", std::to_string(m_Sends)},
              {"events", std::to_string(m_Events)},
              {"may_have_run", m_MayHaveRun ? "1" : "0"},
              {"left_us", std::to_string(timeLeft().count())}});
  m_Silence.stop();
  m_Call.reset();
  m_World.m_Balancer.ended(m_Ticket, Outcome, m_World.m_Clock.now());
}

bool ForwardedRequest::mayTryAgain() const {
  return m_Sends < m_What.m_Route->m_MaxAttempts &&
         timeLeft() > LeastTimeToRetry && (!m_MayHaveRun || repeatable());
}

/// Retries a call that was refused or failed after it was sent.
void ForwardedRequest::tryAgain(RetryReason Reason) {
  if (m_Caller->hasLeft()) {
    callerGone();
    return;
  }
  const bool HasRun = m_MayHaveRun;
  if (!mayTryAgain()) {
    giveUp(HasRun ? RefusalReason::UpstreamFailed
                  : RefusalReason::UpstreamRefused,
           BusyRetryAfter);
    return;
  }
  if (!m_World.m_Budget.take(m_Service, m_World.m_Clock.now())) {
    giveUp(HasRun ? RefusalReason::UpstreamFailed : RefusalReason::RetryBudget,
           BusyRetryAfter);
    return;
  }
  m_World.m_Stats.retried(Reason);
  attempt();
}

} // namespace crowstep::gateway
