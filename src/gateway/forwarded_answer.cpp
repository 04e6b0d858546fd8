/// Handling of an upstream's answer, and the end of a request.
#include "core/log.h"
#include "gateway/forward_limits.h"
#include "gateway/forwarded_request.h"
#include "http/refusal_answer.h"

#include <algorithm>

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
  const AnswerFacts Facts = m_World.m_Codec.readAnswer(Status, Headers);
  m_World.m_Balancer.heard(m_Ticket, m_World.m_Clock.now());
  // A late answer to an earlier call on a kept connection, or bytes that are
  // not an upstream's answer at all.
  if (Facts.m_RequestId != m_What.m_Facts.m_Id && !Facts.m_NotRun) {
    m_MayHaveRun = true;
    upstreamFailed(balance::CallOutcome::Failed, RetryReason::ClosedBeforeByte);
    return;
  }
  if (Facts.m_Load)
    m_World.m_Balancer.reported(m_Ticket, *Facts.m_Load, m_World.m_Clock.now());
  takeLimit(Facts);
  if (Facts.m_NotRun) {
    upstreamRefused(Facts.m_OtherUpstream || Facts.m_Leaving
                        ? balance::CallOutcome::Leaving
                        : balance::CallOutcome::Refused);
    return;
  }
  m_MayHaveRun = true;
  const bool Success = isSuccess(Status);
  if ((Success && !Facts.m_Signed) || Facts.m_Encoded) {
    upstreamFailed(balance::CallOutcome::Failed, RetryReason::ClosedBeforeByte);
    return;
  }
  m_Status = Status;
  if (!m_Streaming)
    m_AnswerHeaders = Headers;
  if (m_Streaming && !Success) {
    upstreamFailed(balance::CallOutcome::Failed, RetryReason::ClosedMidStream);
    return;
  }
  if (relaysEvents())
    m_Silence.stop();
}

/// A refusal without a limit does not clear a known one: it may come from a
/// part of the upstream that doesn't know the limit.
void ForwardedRequest::takeLimit(const AnswerFacts &Facts) {
  if (Facts.m_BadLimit) {
    m_World.m_Stats.limitUnreadable();
    return;
  }
  if (!Facts.m_Limit && (!Facts.m_Signed || Facts.m_NotRun))
    return;
  const UpstreamId Id = m_Tried.back();
  const balance::RateLimit Before = m_World.m_Balancer.limitOf(Id);
  m_World.m_Balancer.stated(m_Ticket, Facts.m_Limit, m_World.m_Clock.now());
  if (const auto Current = m_World.m_Balancer.limitOf(Id); Current != Before)
    logEvent(
        LogEvent::GatewayUpstreamLimit,
        {{"upstream", m_Upstream},
         {"limit", Current ? std::to_string(*Current) : std::string("none")}});
}

void ForwardedRequest::upstreamRefused(balance::CallOutcome Outcome) {
  endCall(Outcome);
  tryAgain(Outcome == balance::CallOutcome::Leaving
               ? RetryReason::UpstreamLeaving
               : RetryReason::UpstreamRefused);
}

void ForwardedRequest::upstreamFailed(balance::CallOutcome Outcome,
                                      RetryReason Reason) {
  endCall(Outcome);
  if (repeatable()) {
    tryAgain(Reason);
    return;
  }
  giveUp(RefusalReason::UpstreamFailed, Duration::zero());
}

bool ForwardedRequest::relaysEvents() const {
  return isSuccess(m_Status) && stream() != nullptr;
}

RetryReason ForwardedRequest::closedWhen() const {
  return m_Streaming ? RetryReason::ClosedMidStream
                     : RetryReason::ClosedBeforeByte;
}

void ForwardedRequest::upstreamBytes(std::string_view Bytes) {
  if (relaysEvents())
    takeEvents(Bytes);
  else
    m_Body.append(Bytes);
}

