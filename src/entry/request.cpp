/// Events and actions of one request.
#include "entry/request.h"

#include "core/log.h"
#include "core/untrusted_json.h"
#include "http/refusal_answer.h"

#include <glib.h>

namespace crowstep::entry {

namespace {

constexpr const char *EventStreamType = "text/event-stream";
constexpr std::size_t MaxWholeAnswer = 16U << 20;
constexpr unsigned HttpOk = 200;
constexpr unsigned HttpUnavailable = 503;
constexpr unsigned FirstServerError = 500;
constexpr Duration CancelTimeout = std::chrono::seconds(2);

using Json = nlohmann::json;

std::string randomId() {
  char *Text = g_uuid_string_random();
  std::string Result(Text);
  g_free(Text);
  return Result;
}

RequestTerms termsOf(const CallerRequest &Parsed, const RequestLimits &Limits) {
  RequestTerms Result;
  Result.m_Repeatable = Parsed.m_Contract.m_Repeatable;
  Result.m_Streamed = Parsed.isStreamed();
  Result.m_FirstTokenTarget = Parsed.m_Contract.m_FirstTokenTarget;
  Result.m_TotalLimit = Parsed.m_Contract.m_TotalLimit;
  Result.m_MaxAttempts = Limits.m_MaxAttempts;
  return Result;
}

bool isChat(const CallerRequest &Parsed) {
  const auto *Model = std::get_if<EngineCall>(&Parsed.m_Call);
  return Model != nullptr && Model->m_Chat;
}

/// Returns the error code of an answer by which the upstream states that it did
/// not run the call, or nothing for other answers.
std::optional<std::string> notRunCode(unsigned Status,
                                      const std::string &Body) {
  if (Status != HttpUnavailable)
    return std::nullopt;
  const Json Answer = parseUntrustedJsonOrDiscard(Body);
  if (!Answer.is_object() || !Answer.contains("error") ||
      !Answer["error"].is_object() ||
      Answer["error"].value("type", Json()) != "not_run")
    return std::nullopt;
  const Json Code = Answer["error"].value("code", Json());
  return Code.is_string() ? Code.get<std::string>() : std::string();
}

} // namespace

Request::Request(RequestContext &Context, ClassStats &Stats,
                 CallerRequest Parsed, std::unique_ptr<Caller> Client,
                 std::function<void()> OnEnded)
    : m_Context(Context), m_Stats(Stats), m_CallerRequest(std::move(Parsed)),
      m_Caller(std::move(Client)), m_OnEnded(std::move(OnEnded)),
      m_Core(termsOf(m_CallerRequest, Context.m_Limits),
             Context.m_Clock.readNow()),
      m_Alive(std::make_shared<bool>(true)), m_ArrivedAt(Context.m_Clock.now()),
      m_LimitTimer(Context.m_Timers), m_WakeTimer(Context.m_Timers),
      m_RequestId(randomId()), m_Assembler(isChat(m_CallerRequest)) {
  if (!m_CallerRequest.m_ClaimKey.empty())
    m_AttemptId = randomId();
}

Request::~Request() { *m_Alive = false; }

void Request::start() {
  m_Stats.m_Requests->add();
  m_Caller->onDisconnect([this] { handle(CallerLeft{}); });
  m_Caller->onBacklogReduced([this] {
    if (m_Call != nullptr &&
        m_Caller->backlog() < m_Context.m_Limits.m_MaxCallerBacklogBytes / 2)
      m_Call->resumeReading();
  });
  m_LimitTimer.start(m_CallerRequest.m_Contract.m_TotalLimit,
                     [this] { handle(LimitReached{}); });
  handle(Admitted{});
}

void Request::handle(const RequestEvent &Event) {
  m_Events.push_back(Event);
  if (m_IsHandling)
    return;
  m_IsHandling = true;
  std::vector<RequestAction> Actions;
  while (!m_Events.empty()) {
    const RequestEvent Next = m_Events.front();
    m_Events.pop_front();
    Actions.clear();
    m_Core.handle(Next, m_Context.m_Clock.readNow(), Actions);
    for (const RequestAction &Action : Actions)
      std::visit([this](const auto &Typed) { carryOut(Typed); }, Action);
  }
  m_IsHandling = false;
  if (!m_Core.isEnded() || m_EndNotified)
    return;
  m_EndNotified = true;
  m_LimitTimer.stop();
  m_WakeTimer.stop();
  m_OnEnded();
}

// ---- Placement --------------------------------------------------------------

void Request::slotGranted(const GrantedSlot &Slot) { handle(Granted{Slot}); }

void Request::bidRefused(RefusalReason Reason, Duration RetryAfter) {
  handle(BidRefused{Reason, RetryAfter});
}

void Request::slotPreempted(UpstreamId Upstream) {
  handle(PreemptOrdered{Upstream});
}

void Request::grantBecameSuspect() { handle(GrantSuspect{}); }

void Request::bidMoved() {
  m_Stats.m_Retries[static_cast<std::size_t>(RetryReason::DispatcherLost)]
      ->add();
}

std::uint32_t Request::callTokens() const { return m_CallTokens; }

void Request::carryOut(const PlaceBid &Action) {
  BidTerms Terms;
  Terms.m_Service = m_CallerRequest.m_Contract.m_Service;
  Terms.m_Class = m_CallerRequest.m_Contract.m_Id;
  Terms.m_Workspace = m_CallerRequest.m_Workspace;
  Terms.m_PromptTokens = m_CallerRequest.m_PromptTokens;
  Terms.m_MaxTokens = m_CallerRequest.m_MaxTokens;
  Terms.m_Prefixes = m_CallerRequest.m_Prefixes;
  Terms.m_Bid = Action;
  m_BidNumber = m_Context.m_Placement.bid(Terms, *this);
}

void Request::carryOut(const WithdrawBid &) {
  m_Context.m_Placement.withdraw(m_BidNumber);
}

void Request::carryOut(const ReportFirstToken &Action) {
  m_Context.m_Placement.reportFirstToken(m_BidNumber, Action.m_Latency);
}

void Request::carryOut(const ReleaseSlot &Action) {
  m_Context.m_Placement.release(m_BidNumber, Action);
}

void Request::carryOut(const CountRetry &Action) {
  m_Stats.m_Retries[static_cast<std::size_t>(Action.m_Reason)]->add();
}

void Request::carryOut(const WakeAfter &Action) {
  m_WakeTimer.start(Action.m_Wait, [this] { handle(WaitElapsed{}); });
}

// ---- Claims -----------------------------------------------------------------

claim::Claims::Done Request::claimCallback() {
  return [this, Alive = m_Alive](const claim::ClaimOutcome &Outcome) {
    if (*Alive)
      handle(ClaimAnswered{Outcome});
  };
}

claim::Claims::Done Request::recordCallback() {
  return [this, Alive = m_Alive](const claim::ClaimOutcome &Outcome) {
    if (*Alive)
      handle(EndRecorded{Outcome.m_Status == claim::ClaimStatus::Done});
  };
}

void Request::carryOut(const RequestClaim &Action) {
  m_Context.m_Claims.claim(m_CallerRequest.m_ClaimKey,
                           m_CallerRequest.m_BodyHash, m_AttemptId,
                           Action.m_Timeout, claimCallback());
}

void Request::carryOut(const ReadClaim &) {
  m_Context.m_Claims.read(m_CallerRequest.m_ClaimKey,
                          m_CallerRequest.m_BodyHash, claimCallback());
}

void Request::carryOut(const RecordNotRun &) {
  m_Context.m_Claims.recordNotRun(m_CallerRequest.m_ClaimKey, m_AttemptId,
                                  recordCallback());
}

void Request::carryOut(const RecordRan &Action) {
  claim::KeptAnswer Kept;
  if (!Action.m_OutcomeKnown) {
    logEvent(LogEvent::EntryOutcomeUnknown,
             {{"class", m_CallerRequest.m_Contract.m_Name}});
    Kept = {OutcomeUnknownStatus, "text/plain", "unknown"};
  } else if (m_CallerRequest.isStreamed() && m_Status == HttpOk) {
    Kept = {HttpOk, EventStreamType, m_KeptEvents};
  } else {
    const CallerAnswer Whole = completeAnswer();
    Kept = {static_cast<std::uint16_t>(Whole.m_Status), Whole.m_ContentType,
            Whole.m_Body};
  }
  m_Context.m_Claims.recordRan(m_CallerRequest.m_ClaimKey, m_AttemptId, Kept,
                               recordCallback());
}

// ---- Calls to upstreams -----------------------------------------------------

void Request::carryOut(const SendCall &Action) {
  m_Slot = Action.m_Slot;
  m_Status = 0;
  m_Body.clear();
  m_Splitter = EventSplitter();
  m_StreamDone = false;
  m_CallTokens = 0;
  if (Action.m_ResumeTokens == 0) {
    m_AnswerTokens = 0;
    m_Assembler.clear();
    m_KeptEvents.clear();
  }
  UpstreamRequest Send;
  Send.m_Address = Action.m_Slot.m_Address;
  Send.m_Repeatable = m_CallerRequest.m_Contract.m_Repeatable;
  Send.m_CloseAfter = !Send.m_Repeatable;
  Send.m_SendDeadline = Action.m_SendDeadline;
  Send.m_SendCheck = [this] { return !m_Caller->hasDisconnected(); };
  Send.m_SilenceTimeout = m_Context.m_Limits.m_UpstreamSilenceTimeout;
  if (const auto *Model = std::get_if<EngineCall>(&m_CallerRequest.m_Call)) {
    // Each call has an id of its own, so that a late order to cancel an earlier
    // one does not stop this one at the same engine.
    m_CallId = m_RequestId + "-" + std::to_string(++m_CallCount);
    Json Body = Model->m_Body;
    Body["stream"] = true;
    Body["request_id"] = m_CallId;
    Body["priority"] = Action.m_Slot.m_Priority;
    if (Action.m_ResumeTokens > 0)
      Body["resume_tokens"] = Action.m_ResumeTokens;
    Send.m_Path = Model->m_Chat ? "/v1/chat/completions" : "/v1/completions";
    Send.m_Body = Body.dump();
  } else {
    const auto &Service = std::get<ServiceCall>(m_CallerRequest.m_Call);
    Send.m_Path = Service.m_Path;
    Send.m_Body = Service.m_Body;
    if (!Service.m_IdempotencyKey.empty())
      Send.m_Headers.push_back({"Idempotency-Key", Service.m_IdempotencyKey});
  }
  Send.m_Headers.push_back({"Content-Type", "application/json"});
  m_Stats.m_Calls->add();
  m_Call = m_Context.m_UpstreamClient.send(Send, *this);
}

void Request::carryOut(const CancelCall &) {
  m_Call.reset();
  if (!std::holds_alternative<EngineCall>(m_CallerRequest.m_Call))
    return;
  HttpCall Order;
  Order.m_Method = "POST";
  Order.m_Address = m_Slot.m_Address;
  Order.m_Path = "/v1/cancel";
  Order.m_Body = Json{{"request_id", m_CallId}}.dump();
  Order.m_Timeout = CancelTimeout;
  // Closing the connection also stops the engine; the order is for engines that
  // notice a closed connection only when they write.
  m_Context.m_HttpClient.call(Order, [](const HttpResult &) {});
}

void Request::upstreamHeaders(unsigned Status, const HeaderList &Headers) {
  m_Status = Status;
  const std::string *Type = findHeader(Headers, "Content-Type");
  m_ContentType = Type == nullptr ? std::string() : *Type;
}

void Request::upstreamBytes(std::string_view Bytes) {
  if (std::holds_alternative<EngineCall>(m_CallerRequest.m_Call) &&
      m_Status == HttpOk) {
    processEvents(Bytes);
    return;
  }
  const bool First = m_Body.empty();
  m_Body.append(Bytes);
  if (m_Body.size() > MaxWholeAnswer)
    endCall(CallEnd::ClosedMidStream);
  else if (First && m_Status < FirstServerError)
    handle(TokensReceived{0});
}

void Request::processEvents(std::string_view Bytes) {
  if (m_StreamDone)
    return;
  const EventBatch Batch = m_Splitter.feed(Bytes);
  m_StreamDone = Batch.m_Done;
  const bool Parsed =
      m_CallerRequest.isStreamed() || m_Assembler.feed(Batch.m_Events);
  if (!Batch.m_Events.empty())
    relayEvents(Batch);
  if (Batch.m_Failed || !Parsed)
    endCall(m_AnswerTokens > 0 ? CallEnd::ClosedMidStream
                               : CallEnd::ClosedBeforeByte);
}

void Request::relayEvents(const EventBatch &Batch) {
  countTokens(Batch.m_Tokens);
  handle(TokensReceived{Batch.m_Tokens});
  if (!m_CallerRequest.isStreamed())
    return;
  CallerAnswer StreamHeaders;
  StreamHeaders.m_ContentType = EventStreamType;
  m_Caller->beginStream(StreamHeaders);
  m_Caller->append(Batch.m_Events);
  if (!m_CallerRequest.m_ClaimKey.empty())
    m_KeptEvents += Batch.m_Events;
  // The answer must not pile up in memory for a caller that reads slowly. The
  // engine is slowed down by flow control of its connection instead.
  if (m_Call != nullptr &&
      m_Caller->backlog() > m_Context.m_Limits.m_MaxCallerBacklogBytes)
    m_Call->pauseReading();
}

void Request::countTokens(std::uint32_t Count) {
  if (Count == 0)
    return;
  const TimePoint Now = m_Context.m_Clock.now();
  if (m_LastTokenAt == TimePoint())
    m_Stats.m_FirstToken->record(Now - m_ArrivedAt);
  else
    m_Stats.m_TokenGap->record(Now - m_LastTokenAt);
  m_LastTokenAt = Now;
  m_AnswerTokens += Count;
  m_CallTokens += Count;
  m_Stats.m_Tokens->add(Count);
}

void Request::upstreamEnded(TransportEnd End) {
  const bool Begun = m_CallTokens > 0 || !m_Body.empty();
  switch (End) {
  case TransportEnd::NotSent:
  case TransportEnd::ConnectRefused:
  case TransportEnd::NoPath:
  case TransportEnd::OtherProcess:
  case TransportEnd::Unproven:
    endCall(CallEnd::ConnectFailed);
    return;
  case TransportEnd::Withheld:
    endCall(CallEnd::Withheld);
    return;
  case TransportEnd::Complete:
    endCall(classifyAnswer());
    return;
  case TransportEnd::Broken:
  case TransportEnd::RelayLost:
    // After [DONE], how the connection ends does not matter.
    if (m_StreamDone)
      endCall(CallEnd::Complete);
    else
      endCall(Begun ? CallEnd::ClosedMidStream : CallEnd::ClosedBeforeByte);
    return;
  }
}

CallEnd Request::classifyAnswer() const {
  const bool Model = std::holds_alternative<EngineCall>(m_CallerRequest.m_Call);
  if (Model && m_Status == HttpOk) {
    if (m_StreamDone)
      return CallEnd::Complete;
    return m_CallTokens > 0 ? CallEnd::ClosedMidStream
                            : CallEnd::ClosedBeforeByte;
  }
  if (const auto Code = notRunCode(m_Status, m_Body))
    return *Code == "leaving" ? CallEnd::Draining : CallEnd::Busy;
  if (m_AnswerTokens > 0)
    return CallEnd::ClosedMidStream;
  if (m_CallerRequest.m_Contract.m_Repeatable && m_Status >= FirstServerError)
    return CallEnd::ClosedBeforeByte;
  return CallEnd::Complete;
}

void Request::endCall(CallEnd End) {
  m_Call.reset();
  if (End == CallEnd::ClosedBeforeByte || End == CallEnd::ClosedMidStream)
    logEvent(LogEvent::EntryUpstreamFailed,
             {{"class", m_CallerRequest.m_Contract.m_Name},
              {"upstream", toString(m_Slot.m_Address)},
              {"tokens", std::to_string(m_CallTokens)}});
  handle(CallEnded{End});
}

// ---- Final answers ----------------------------------------------------------

CallerAnswer Request::completeAnswer() const {
  CallerAnswer Result;
  if (std::holds_alternative<EngineCall>(m_CallerRequest.m_Call) &&
      m_Status == HttpOk) {
    Result.m_Body =
        m_Assembler.buildAnswer(m_CallerRequest.m_PromptTokens, m_AnswerTokens);
    return Result;
  }
  Result.m_Status =
      m_Status == OutcomeUnknownStatus ? FirstServerError : m_Status;
  Result.m_ContentType =
      m_ContentType.empty() ? "application/octet-stream" : m_ContentType;
  Result.m_Body = m_Body;
  return Result;
}

void Request::countRefusal(RefusalReason Reason) {
  m_Stats.m_Refusals[static_cast<std::size_t>(Reason)]->add();
}

void Request::carryOut(const Refuse &Action) {
  countRefusal(Action.m_Reason);
  m_Caller->answer(
      refusalAnswer(Action.m_Reason, Action.m_State, Action.m_RetryAfter));
}

void Request::carryOut(const ReplayAnswer &Action) {
  if (Action.m_Answer.m_Status == OutcomeUnknownStatus) {
    carryOut(Refuse{RefusalReason::OutcomeUnknown, RunState::Unknown, {}});
    return;
  }
  m_Stats.m_Replayed->add();
  CallerAnswer Answer;
  Answer.m_Status = Action.m_Answer.m_Status;
  Answer.m_ContentType = Action.m_Answer.m_ContentType;
  Answer.m_Body = Action.m_Answer.m_Body;
  m_Caller->answer(Answer);
}

void Request::carryOut(const FinishAnswer &) {
  m_Stats.m_Finished->add();
  m_Stats.m_Total->record(m_Context.m_Clock.now() - m_ArrivedAt);
  if (m_CallerRequest.isStreamed() && m_Status == HttpOk)
    m_Caller->endStream();
  else
    m_Caller->answer(completeAnswer());
}

void Request::carryOut(const CutAnswer &Action) {
  countRefusal(Action.m_Reason);
  m_Caller->append(errorEvent(Action.m_Reason));
  m_Caller->endStream();
}

void Request::carryOut(const DropAnswer &) {
  countRefusal(RefusalReason::CallerGone);
  m_Caller->abortAnswer();
}

} // namespace crowstep::entry
