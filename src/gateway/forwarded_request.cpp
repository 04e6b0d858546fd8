/// Attempts at upstreams and retries after they end.
#include "gateway/forwarded_request.h"

#include "core/log.h"
#include "gateway/first_attempt.h"
#include "gateway/forward_limits.h"
#include "gateway/predicted_placement.h"
#include "gateway/upstream_request.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace crowstep::gateway {

namespace {

/// Returns whether the call was not placed because upstreams have requested a
/// pause.
bool isDueToPause(const balance::NotPlaced &Unplaced) {
  return Unplaced.m_Reason == RefusalReason::UpstreamPaused;
}

/// Returns the ids of the segments that other prompts may have too, for the
/// log.
std::string sharedSegmentsText(const PromptInfo &Prompt) {
  constexpr std::size_t MaxLogged = 16;
  std::ostringstream Result;
  Result << std::hex;
  for (std::size_t I = 0; I + 1 < Prompt.m_Segments.size() && I < MaxLogged;
       ++I)
    Result << (I == 0 ? "" : ",") << Prompt.m_Segments[I].m_Id;
  return Result.str();
}

} // namespace

ForwardedRequest::ForwardedRequest(ForwardContext &Context,
                                   IncomingRequest Request,
                                   AdmittedRequest Admission,
                                   std::unique_ptr<Caller> From,
                                   std::function<void()> OnEnded)
    : m_Context(Context), m_Request(std::move(Request)),
      m_Admitted(std::move(Admission)), m_Suspects{contentHashOf(m_Request,
                                                                 m_Admitted),
                                                   {}},
      m_Caller(std::move(From)), m_OnEnded(std::move(OnEnded)),
      m_Stats(Context.m_Stats.statsOfRoute(m_Admitted.m_Route->m_Name)),
      m_ArrivedAt(Context.m_Clock.now()), m_DeadlineTimer(Context.m_Timers),
      m_SilenceTimer(Context.m_Timers), m_RetryTimer(Context.m_Timers),
      m_Held(Context.m_AnswerMemory) {
  m_Deadline = m_ArrivedAt + timeoutOf(m_Admitted);
}

ForwardedRequest::~ForwardedRequest() {
  if (m_Call != nullptr)
    m_Context.m_Balancer.recordCallEnd(m_Ticket, balance::CallOutcome::Dropped,
                                       m_Context.m_Clock.now());
}

void ForwardedRequest::start() {
  m_Stats.m_Requests->add();
  m_Service = chooseService();
  m_LastEventId = m_Admitted.m_Facts.m_LastEventId;
  m_Caller->onDisconnect([this] { handleCallerGone(); });
  m_Caller->onBacklogReduced([this] { resumeAfterPause(); });
  m_DeadlineTimer.start(timeLeft(), [this] { handleDeadline(); });
  if (isResumed())
    findOrigin();
  else
    placeFirst();
}

void ForwardedRequest::placeFirst() {
  m_Suspects = quarantine::suspectsOf(m_Suspects.m_Request, m_Service,
                                      m_Admitted.m_Facts.m_Prompt);
  m_Context.m_Budget.recordCall(m_Service, m_ArrivedAt);
  attempt();
}

std::string ForwardedRequest::chooseService() const {
  const std::vector<ServiceShare> &Shares = m_Admitted.m_Route->m_Services;
  double Sum = 0;
  for (const ServiceShare &Share : Shares)
    Sum += Share.m_Weight;
  double Remaining = m_Context.m_Random() * Sum;
  for (const ServiceShare &Share : Shares) {
    Remaining -= Share.m_Weight;
    if (Remaining < 0)
      return Share.m_Service;
  }
  return Shares.back().m_Service;
}

// ---- Origin of a stream -----------------------------------------------------