void ForwardedRequest::takeEvents(std::string_view Bytes) {
  m_World.m_Balancer.heard(m_Ticket, m_World.m_Clock.now());
  for (const SseEvent &Event : m_Splitter.feed(Bytes))
    relay(Event);
  constexpr int PausesToWait = 4;
  constexpr Duration LeastPause = std::chrono::milliseconds(1000);
  if (m_Call != nullptr && repeatable())
    watchSilence(std::max(stream()->m_LongestPause * PausesToWait, LeastPause));
}

void ForwardedRequest::relay(const SseEvent &Event) {
  // A resumed stream may begin with events that the caller already has.
  if (Event.m_Id && m_LastId && *Event.m_Id <= *m_LastId)
    return;
  if (!m_Streaming)
    beginStream();
  const TimePoint Now = m_World.m_Clock.now();
  m_LongestPause = std::max(m_LongestPause, Now - m_LastEvent);
  m_LastEvent = Now;
  m_Caller->append(Event.m_Bytes);
  ++m_Events;
  if (Event.m_Id)
    m_LastId = Event.m_Id;
  // A caller that reads slowly must not make this process buffer its whole
  // answer; flow control of the upstream's connection slows the engine down.
  constexpr std::size_t CallerBacklog = 64 << 10;
  if (m_Call != nullptr && m_Caller->backlog() > CallerBacklog)
    m_Call->pauseReading();
}

HeaderList ForwardedRequest::answerHeaders() const {
  HeaderList Result = endToEndHeaders(m_AnswerHeaders);
  std::erase_if(Result, [](const HeaderField &Field) {
    return sameHeader(Field.m_Name, "Content-Type");
  });
  if (m_World.m_Leaving())
    Result.push_back({"Connection", "close"});
  return Result;
}

void ForwardedRequest::beginStream() {
  m_Streaming = true;
  m_World.m_Balancer.answered(m_Ticket, m_World.m_Clock.now());
  m_FirstEvent = m_World.m_Clock.now();
  m_LastEvent = m_FirstEvent;
  m_Stats.m_FirstEvent->record(m_FirstEvent - m_Begin);
  CallerAnswer Head;
  Head.m_Status = m_Status;
  Head.m_ContentType = "text/event-stream";
  Head.m_Headers = answerHeaders();
  m_Caller->beginStream(Head);
}

void ForwardedRequest::upstreamEnded(TransportEnd End) {
  switch (End) {
  case TransportEnd::NotSent:
    --m_Sends;
    endCall(balance::CallOutcome::NoAnswer);
    if (++m_Misses > MaxMisses) {
      giveUp(m_MayHaveRun ? RefusalReason::UpstreamFailed
                          : RefusalReason::NoUpstream,
             BusyRetryAfter);
      return;
    }
    m_World.m_Stats.retried(RetryReason::ConnectFailed);
    attempt();
    return;
  case TransportEnd::TooOld:
    --m_Sends;
    endCall(balance::CallOutcome::Dropped);
    if (m_Caller->hasLeft())
      callerGone();
    else if (timeLeft() <= Duration::zero())
      timeIsOver();
    else
      attempt();
    return;
  case TransportEnd::Broken:
    m_MayHaveRun = true;
    m_World.m_Crashes.callBroken(m_Tried.back(), m_Address);
    upstreamFailed(balance::CallOutcome::Broken, closedWhen());
    return;
  case TransportEnd::Complete:
    break;
  }
  if (relaysEvents())
    streamEnded();
  else
    plainEnded();
}

void ForwardedRequest::streamEnded() {
  if (m_Splitter.midEvent() || !m_Streaming) {
    upstreamFailed(balance::CallOutcome::Failed, closedWhen());
    return;
  }
  endCall(balance::CallOutcome::Served);
  m_Caller->endStream();
  m_Stats.m_Finished->add();
  ended("served");
}

