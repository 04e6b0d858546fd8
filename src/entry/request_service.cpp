/// Requests, the entry's own resources and the shutdown.
#include "entry/request_service.h"

#include "core/log.h"

namespace crowstep::entry {

namespace {

constexpr Duration StopCheckInterval = std::chrono::milliseconds(50);
constexpr Duration ElsewhereRetryAfter = std::chrono::seconds(1);
constexpr unsigned HttpOk = 200;
constexpr unsigned HttpUnavailable = 503;

/// A connection without a request is closed after this time; clients open a new
/// one.
constexpr Duration IdleLimit = std::chrono::seconds(60);

ArrivalLimits arrivalLimits(const RequestLimits &Limits) {
  return {Limits.m_MaxBody, Limits.m_MaxHeader, Limits.m_ReceiveLimit,
          IdleLimit};
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

RequestService::RequestService(RequestWorld Context, const Directory &Dir,
                               ServiceRights Conditions, Metrics &Stats)
    : m_World(Context), m_Directory(Dir), m_Rights(std::move(Conditions)),
      m_Metrics(Stats), m_Stats(Stats),
      m_Front(
          arrivalLimits(Context.m_Limits),
          [this](RefusalReason Reason) {
            m_Stats.of("").m_Refusals[static_cast<std::size_t>(Reason)]->add();
          },
          Context.m_Timers),
      m_Sweep(Context.m_Timers), m_StopCheck(Context.m_Timers) {
  tableChanged();
}

void RequestService::listen(const Address &LocalAddress) {
  m_Front.listen(LocalAddress, [this](IncomingRequest Incoming,
                                      std::unique_ptr<Caller> Client) {
    const RawRequest Raw = rawRequestOf(std::move(Incoming));
    if (!handleOwn(*Client, Raw))
      handleCall(std::move(Client), Raw);
  });
}

bool RequestService::ready() const {
  return !m_Stopping && !m_Rights.m_Draining() && m_Rights.m_RightToServe();
}

// ---- Requests ---------------------------------------------------------------

bool RequestService::handleOwn(Caller &Client, const RawRequest &Raw) {
  if (Raw.m_Method != "GET")
    return false;
  if (Raw.m_Path == "/healthz" || Raw.m_Path == "/readyz") {
    const bool IsReady = ready();
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
  m_Stats.of(Class).m_Refusals[static_cast<std::size_t>(Reason)]->add();
  Client.answer(refusalAnswer(Reason, RunState::NotRun, RetryAfter));
}

void RequestService::handleCall(std::unique_ptr<Caller> Client,
                                const RawRequest &Raw) {
  if (m_Stopping) {
    refuse(*Client, "", RefusalReason::ShuttingDown, ElsewhereRetryAfter);
    return;
  }
  // Without the right to serve, the table may be outdated although an operator
  // was notified that a new one is in force everywhere.
  if (!m_Rights.m_RightToServe()) {
    refuse(*Client, "", RefusalReason::NotInForce, ElsewhereRetryAfter);
    return;
  }
  auto Outcome = readCallerRequest(Raw, m_Directory);
  if (const auto *Refusal = std::get_if<ReadRefusal>(&Outcome)) {
    refuse(*Client, Refusal->m_Class, Refusal->m_Reason, Duration::zero());
    return;
  }
  auto &Parsed = std::get<CallerRequest>(Outcome);
  ClassStats &Stats = m_Stats.of(Parsed.m_Contract.m_Name);
  const std::uint64_t Number = ++m_LastRequest;
  auto NewRequest = std::make_unique<Request>(
      m_World, Stats, std::move(Parsed), std::move(Client),
      [this, Number] { ended(Number); });
  Request &Started = *NewRequest;
  m_Requests.emplace(Number, std::move(NewRequest));
  Started.start();
}

void RequestService::ended(std::uint64_t Number) {
  auto Node = m_Requests.extract(Number);
  m_Ended.push_back(std::move(Node.mapped()));
  if (!m_Sweep.running())
    m_Sweep.start(Duration::zero(), [this] { sweep(); });
}

void RequestService::sweep() {
  // Runs from a timer, as a request must not be destroyed while it is on the
  // stack.
  const std::vector<std::unique_ptr<Request>> Ended = std::move(m_Ended);
  m_Ended.clear();
}

// ---- Shutdown ---------------------------------------------------------------

void RequestService::stop(std::function<void()> Done) {
  m_Stopping = true;
  m_StopDone = std::move(Done);
  checkStopped();
}

void RequestService::checkStopped() {
  if (m_Requests.empty() && m_Front.unfinished() == 0) {
    logEvent(LogEvent::EntryDrained);
    m_StopDone();
    return;
  }
  m_StopCheck.start(StopCheckInterval, [this] { checkStopped(); });
}

} // namespace crowstep::entry