void ForwardedRequest::findOrigin() {
  if (m_Admitted.m_Facts.m_Resumes.empty()) {
    handleOrigin({});
    return;
  }
  const resume::StreamKey Key = streamKeyOf(m_Admitted);
  if (const resume::StreamOrigin *Known = m_Context.m_Origins.findLocal(Key))
    continueFrom(*Known);
  else if (m_Context.m_Origins.isUnproven(Key))
    refuseUnknownOrigin({}, false);
  else
    m_OriginLookup =
        m_Context.m_Origins.ask(Key, [this](const resume::LookupResult &Found) {
          handleOrigin(Found);
        });
}

void ForwardedRequest::handleOrigin(const resume::LookupResult &Found) {
  m_OriginLookup.reset();
  if (Found.m_Origin && Found.m_Origin->m_Software.isKnown()) {
    continueFrom(*Found.m_Origin);
    return;
  }
  if (Found.m_Origin) {
    refuseUnknownOrigin(Found, false);
    return;
  }
  if (soleVersionOf(m_Context, m_Admitted, m_Service))
    confirmSoleVersion(Found);
  else
    refuseUnknownOrigin(Found, Found.m_UnansweredCount > 0 ||
                                   !isRegisterCurrent(m_Context));
}

/// The upstream that began the stream may have joined, and may have left, since
/// this instance read the store last: it may have been stopped, or cut off from
/// the store, without having noticed it. What is read from now on includes the
/// upstream or its version, as the stream has begun before.
void ForwardedRequest::confirmSoleVersion(const resume::LookupResult &Found) {
  if (!m_Context.m_ConfirmSoftware || !isRegisterCurrent(m_Context)) {
    continueFromSoleVersion(Found, true);
    return;
  }
  const auto Finish = [this, Found](bool IsConfirmed) {
    m_Confirmation.reset();
    m_RetryTimer.stop();
    continueFromSoleVersion(Found, IsConfirmed);
  };
  m_Confirmation =
      std::make_shared<std::function<void()>>([Finish] { Finish(true); });
  m_RetryTimer.start(ConfirmTimeout, [Finish] { Finish(false); });
  m_Context.m_ConfirmSoftware(m_Confirmation);
}

/// A caller that doesn't name its stream is served without a confirmation:
/// otherwise all of these would be refused in each outage of the store.
void ForwardedRequest::continueFromSoleVersion(
    const resume::LookupResult &Found, bool IsConfirmed) {
  const bool IsNamed = !m_Admitted.m_Facts.m_Resumes.empty();
  const auto Sole = soleVersionOf(m_Context, m_Admitted, m_Service);
  if (Sole && (IsConfirmed || !IsNamed))
    continueFrom({m_Service, *Sole});
  else if (Sole)
    refuseUnknownOrigin(Found, true);
  else
    refuseUnknownOrigin(Found, Found.m_UnansweredCount > 0 ||
                                   !isRegisterCurrent(m_Context));
}

/// Another attempt may find what was not answered in time (\p MayChange); what
/// all deny is known nowhere.
void ForwardedRequest::refuseUnknownOrigin(const resume::LookupResult &Found,
                                           bool MayChange) {
  logEvent(LogEvent::GatewayOriginUnknown,
           {{"request", m_Admitted.m_Facts.m_Id},
            {"resumes", m_Admitted.m_Facts.m_Resumes},
            {"asked", std::to_string(Found.m_AskedCount)},
            {"unanswered", std::to_string(Found.m_UnansweredCount)}});
  refuse(RefusalReason::OriginUnknown,
         MayChange ? BusyRetryAfter : Duration::zero());
}

void ForwardedRequest::reportUnproven() {
  if (isRetryable() && m_Context.m_OnUnproven)
    m_Context.m_OnUnproven(m_Service);
}

/// Versions are compared within a service, so the stream stays at its own as
/// long as the route has it.
void ForwardedRequest::continueFrom(const resume::StreamOrigin &Origin) {
  m_Origin = Origin;
  if (hasService(*m_Admitted.m_Route, Origin.m_Service))
    m_Service = Origin.m_Service;
  placeFirst();
}

