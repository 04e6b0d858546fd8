/// The entry daemon.
#include "entry/entry.h"

#include "core/log.h"

#include <glib.h>

namespace crowstep::entry {

namespace {

constexpr Duration StopCheckInterval = std::chrono::milliseconds(50);
constexpr Duration RightCheckInterval = std::chrono::milliseconds(250);
constexpr Duration ElsewhereRetryAfter = std::chrono::seconds(1);
constexpr unsigned HttpOk = 200;
constexpr unsigned HttpUnavailable = 503;

} // namespace

Entry::Entry(EntrySettings Chosen)
    : m_Settings(std::move(Chosen)), m_Stats(m_Metrics),
      m_Guard(m_Clock, m_Timers),
      m_Fleet(m_Settings.m_Homes, m_Clock, m_Timers, m_Directory),
      m_Links(m_Settings.m_Link, m_Timers, m_Metrics, m_Fleet),
      // Bids of an earlier start of this entry have lower numbers.
      m_Placement(m_Fleet, m_Guard, m_Clock, m_Timers,
                  static_cast<std::uint64_t>(g_get_real_time())),
      m_Claims(m_Timers), m_Upstream(m_Clock, m_Timers),
      m_World{m_Clock,    m_Timers, m_Placement,        m_Claims,
              m_Upstream, m_Http,   m_Settings.m_Limits},
      m_Front(m_Settings.m_Limits, m_Stats, m_Timers), m_Sweep(m_Timers),
      m_StopCheck(m_Timers), m_RightCheck(m_Timers) {
  m_Stats.prepare(m_Directory.table());
  m_Fleet.onTable([this] { m_Stats.prepare(m_Directory.table()); });
  m_Fleet.onFrame([this](link::LinkId Link, const wire::Frame &Frame) {
    m_Placement.frame(Link, Frame);
  });
}

void Entry::start() {
  m_Links.start();
  m_Fleet.start(m_Links);
  m_Front.listen(m_Settings.m_Listen,
                 [this](SoupServerMessage *Message, const RawRequest &Raw) {
                   handle(Message, Raw);
                 });
  watchRight();
}

bool Entry::ready() const {
  return !m_Stopping && !m_Fleet.draining() && m_Fleet.rightToServe();
}

void Entry::watchRight() {
  const bool Holds = m_Fleet.rightToServe();
  if (Holds != m_HeldRight)
    logEvent(Holds ? LogEvent::EntryRightHeld : LogEvent::EntryRightLost);
  m_HeldRight = Holds;
  m_RightCheck.start(RightCheckInterval, [this] { watchRight(); });
}

// ---- Requests ---------------------------------------------------------------

void Entry::handle(SoupServerMessage *Message, const RawRequest &Raw) {
  if (!handleOwn(Message, Raw))
    handleCall(Message, Raw);
}

bool Entry::handleOwn(SoupServerMessage *Message, const RawRequest &Raw) {
  if (Raw.m_Method != "GET")
    return false;
  if (Raw.m_Path == "/healthz" || Raw.m_Path == "/readyz") {
    const bool Good = ready();
    respond(Message, Good ? HttpOk : HttpUnavailable, "text/plain",
            Good ? "ok\n" : "unavailable\n");
    return true;
  }
  if (Raw.m_Path == "/metrics") {
    m_Metrics.gauge("crowstep_requests_open")
        .set(static_cast<double>(m_Requests.size()));
    m_Metrics.gauge("crowstep_table_version")
        .set(static_cast<double>(m_Directory.table().m_Version.value()));
    respond(Message, HttpOk, "text/plain; version=0.0.4", m_Metrics.text());
    return true;
  }
  return false;
}

void Entry::refuse(SoupServerMessage *Message, const std::string &Class,
                   RefusalReason Reason, Duration RetryAfter) {
  m_Stats.of(Class).m_Refusals[static_cast<std::size_t>(Reason)]->add();
  fillAnswer(Message, refusalAnswer(Reason, RunState::NotRun, RetryAfter));
}

void Entry::handleCall(SoupServerMessage *Message, const RawRequest &Raw) {
  if (m_Stopping) {
    refuse(Message, "", RefusalReason::ShuttingDown, ElsewhereRetryAfter);
    return;
  }
  // Without the right the table here may be an old one, and an operator was
  // told that the new one holds everywhere.
  if (!m_Fleet.rightToServe()) {
    refuse(Message, "", RefusalReason::NotInForce, ElsewhereRetryAfter);
    return;
  }
  auto Outcome = readCallerRequest(Raw, m_Directory);
  if (const auto *Why = std::get_if<ReadRefusal>(&Outcome)) {
    refuse(Message, Why->m_Class, Why->m_Reason, Duration::zero());
    return;
  }
  auto &What = std::get<CallerRequest>(Outcome);
  ClassStats &Stats = m_Stats.of(What.m_Contract.m_Name);
  const std::uint64_t Number = ++m_LastRequest;
  auto Fresh =
      std::make_unique<Request>(m_World, Stats, std::move(What),
                                std::make_unique<HttpServerCaller>(Message),
                                [this, Number] { ended(Number); });
  Request &Begun = *Fresh;
  m_Requests.emplace(Number, std::move(Fresh));
  Begun.start();
}

void Entry::ended(std::uint64_t Number) {
  auto Node = m_Requests.extract(Number);
  m_Ended.push_back(std::move(Node.mapped()));
  if (!m_Sweep.running())
    m_Sweep.start(Duration::zero(), [this] { sweep(); });
}

void Entry::sweep() {
  // Not while the request itself is on the stack.
  const std::vector<std::unique_ptr<Request>> Gone = std::move(m_Ended);
  m_Ended.clear();
}

// ---- Shutdown ---------------------------------------------------------------

void Entry::stop(std::function<void()> Done) {
  m_Stopping = true;
  m_StopDone = std::move(Done);
  checkStopped();
}

void Entry::checkStopped() {
  if (m_Requests.empty() && m_Front.unfinished() == 0) {
    logEvent(LogEvent::EntryDrained);
    m_StopDone();
    return;
  }
  m_StopCheck.start(StopCheckInterval, [this] { checkStopped(); });
}

} // namespace crowstep::entry