void ForwardedRequest::plainEnded() {
  const bool Success = m_Status < FirstServerError;
  endCall(Success ? balance::CallOutcome::Served
                  : balance::CallOutcome::Failed);
  if (!Success && repeatable() && mayTryAgain() &&
      m_World.m_Budget.take(m_Service, m_World.m_Clock.now())) {
    m_World.m_Stats.retried(RetryReason::ClosedBeforeByte);
    attempt();
    return;
  }
  if (statesNotRun(m_Status)) {
    giveUp(RefusalReason::UpstreamFailed, Duration::zero());
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
  Answer.m_Body = m_Body;
  m_Caller->answer(Answer);
  if (m_Status < FirstServerError)
    m_Stats.m_Finished->add();
  ended(m_Status < FirstServerError ? "served" : "upstream_error");
}

// ---- Ends -------------------------------------------------------------------

void ForwardedRequest::giveUp(RefusalReason Reason, Duration RetryAfter) {
  m_World.m_Stats.refused(Reason);
  if (m_Streaming) {
    // The caller must see that the stream is incomplete.
    m_Caller->drop();
    ended(nameOf(Reason));
    return;
  }
  if (m_MayHaveRun && statesNotRun(httpStatusOf(Reason)))
    Reason = RefusalReason::UpstreamFailed;
  CallerAnswer Answer =
      refusalAnswer(Reason, m_MayHaveRun ? RunState::Unknown : RunState::NotRun,
                    Duration::zero());
  Answer.m_Headers = m_World.m_Codec.writeRefusal(
      m_What.m_Facts.m_Id, m_MayHaveRun ? Duration::zero() : RetryAfter);
  if (m_World.m_Leaving())
    Answer.m_Headers.push_back({"Connection", "close"});
  m_Caller->answer(Answer);
  ended(nameOf(Reason));
}

void ForwardedRequest::timeIsOver() {
  if (m_Call != nullptr) {
    // It may have been sent: whether it runs is not known.
    m_MayHaveRun = true;
    endCall(balance::CallOutcome::Dropped);
  }
  giveUp(RefusalReason::TimedOut, Duration::zero());
}

void ForwardedRequest::callerGone() {
  if (m_Call != nullptr)
    endCall(balance::CallOutcome::Dropped);
  m_World.m_Stats.refused(RefusalReason::CallerGone);
  m_Caller->drop();
  ended(nameOf(RefusalReason::CallerGone));
}

void ForwardedRequest::ended(std::string_view Outcome) {
  m_Limit.stop();
  m_Silence.stop();
  m_Place.reset();
  const Duration Elapsed = m_World.m_Clock.now() - m_Begin;
  m_Stats.m_Total->record(Elapsed);
  const bool Served = Outcome == "served";
  logEvent(
      Served ? LogEvent::GatewayRequestServed : LogEvent::GatewayRequestFailed,
      {{"request", m_What.m_Facts.m_Id},
       {"content", toString(m_Content)},
       {"route", m_What.m_Route->m_Name},
       {"outcome", std::string(Outcome)},
       {"status", std::to_string(m_Status)},
       {"upstream", m_Upstream},
       {"sends", std::to_string(m_Sends)},
       {"events", std::to_string(m_Events)},
       {"urgency", std::to_string(m_What.m_Urgency)},
       {"options", std::to_string(m_Why.m_Options)},
       {"calls", std::to_string(static_cast<int>(m_Why.m_Calls))},
       {"unread", std::to_string(m_Why.m_UnreadTokens)},
       {"missing", std::to_string(m_Why.m_MissingTokens)},
       {"peers", std::to_string(m_Why.m_Peers)},
       {"waited_us", std::to_string(m_Waited.count())},
       {"prompt", std::to_string(m_What.m_Facts.m_Prompt.m_PromptTokens)},
       {"output", std::to_string(m_What.m_Facts.m_Prompt.m_MaxOutput)},
       {"pause_us", std::to_string(m_LongestPause.count())},
       {"first_us",
        std::to_string(m_Streaming ? (m_FirstEvent - m_Begin).count() : 0)},
       {"took_us", std::to_string(Elapsed.count())}});
  const std::function<void()> OnEnded = std::move(m_OnEnded);
  m_OnEnded = nullptr;
  if (OnEnded)
    OnEnded();
}

} // namespace crowstep::gateway