/// Runs before the caller gets the stream's first event of this attempt: once
/// it has that event, it may name the stream to any instance.
void ForwardedRequest::recordOrigin() {
  bool IsDoubtful = false; // The directory stated another version, or had one.
  if (!m_Origin) {
    const Upstream *Listed =
        m_Context.m_Balancer.findUpstream(m_TriedUpstreams.back());
    if (Listed != nullptr && !m_SkipsProcessCheck)
      m_Software.merge(Listed->m_Software);
    m_Origin = resume::StreamOrigin{m_Service, m_Software};
    IsDoubtful = !m_Software.isKnown() &&
                 (Listed == nullptr || Listed->m_Software.isKnown());
  }
  if (IsDoubtful)
    reportUnproven();
  // Without a record a stream of doubtful origin would be taken for one of the
  // sole version. Where upstreams state no version there is no sole one.
  if (isRetryable() && (IsDoubtful || m_Origin->m_Software.isKnown()))
    m_Context.m_Origins.record(
        {streamKeyOf(m_Admitted), *m_Origin, timeLeft() + TimeBetweenAttempts});
}

Duration ForwardedRequest::timeLeft() const {
  return m_Deadline - m_Context.m_Clock.readNow();
}

// ---- Calls ------------------------------------------------------------------

balance::PlacementQuery ForwardedRequest::placementQuery() const {
  balance::PlacementQuery Result = firstQueryOf(m_Admitted, m_Service);
  Result.m_Excluded = m_TriedUpstreams;
  if (m_Origin)
    Result.m_RequiredSoftware = m_Origin->m_Software;
  Result.m_Suspects = &m_Suspects;
  Result.m_MayWait = mayWait();
  Result.m_WaitTimedOut = m_WaitTimedOut;
  return Result;
}

void ForwardedRequest::attempt() {
  beginWait();
  const balance::PlacementResult Result = tryPlacement();
  if (const auto *Wait = std::get_if<balance::MustWait>(&Result)) {
    if (isPlacedByPrediction())
      waitByPrediction(Wait->m_Inputs);
    else
      waitForRoom(Wait->m_Inputs);
    return;
  }
  const auto *Unplaced = std::get_if<balance::NotPlaced>(&Result);
  if (Unplaced != nullptr && mayWaitForPause(*Unplaced)) {
    waitForRoom(Unplaced->m_Inputs);
    return;
  }
  leaveQueue();
  if (Unplaced == nullptr) {
    if (m_Wait != nullptr)
      m_Wait->handlePlaced(m_Context.m_Clock.now());
    send(std::get<balance::Placed>(Result));
    return;
  }
  m_PlacementInputs = Unplaced->m_Inputs;
  m_HeldBy = Unplaced->m_HeldBy;
  if (m_Wait != nullptr &&
      Unplaced->m_Reason == RefusalReason::TargetUnreachable) {
    refuse(Unplaced->m_Reason,
           m_Wait->retryAfter(m_Context.m_Random(), m_Context.m_Clock.now()));
    return;
  }
  const bool FoundNoRoom = m_WaitTimedOut && !isDueToPause(*Unplaced);
  refuse(Unplaced->m_Reason,
         FoundNoRoom ? QueueRetryAfter : Unplaced->m_RetryAfter);
}

/// A retry goes to any engine with room: its caller has waited once.
bool ForwardedRequest::mayWait() const {
  return m_Attempts == 0 && !m_WaitTimedOut &&
         mayWaitAtFirst(m_Context, m_Admitted, m_QueueEntry != nullptr);
}

// ---- Waiting by prediction --------------------------------------------------

void ForwardedRequest::beginWait() {
  if (m_Wait != nullptr || m_Attempts > 0 ||
      !mayWaitByPrediction(m_Context, placementQuery()))
    return;
  const waiting::CallFacts Facts =
      callFactsOf(m_Admitted, m_Service, m_ArrivedAt);
  m_Wait = m_Context.m_WaitPolicy->begin(Facts);
  if (m_Wait != nullptr)
    m_Context.m_WaitPolicy->workspaces().recordArrival(
        Facts.m_Pool, m_Admitted.m_Workspace, m_Context.m_Clock.now());
}

