/// Handling of an upstream's answer, and the end of a request.
#include "core/log.h"
#include "gateway/forward_limits.h"
#include "gateway/forwarded_request.h"
#include "http/refusal_answer.h"

#include <algorithm>
#include <utility>

namespace crowstep::gateway {

namespace {

constexpr unsigned HttpOk = 200;
constexpr unsigned FirstRedirect = 300;
constexpr unsigned FirstServerError = 500;

/// Statuses which state that a call was not run. Without the upstream's proof
/// they can't be passed on: they would promise that to the caller.
bool statesNotRun(unsigned Status) {
  constexpr unsigned RequestTimeout = 408;
  constexpr unsigned Misdirected = 421;
  constexpr unsigned TooManyRequests = 429;
  constexpr unsigned Unavailable = 503;
  return Status == RequestTimeout || Status == Misdirected ||
         Status == TooManyRequests || Status == Unavailable;
}

bool isSuccess(unsigned Status) {
  return Status >= HttpOk && Status < FirstRedirect;
}

} // namespace

// ---- Answers ----------------------------------------------------------------

void ForwardedRequest::upstreamHeaders(unsigned Status,
                                       const HeaderList &Headers) {
  const AnswerFacts Facts = m_Context.m_Codec.readAnswer(Status, Headers);
  m_Context.m_Balancer.recordBytesReceived(m_Ticket, m_Context.m_Clock.now());
  // A late answer to an earlier call on a kept connection, or bytes that are
  // not an upstream's answer at all. Only refusals may lack the id: a late one
  // must not be taken for a statement that this call was not run.
  const bool MayLackId = Facts.m_NotRun && Facts.m_RequestId.empty();
  if (Facts.m_RequestId != m_Admitted.m_Facts.m_Id && !MayLackId) {
    m_MayHaveRun = true;
    handleFailure(balance::CallOutcome::Failed, RetryReason::ClosedBeforeByte);
    return;
  }
  if (Facts.m_Load)
    m_Context.m_Balancer.recordLoadReport(m_Ticket, *Facts.m_Load,
                                          m_Context.m_Clock.now());
  applyStatedLimit(Facts);
  applyStatedBrittleness(Facts);
  applyStatedLeave(Facts);
  applyRequestedPause(Facts);
  if (Facts.m_WrongUpstream)
    m_Context.m_CrashWatch.handleReplaced(m_TriedUpstreams.back(), m_Upstream);
  if (Facts.m_NotRun) {
    handleRefusal(Facts.m_WrongUpstream || Facts.m_Draining
                      ? balance::CallOutcome::Draining
                      : balance::CallOutcome::Refused);
    return;
  }
  m_MayHaveRun = true;
  const bool Success = isSuccess(Status);
  if ((Success && !Facts.m_Signed) || Facts.m_Encoded) {
    handleFailure(balance::CallOutcome::Failed, RetryReason::ClosedBeforeByte);
    return;
  }
  m_Status = Status;
  m_IsCloseDelimited = isCloseDelimited(Status, Headers);
  if (!m_Streaming)
    m_AnswerHeaders = Headers;
  if (m_Streaming && !Success) {
    handleFailure(balance::CallOutcome::Failed, RetryReason::ClosedMidStream);
    return;
  }
  if (isEventStream())
    m_SilenceTimer.stop();
}

/// A refusal without a limit does not clear a known one: it may come from a
/// part of the upstream that doesn't know the limit.
void ForwardedRequest::applyStatedLimit(const AnswerFacts &Facts) {
  if (Facts.m_LimitUnreadable) {
    m_Context.m_Stats.countUnreadableLimit();
    return;
  }
  if (!Facts.m_Limit && (!Facts.m_Signed || Facts.m_NotRun))
    return;
  const UpstreamId Id = m_TriedUpstreams.back();
  const balance::RateLimit Before = m_Context.m_Balancer.limitOf(Id);
  m_Context.m_Balancer.recordRateLimit(m_Ticket, Facts.m_Limit,
                                       m_Context.m_Clock.now());
  if (const auto Current = m_Context.m_Balancer.limitOf(Id); Current != Before)
    logEvent(
        LogEvent::GatewayUpstreamLimit,
        {{"upstream", m_Upstream},
         {"limit", Current ? std::to_string(*Current) : std::string("none")}});
}

/// An unreadable number counts as the least one: the upstreams are brittle.
void ForwardedRequest::applyStatedBrittleness(const AnswerFacts &Facts) {
  if (!Facts.m_Signed && !Facts.m_NotRun)
    return;
  const TimePoint Now = m_Context.m_Clock.now();
  const balance::RejectionLimit Stated = Facts.m_RejectionLimitUnreadable
                                             ? balance::RejectionLimit(1)
                                             : Facts.m_RejectionLimit;
  const bool WasBrittle =
      m_Context.m_Balancer.brittlenessOf(m_Service, Now).has_value();
  m_Context.m_Balancer.recordBrittleness(m_Ticket, Stated, Now);
  const auto Current = m_Context.m_Balancer.brittlenessOf(m_Service, Now);
  if (Current.has_value() != WasBrittle)
    logEvent(LogEvent::GatewayServiceBrittle,
             {{"service", m_Service},
              {"rejections",
               Current ? std::to_string(*Current) : std::string("none")}});
}

/// An answer of another upstream at the same address says nothing about the one
/// that was called.
void ForwardedRequest::applyStatedLeave(const AnswerFacts &Facts) {
  if (Facts.m_Leaving && !Facts.m_WrongUpstream &&
      m_Context.m_Balancer.recordLeaveStatement(m_Ticket))
    logEvent(LogEvent::GatewayUpstreamLeaving, {{"upstream", m_Upstream}});
}

void ForwardedRequest::applyRequestedPause(const AnswerFacts &Facts) {
  if (Facts.m_PauseUnreadable)
    m_Context.m_Stats.countUnreadablePause();
  if (!Facts.m_RequestedPause)
    return;
  m_Context.m_Stats.countPause();
  m_Context.m_Balancer.recordPause(m_Ticket, *Facts.m_RequestedPause,
                                   m_Context.m_Clock.now());
  logEvent(LogEvent::GatewayUpstreamPause,
           {{"upstream", m_Upstream},
            {"pause_us", std::to_string(Facts.m_RequestedPause->count())}});
}

void ForwardedRequest::handleRefusal(balance::CallOutcome Outcome) {
  endCall(Outcome);
  retry(Outcome == balance::CallOutcome::Draining
            ? RetryReason::UpstreamDraining
            : RetryReason::UpstreamRefused);
}

void ForwardedRequest::handleFailure(balance::CallOutcome Outcome,
                                     RetryReason Reason) {
  endCall(Outcome);
  if (isRetryable()) {
    retry(Reason);
    return;
  }
  refuse(RefusalReason::UpstreamFailed, Duration::zero());
}

bool ForwardedRequest::isEventStream() const {
  return isSuccess(m_Status) && eventStream() != nullptr;
}

RetryReason ForwardedRequest::closeReason() const {
  return m_Streaming ? RetryReason::ClosedMidStream
                     : RetryReason::ClosedBeforeByte;
}

void ForwardedRequest::upstreamBytes(std::string_view Bytes) {
  if (m_FirstOutputAt == TimePoint())
    m_FirstOutputAt = m_Context.m_Clock.now();
  m_Context.m_Balancer.recordOutput(m_Ticket, m_Context.m_Clock.now());
  if (isEventStream())
    relayEvents(Bytes);
  else if (m_Body.size() + Bytes.size() <= MaxPlainAnswerBytes &&
           m_Held.tryResize(m_Body.size() + Bytes.size()))
    m_Body.append(Bytes);
  else
    handleFailure(balance::CallOutcome::Failed, RetryReason::ClosedBeforeByte);
}

void ForwardedRequest::relayEvents(std::string_view Bytes) {
  m_Context.m_Balancer.recordBytesReceived(m_Ticket, m_Context.m_Clock.now());
  for (const SseEvent &Event : m_Splitter.feed(Bytes))
    relayEvent(Event);
  if (m_Splitter.partialBytes() > MaxEventBytes ||
      !m_Held.tryResize(m_Splitter.partialBytes())) {
    handleFailure(balance::CallOutcome::Failed, closeReason());
    return;
  }
  startEventSilenceTimer();
}

void ForwardedRequest::relayEvent(const SseEvent &Event) {
  m_Context.m_Balancer.recordEvent(m_Ticket, m_Context.m_Clock.now());
  // A resumed stream may begin with events that the caller already has.
  if (Event.m_Id && m_LastEventId && *Event.m_Id <= *m_LastEventId)
    return;
  if (!m_Streaming)
    beginStream();
  const TimePoint Now = m_Context.m_Clock.now();
  m_LongestPause = std::max(m_LongestPause, Now - m_LastEventAt);
  m_LastEventAt = Now;
  recordStreamSoftware();
  m_Caller->append(Event.m_Bytes);
  ++m_EventCount;
  if (Event.m_Id)
    m_LastEventId = Event.m_Id;
  pauseForSlowCaller();
}

/// An upstream cuts off an answer that is not read for some seconds, so it is
/// read on while there is room for what the caller has not read. Without room,
/// flow control of the upstream's connection slows the upstream down. A paused
/// call is silent for this instance's sake and not for the upstream's.
void ForwardedRequest::pauseForSlowCaller() {
  if (m_Call == nullptr || m_IsPaused || m_Caller->mayBuffer())
    return;
  m_IsPaused = true;
  m_SilenceTimer.stop();
  m_Call->pauseReading();
  m_Context.m_Stats.countSlowCallerPause();
}

void ForwardedRequest::resumeAfterPause() {
  if (!m_IsPaused || m_Call == nullptr || !m_Caller->mayBuffer())
    return;
  m_IsPaused = false;
  m_Call->resumeReading();
  startEventSilenceTimer();
}

void ForwardedRequest::startEventSilenceTimer() {
  constexpr int PausesToWait = 4;
  constexpr Duration LeastPause = std::chrono::milliseconds(1000);
  if (m_Call != nullptr && isRetryable() && !m_IsPaused)
    startSilenceTimer(
        std::max(eventStream()->m_MaxPause * PausesToWait, LeastPause));
}

/// An unknown version counts as another one.
void ForwardedRequest::recordStreamSoftware() {
  if (!m_StreamSoftware.empty() && m_StreamSoftware.back() == m_Software.text())
    return;
  if (!m_StreamSoftware.empty())
    m_Context.m_Stats.countMixedStream();
  m_StreamSoftware.push_back(m_Software.text());
}

/// Returns the versions whose events the caller got, separated by commas.
std::string ForwardedRequest::streamSoftwareText() const {
  std::string Result;
  for (const std::string &Version : m_StreamSoftware)
    Result += (Result.empty() ? "" : ",") + (Version.empty() ? "?" : Version);
  return Result;
}

void ForwardedRequest::recordUsage() {
  if (m_Context.m_Usage != nullptr && !std::exchange(m_UsageRecorded, true))
    m_Context.m_Usage->recordBegun(m_Admitted.m_Workspace);
}

HeaderList ForwardedRequest::answerHeaders() const {
  HeaderList Result = endToEndHeaders(m_AnswerHeaders);
  std::erase_if(Result, [](const HeaderField &Field) {
    return equalsIgnoreCase(Field.m_Name, "Content-Type");
  });
  if (m_Context.m_IsClosing())
    Result.push_back({"Connection", "close"});
  return Result;
}

void ForwardedRequest::beginStream() {
  m_Streaming = true;
  recordOrigin();
  recordUsage();
  m_Context.m_Balancer.recordFirstEvent(m_Ticket, m_Context.m_Clock.now());
  m_FirstEventAt = m_Context.m_Clock.now();
  m_LastEventAt = m_FirstEventAt;
  m_Stats.m_FirstEvent->record(m_FirstEventAt - m_ArrivedAt);
  CallerAnswer Head;
  Head.m_Status = m_Status;
  Head.m_ContentType = "text/event-stream";
  Head.m_Headers = answerHeaders();
  m_Caller->beginStream(Head);
}

void ForwardedRequest::upstreamEnded(TransportEnd End) {
  switch (End) {
  case TransportEnd::NotSent:
  case TransportEnd::ConnectRefused:
    m_Context.m_Stats.countConnectFailure(End == TransportEnd::ConnectRefused);
    handleUnsent(balance::CallOutcome::Unreachable);
    return;
  case TransportEnd::NoPath:
    handleUnsent(balance::CallOutcome::Dropped);
    return;
  case TransportEnd::OtherProcess:
    // The listed process has ended.
    m_Context.m_CrashWatch.handleReplaced(m_TriedUpstreams.back(), m_Upstream);
    applyStatedLeave({.m_Leaving = true});
    handleUnsent(balance::CallOutcome::Draining);
    return;
  case TransportEnd::Unproven:
    handleUnproven();
    return;
  case TransportEnd::Withheld:
    --m_Attempts;
    endCall(balance::CallOutcome::Dropped);
    if (m_Caller->hasDisconnected())
      handleCallerGone();
    else if (timeLeft() <= Duration::zero())
      handleDeadline();
    else
      attempt();
    return;
  case TransportEnd::Broken:
    m_MayHaveRun = true;
    recordUsage();
    handleBrokenAnswer();
    return;
  case TransportEnd::RelayLost:
    m_MayHaveRun = true;
    recordUsage();
    handleFailure(balance::CallOutcome::Dropped, RetryReason::PathLost);
    return;
  case TransportEnd::Complete:
    break;
  }
  if (isEventStream())
    handleStreamEnd();
  else
    handlePlainEnd();
}

/// The upstream may have crashed.
void ForwardedRequest::handleBrokenAnswer() {
  m_Context.m_CrashWatch.handleBrokenCall(m_TriedUpstreams.back(), m_Upstream,
                                          m_Address);
  handleFailure(balance::CallOutcome::Broken, closeReason());
}

void ForwardedRequest::handleUnsent(balance::CallOutcome Outcome) {
  --m_Attempts;
  endCall(Outcome);
  if (++m_UnsentAttempts > MaxUnsentAttempts) {
    refuse(m_MayHaveRun ? RefusalReason::UpstreamFailed
                        : RefusalReason::NoUpstream,
           BusyRetryAfter);
    return;
  }
  m_Context.m_Stats.countRetry(RetryReason::ConnectFailed);
  if (const Duration Delay = m_Context.m_Transport.retryDelay();
      Delay > Duration::zero())
    m_RetryTimer.start(Delay, [this] { attempt(); });
  else
    attempt();
}

/// A new stream may go to an upstream whose version is unknown; it just
/// can't be resumed.
void ForwardedRequest::handleUnproven() {
  m_SkipsProcessCheck = !m_Origin;
  if (m_SkipsProcessCheck) {
    // The register learns of it before the first event.
    reportUnproven();
    m_TriedUpstreams.pop_back();
  }
  handleUnsent(balance::CallOutcome::Dropped);
}

/// The end of a close-delimited answer may be a crash, so it counts only after
/// an event that the caller did not have.
void ForwardedRequest::handleStreamEnd() {
  const bool HasNewEvent = m_EventCount > m_EventsBeforeCall;
  if (m_Splitter.isMidEvent() || !m_Streaming ||
      (m_IsCloseDelimited && !HasNewEvent)) {
    handleBrokenAnswer();
    return;
  }
  endCall(balance::CallOutcome::Served);
  m_Caller->endStream();
  m_Stats.m_Finished->add();
  finish("served");
}

void ForwardedRequest::handlePlainEnd() {
  const bool Success = m_Status < FirstServerError;
  recordUsage();
  endCall(Success ? balance::CallOutcome::Served
                  : balance::CallOutcome::Failed);
  if (!Success && isRetryable() && mayRetry() &&
      m_Context.m_Budget.trySpend(m_Service, m_Context.m_Clock.now())) {
    m_Context.m_Stats.countRetry(RetryReason::ClosedBeforeByte);
    attempt();
    return;
  }
  if (statesNotRun(m_Status)) {
    refuse(RefusalReason::UpstreamFailed, Duration::zero());
    return;
  }
  answerPlain();
}

void ForwardedRequest::answerPlain() {
  CallerAnswer Answer;
  Answer.m_Status = m_Status;
  const std::string *Type = findHeader(m_AnswerHeaders, "Content-Type");
  Answer.m_ContentType = Type == nullptr ? "application/octet-stream" : *Type;
  Answer.m_Headers = answerHeaders();
  Answer.m_Body = std::move(m_Body);
  m_Caller->answer(Answer);
  if (m_Status < FirstServerError)
    m_Stats.m_Finished->add();
  finish(m_Status < FirstServerError ? "served" : "upstream_error");
}

// ---- Ends -------------------------------------------------------------------

void ForwardedRequest::refuse(RefusalReason Reason, Duration RetryAfter) {
  m_Context.m_Stats.countRefusal(Reason);
  if (m_Streaming) {
    // The caller must see that the stream is incomplete.
    m_Caller->abortAnswer();
    finish(nameOf(Reason));
    return;
  }
  if (m_MayHaveRun && statesNotRun(httpStatusOf(Reason)))
    Reason = RefusalReason::UpstreamFailed;
  CallerAnswer Answer =
      refusalAnswer(Reason, m_MayHaveRun ? RunState::Unknown : RunState::NotRun,
                    Duration::zero());
  Answer.m_Headers = m_Context.m_Codec.writeRefusal(
      m_Admitted.m_Facts.m_Id, m_MayHaveRun ? Duration::zero() : RetryAfter);
  if (m_Context.m_IsClosing())
    Answer.m_Headers.push_back({"Connection", "close"});
  m_Caller->answer(Answer);
  finish(nameOf(Reason));
}

/// Whether a call runs that was sent is not known.
void ForwardedRequest::dropCall() {
  if (m_Call == nullptr)
    return;
  m_MayHaveRun = m_MayHaveRun || m_Call->progress() != CallProgress::Connecting;
  endCall(balance::CallOutcome::Dropped);
}

void ForwardedRequest::handleDeadline() {
  dropCall();
  refuse(RefusalReason::TimedOut, Duration::zero());
}

void ForwardedRequest::logCut() const {
  logEvent(
      LogEvent::GatewayRequestCut,
      {{"request", m_Admitted.m_Facts.m_Id},
       {"route", m_Admitted.m_Route->m_Name},
       {"upstream", m_Upstream},
       {"sends", std::to_string(m_Attempts)},
       {"progress",
        m_Call == nullptr ? "none" : std::string(nameOf(m_Call->progress()))},
       {"status", std::to_string(m_Status)},
       {"events", std::to_string(m_EventCount)},
       {"unwritten", std::to_string(m_Caller->backlog())},
       {"took_us",
        std::to_string((m_Context.m_Clock.now() - m_ArrivedAt).count())},
       {"left_us", std::to_string(timeLeft().count())}});
}

void ForwardedRequest::cut(Duration RetryAfter) {
  logCut();
  dropCall();
  refuse(RefusalReason::ShuttingDown, RetryAfter);
}

void ForwardedRequest::handleCallerGone() {
  if (m_Call != nullptr)
    endCall(balance::CallOutcome::Dropped);
  m_Context.m_Stats.countRefusal(RefusalReason::CallerGone);
  m_Caller->abortAnswer();
  finish(nameOf(RefusalReason::CallerGone));
}

void ForwardedRequest::finish(std::string_view Outcome) {
  m_DeadlineTimer.stop();
  m_SilenceTimer.stop();
  m_RetryTimer.stop();
  m_OriginLookup.reset();
  m_Confirmation.reset();
  m_QueueEntry.reset();
  recordWaitEnd(Outcome);
  const Duration Elapsed = m_Context.m_Clock.now() - m_ArrivedAt;
  m_Stats.m_Total->record(Elapsed);
  const bool Served = Outcome == "served";
  logEvent(
      Served ? LogEvent::GatewayRequestServed : LogEvent::GatewayRequestFailed,
      {{"request", m_Admitted.m_Facts.m_Id},
       {"content", toString(m_Suspects.m_Request)},
       {"held_by", m_HeldBy ? toString(*m_HeldBy) : std::string()},
       {"route", m_Admitted.m_Route->m_Name},
       {"outcome", std::string(Outcome)},
       {"status", std::to_string(m_Status)},
       {"upstream", m_Upstream},
       {"software", streamSoftwareText()},
       {"resumes", m_Admitted.m_Facts.m_Resumes},
       {"required", m_Origin ? m_Origin->m_Software.text() : std::string()},
       {"sends", std::to_string(m_Attempts)},
       {"events", std::to_string(m_EventCount)},
       {"urgency", std::to_string(m_Admitted.m_EngineRank)},
       {"options", std::to_string(m_PlacementInputs.m_CandidateCount)},
       {"calls", std::to_string(static_cast<int>(m_PlacementInputs.m_Calls))},
       {"unread", std::to_string(m_PlacementInputs.m_QueuedPrefillTokens)},
       {"missing", std::to_string(m_PlacementInputs.m_UncachedTokens)},
       {"peers", std::to_string(m_PlacementInputs.m_PeerCount)},
       {"speed_class", std::to_string(m_PlacementInputs.m_SpeedClass)},
       {"wait_us", std::to_string(m_PlacementInputs.m_PredictedWait.count())},
       {"unlisted_us", std::to_string(m_PlacementInputs.m_UnlistedFor.count())},
       {"waited_us", std::to_string(m_QueueTime.count())},
       {"prompt", std::to_string(m_Admitted.m_Facts.m_Prompt.m_PromptTokens)},
       {"output",
        std::to_string(m_Admitted.m_Facts.m_Prompt.m_MaxOutputTokens)},
       {"pause_us", std::to_string(m_LongestPause.count())},
       {"first_us",
        std::to_string(m_Streaming ? (m_FirstEventAt - m_ArrivedAt).count()
                                   : 0)},
       {"took_us", std::to_string(Elapsed.count())}});
  const std::function<void()> OnEnded = std::move(m_OnEnded);
  m_OnEnded = nullptr;
  if (OnEnded)
    OnEnded();
}

} // namespace crowstep::gateway
