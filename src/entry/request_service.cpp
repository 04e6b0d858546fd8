/// Requests, the entry's own resources and the shutdown.
#include "entry/request_service.h"

#include "core/log.h"

namespace crowstep::entry {

namespace {

constexpr Duration StopCheckInterval = std::chrono::milliseconds(50);
constexpr Duration ElsewhereRetryAfter = std::chrono::seconds(1);

/// Time after the last answer of a stop for its caller to close. Callers that
/// are refused meanwhile don't prolong the stop.
constexpr Duration StopLingerTime = std::chrono::seconds(1);
constexpr unsigned HttpOk = 200;
constexpr unsigned HttpUnavailable = 503;

/// A connection without a request is closed after this time; clients open a new
/// one.
constexpr Duration IdleLimit = std::chrono::seconds(60);

ReceiveLimits arrivalLimits(const RequestLimits &Limits) {
  return {Limits.m_MaxBodyBytes, Limits.m_MaxHeaderBytes,
          Limits.m_ReceiveTimeout, IdleLimit};
}

void answerText(Caller &Client, unsigned Status, const std::string &ContentType,
                const std::string &Body) {
  CallerAnswer Answer;
  Answer.m_Status = Status;
  Answer.m_ContentType = ContentType;
  Answer.m_Body = Body;
  Client.answer(Answer);
}

RawRequest rawRequestOf(IncomingRequest Incoming) {
  const auto Header = [&](std::string_view Name) {
    const std::string *Value = findHeader(Incoming.m_Headers, Name);
    return Value == nullptr ? std::string() : *Value;
  };
  RawRequest Result;
  Result.m_Method = Incoming.m_Method;
  Result.m_Path = Incoming.m_Target;
  Result.m_Authorization = Header("Authorization");
  Result.m_Class = Header("Crowstep-Class");
  Result.m_IdempotencyKey = Header("Idempotency-Key");
  Result.m_ContentType = Header("Content-Type");
  Result.m_Body = std::move(Incoming.m_Body);
  return Result;
}

} // namespace

RequestService::RequestService(RequestContext Context, const Directory &Dir,
                               ServiceConditions Conditions, Metrics &Stats)
    : m_Context(Context), m_Directory(Dir), m_Conditions(std::move(Conditions)),
      m_Metrics(Stats), m_Stats(Stats),
      m_Frontend(
          arrivalLimits(Context.m_Limits),
          [this](RefusalReason Reason) {
            m_Stats.statsOf("")
                .m_Refusals[static_cast<std::size_t>(Reason)]
                ->add();
          },
          Context.m_Timers),
      m_CleanupTimer(Context.m_Timers), m_StopTimer(Context.m_Timers) {
  m_Frontend.setMemory(
      planMemory(usableMemory(Context.m_Limits.m_MemoryBytes)));
  tableChanged();
}

void RequestService::listen(const Address &LocalAddress) {
  m_Frontend.listen(LocalAddress, [this](IncomingRequest Incoming,
                                         std::unique_ptr<Caller> Client) {
    const RawRequest Raw = rawRequestOf(std::move(Incoming));
    if (!handleOwnResource(*Client, Raw))
      handleRequest(std::move(Client), Raw);
  });
}

bool RequestService::isReady() const {
  return !m_Stopping && !m_Conditions.m_IsDraining() &&
         m_Conditions.m_HasRightToServe();
}

// ---- Requests ---------------------------------------------------------------

bool RequestService::handleOwnResource(Caller &Client, const RawRequest &Raw) {
  if (Raw.m_Method != "GET")
    return false;
  if (Raw.m_Path == "/healthz" || Raw.m_Path == "/readyz") {
    const bool IsReady = isReady();
    answerText(Client, IsReady ? HttpOk : HttpUnavailable, "text/plain",
               IsReady ? "ok\n" : "unavailable\n");
    return true;
  }
  if (Raw.m_Path == "/metrics") {
    m_Metrics.gauge("crowstep_requests_open")
        .set(static_cast<double>(m_Requests.size()));
    m_Metrics.gauge("crowstep_table_version")
        .set(static_cast<double>(m_Directory.table().m_Version.value()));
    answerText(Client, HttpOk, "text/plain; version=0.0.4", m_Metrics.text());
    return true;
  }
  return false;
}

void RequestService::refuse(Caller &Client, const std::string &Class,
                            RefusalReason Reason, Duration RetryAfter) {
  m_Stats.statsOf(Class).m_Refusals[static_cast<std::size_t>(Reason)]->add();
  Client.answer(refusalAnswer(Reason, RunState::NotRun, RetryAfter));
}

void RequestService::handleRequest(std::unique_ptr<Caller> Client,
                                   const RawRequest &Raw) {
  if (m_Stopping) {
    refuse(*Client, "", RefusalReason::ShuttingDown, ElsewhereRetryAfter);
    return;
  }
  // Without the right to serve, the table may be outdated although an operator
  // was notified that a new one is in force everywhere.
  if (!m_Conditions.m_HasRightToServe()) {
    refuse(*Client, "", RefusalReason::NotInForce, ElsewhereRetryAfter);
    return;
  }
  auto Outcome = readCallerRequest(Raw, m_Directory);
  if (const auto *Refusal = std::get_if<ReadRefusal>(&Outcome)) {
    refuse(*Client, Refusal->m_Class, Refusal->m_Reason, Duration::zero());
    return;
  }
  auto &Parsed = std::get<CallerRequest>(Outcome);
  ClassStats &Stats = m_Stats.statsOf(Parsed.m_Contract.m_Name);
  const std::uint64_t Number = ++m_LastRequestNumber;
  auto NewRequest = std::make_unique<Request>(
      m_Context, Stats, std::move(Parsed), std::move(Client),
      [this, Number] { handleRequestEnd(Number); });
  Request &Started = *NewRequest;
  m_Requests.emplace(Number, std::move(NewRequest));
  Started.start();
}

void RequestService::handleRequestEnd(std::uint64_t Number) {
  m_LastEndAt = m_Context.m_Clock.now();
  auto Node = m_Requests.extract(Number);
  m_EndedRequests.push_back(std::move(Node.mapped()));
  if (!m_CleanupTimer.isRunning())
    m_CleanupTimer.start(Duration::zero(), [this] { destroyEndedRequests(); });
}

void RequestService::destroyEndedRequests() {
  // Runs from a timer, as a request must not be destroyed while it is on the
  // stack.
  const std::vector<std::unique_ptr<Request>> Ended =
      std::move(m_EndedRequests);
  m_EndedRequests.clear();
}

// ---- Shutdown ---------------------------------------------------------------

void RequestService::stop(std::function<void()> Done) {
  m_Stopping = true;
  m_OnStopped = std::move(Done);
  m_Frontend.closeAfterAnswers();
  checkStopped();
}

void RequestService::checkStopped() {
  const bool HasLingered =
      m_Frontend.lingeringConnections() == 0 ||
      m_Context.m_Clock.now() - m_LastEndAt >= StopLingerTime;
  if (m_Requests.empty() && m_Frontend.unansweredRequests() == 0 &&
      HasLingered) {
    logEvent(LogEvent::EntryDrained);
    m_OnStopped();
    return;
  }
  m_StopTimer.start(StopCheckInterval, [this] { checkStopped(); });
}

} // namespace crowstep::entry