/// A retry goes to any engine with room: its caller has waited once.
bool ForwardedRequest::isPlacedByPrediction() const {
  return m_Wait != nullptr && m_Attempts == 0;
}

WaitingCall ForwardedRequest::waitingCall() const {
  return waitingCallOf(m_Admitted, m_Service, m_Wait.get(),
                       m_Context.m_Clock.now());
}

balance::PlacementResult ForwardedRequest::tryPlacement() {
  const TimePoint Now = m_Context.m_Clock.now();
  if (isPlacedByPrediction())
    return placeByPrediction({m_Context.m_Balancer, m_Context.m_WaitQueue,
                              m_Context.m_WaitPolicy->workspaces()},
                             *m_Wait, placementQuery(), waitingCall(),
                             m_QueueEntry != nullptr,
                             !mayWaitFor(Duration::zero()), Now);
  return m_Context.m_Balancer.place(placementQuery(), Now);
}

/// Of a call whose prefix is cached where the last placement would have gone.
waiting::CallWork ForwardedRequest::expectedWork() const {
  return expectedWorkOf(m_Context, m_Admitted, m_Service,
                        m_PlacementInputs.m_UncachedTokens);
}

/// Ends an attempt(); the wait queue calls attempt() again.
void ForwardedRequest::waitByPrediction(
    const balance::PlacementInputs &Inputs) {
  const TimePoint Now = m_Context.m_Clock.now();
  m_PlacementInputs = Inputs;
  const waiting::WaitVerdict Verdict =
      mayWait() ? m_Wait->handleNoRoom(expectedWork(), Now)
                : waiting::WaitVerdict::NoCapacity;
  if (Verdict == waiting::WaitVerdict::Wait) {
    if (m_QueueEntry == nullptr)
      m_Context.m_Stats.countWait();
    enqueue();
    if (!m_Wait->canBeInTime(Now))
      m_QueueEntry->setLate();
    return;
  }
  leaveQueue();
  m_GivenUp = Verdict;
  refuse(RefusalReason::TargetUnreachable,
         m_Wait->retryAfter(m_Context.m_Random(), Now));
}

void ForwardedRequest::enqueue() {
  if (m_QueueEntry == nullptr)
    m_QueueEntry =
        m_Context.m_WaitQueue.enqueue(waitingCall(), [this] { attempt(); });
}

void ForwardedRequest::leaveQueue() {
  if (m_QueueEntry != nullptr)
    m_QueueTime = m_Context.m_Clock.now() - m_ArrivedAt;
  m_QueueEntry.reset();
}

bool ForwardedRequest::wasInTime() const {
  const EventStream *Stream = eventStream();
  if (Stream == nullptr)
    return m_Context.m_Clock.now() - m_ArrivedAt <=
           m_Admitted.m_Route->m_Target;
  return m_FirstEventAt - m_ArrivedAt <= m_Admitted.m_Route->m_Target &&
         (Stream->m_MaxPause == Duration::zero() ||
          m_LongestPause <= Stream->m_MaxPause);
}

/// Counts what became of a call that has waited by prediction.
void ForwardedRequest::recordWaitEnd(std::string_view Outcome) {
  if (m_Wait == nullptr)
    return;
  const TimePoint Now = m_Context.m_Clock.now();
  const bool IsServed = Outcome == "served";
  if (IsServed && m_Streaming)
    m_Context.m_WaitPolicy->backlog().recordOutput(
        poolIdOf(m_Service, 0),
        static_cast<std::uint8_t>(m_Admitted.m_EngineRank),
        Now - m_FirstEventAt);
  if (m_Wait->hasWaited()) {
    if (IsServed)
      m_Context.m_Stats.countServedAfterWait(wasInTime());
    else
      m_Context.m_Stats.countRefusedAfterWait(
          m_GivenUp ? waiting::nameOf(*m_GivenUp)
          : Outcome == nameOf(RefusalReason::CallerGone) ? "caller_gone"
                                                         : "other");
  }
  m_Wait.reset();
}

// ---- Waiting for room -------------------------------------------------------

/// Returns whether the end of the pause comes while the call may still wait.
bool ForwardedRequest::mayWaitForPause(
    const balance::NotPlaced &Unplaced) const {
  return isDueToPause(Unplaced) && mayWait() &&
         mayWaitFor(Unplaced.m_RetryAfter);
}

/// Returns whether the call may wait for \p More beyond the time that it has
/// waited.
bool ForwardedRequest::mayWaitFor(Duration More) const {
  return isWaitAllowed(m_Context.m_Clock.now() - m_ArrivedAt + More,
                       m_Admitted);
}

/// Ends an attempt(); the wait queue calls attempt() again.
void ForwardedRequest::waitForRoom(const balance::PlacementInputs &Inputs) {
  m_PlacementInputs = Inputs;
  if (!mayWaitFor(Duration::zero())) {
    // Once more, at an engine that preempts less urgent calls for it.
    m_WaitTimedOut = true;
    attempt();
    return;
  }
  enqueue();
}

void ForwardedRequest::send(const balance::Placed &Placement) {
  m_Ticket = Placement.m_Ticket;
  m_Upstream = Placement.m_Name;
  m_Software = Placement.m_Software;
  m_Address = Placement.m_Address;
  m_PlacementInputs = Placement.m_Inputs;
  if (m_PlacementInputs.m_LeftSaturated)
    m_Context.m_Stats.countLeftSaturated();
  m_TriedUpstreams.push_back(Placement.m_Upstream);
  m_Status = 0;
  m_FirstOutputAt = TimePoint();
  m_Body.clear();
  m_Held.release();
  m_Splitter = SseSplitter();
  m_EventsBeforeCall = m_EventCount;
  OutgoingCall Outgoing;
  Outgoing.m_Upstream = Placement.m_Upstream;
  Outgoing.m_Name = Placement.m_Name;
  Outgoing.m_RequestId = m_Admitted.m_Facts.m_Id;
  Outgoing.m_Request = &m_Request;
  Outgoing.m_LastEventId = m_LastEventId;
  Outgoing.m_Direct =
      makeUpstreamRequest(m_Context.m_Codec, m_Request, m_Admitted,
                          {Placement, m_Deadline, timeLeft(), m_LastEventId});
  Outgoing.m_Direct.m_SendCheck = [this] {
    return !m_Caller->hasDisconnected() &&
           m_Context.m_Balancer.mayBegin(m_Ticket, m_Context.m_Clock.now());
  };
  if (m_SkipsProcessCheck &&
      std::exchange(Outgoing.m_Direct.m_ProcessCheck, std::nullopt))
    m_Software = SoftwareVersion();
  ++m_Attempts;
  m_Call = m_Context.m_Transport.send(Outgoing, *this);
  startSilenceTimer(firstByteTimeout());
}

/// Timeout of the first byte of a retryable call's answer, after which another
/// upstream is tried; zero: none. Twice the target leaves time for a loaded
/// engine; under the minimum, a pause of the network would look like an
/// upstream that is unreachable.
Duration ForwardedRequest::firstByteTimeout() const {
  constexpr int TargetsToWait = 2;
  constexpr Duration LeastForPlain = std::chrono::milliseconds(250);
  constexpr Duration LeastForStream = std::chrono::milliseconds(1200);
  if (!isRetryable())
    return Duration::zero();
  return std::max(m_Admitted.m_Route->m_Target * TargetsToWait,
                  eventStream() == nullptr ? LeastForPlain : LeastForStream);
}

void ForwardedRequest::startSilenceTimer(Duration Limit) {
  if (Limit > Duration::zero())
    m_SilenceTimer.start(Limit, [this] { handleSilence(); });
}

void ForwardedRequest::handleSilence() {
  if (m_Call == nullptr || !mayRetry())
    return;
  // A loaded upstream delays many calls at once, and sending them to another
  // one as well would add to the load. An unreachable one sends no byte on any
  // call.
  const Duration Silence =
      m_Context.m_Balancer.silenceDuration(m_Ticket, m_Context.m_Clock.now());
  const Duration Limit = m_Call->progress() == CallProgress::Unacknowledged
                             ? UnacknowledgedSilenceLimit
                             : UpstreamSilenceLimit;
  if (Silence < Limit) {
    m_SilenceTimer.start(Limit - Silence + MinTimeToRetry,
                         [this] { handleSilence(); });
    return;
  }
  if (!m_Context.m_Budget.trySpend(m_Service, m_Context.m_Clock.now())) {
    startSilenceTimer(BudgetCheckInterval);
    return;
  }
  leaveSilentCall(balance::CallOutcome::Silent, closeReason());
}

void ForwardedRequest::leaveSilentCall(balance::CallOutcome Outcome,
                                       RetryReason Reason) {
  m_MayHaveRun = true;
  endCall(Outcome);
  m_Context.m_Stats.countRetry(Reason);
  attempt();
}

void ForwardedRequest::upstreamUnreachable() {
  if (isRetryable() && mayRetry() &&
      m_Context.m_Budget.trySpend(m_Service, m_Context.m_Clock.now()))
    leaveSilentCall(balance::CallOutcome::Dropped, RetryReason::PathLost);
}

void ForwardedRequest::endCall(balance::CallOutcome Outcome) {
  const Duration OutputTime = m_FirstOutputAt == TimePoint()
                                  ? Duration::zero()
                                  : m_Context.m_Clock.now() - m_FirstOutputAt;
  if (Outcome != balance::CallOutcome::Served)
    logEvent(LogEvent::GatewayCallEnded,
             {{"request", m_Admitted.m_Facts.m_Id},
              {"content", toString(m_Suspects.m_Request)},
              {"body", std::to_string(m_Request.m_Body.size())},
              {"upstream", m_Upstream},
              {"outcome", std::string(balance::nameOf(Outcome))},
              {"status", std::to_string(m_Status)},
              {"sends", std::to_string(m_Attempts)},
              {"events", std::to_string(m_EventCount)},
              {"output_us", std::to_string(OutputTime.count())},
              {"segments", sharedSegmentsText(m_Admitted.m_Facts.m_Prompt)},
              {"may_have_run", m_MayHaveRun ? "1" : "0"},
              {"progress", std::string(nameOf(m_Call->progress()))},
              {"left_us", std::to_string(timeLeft().count())}});
  m_SilenceTimer.stop();
  m_IsPaused = false;
  m_Call.reset();
  m_Context.m_Balancer.recordCallEnd(m_Ticket, Outcome,
                                     m_Context.m_Clock.now());
}

bool ForwardedRequest::mayRetry() const {
  return m_Attempts < m_Admitted.m_Route->m_MaxAttempts &&
         timeLeft() > MinTimeToRetry && (!m_MayHaveRun || isRetryable());
}

/// Retries a call that was refused or failed after it was sent.
void ForwardedRequest::retry(RetryReason Reason) {
  if (m_Caller->hasDisconnected()) {
    handleCallerGone();
    return;
  }
  const bool HasRun = m_MayHaveRun;
  if (!mayRetry()) {
    refuse(HasRun ? RefusalReason::UpstreamFailed
                  : RefusalReason::UpstreamRefused,
           BusyRetryAfter);
    return;
  }
  if (!m_Context.m_Budget.trySpend(m_Service, m_Context.m_Clock.now())) {
    refuse(HasRun ? RefusalReason::UpstreamFailed : RefusalReason::RetryBudget,
           BusyRetryAfter);
    return;
  }
  m_Context.m_Stats.countRetry(Reason);
  attempt();
}

} // namespace crowstep::gateway
