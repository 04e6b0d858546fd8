/// Sequence of an experiment: baseline, load, drain, audit.
#include "load/runner.h"

#include "core/log.h"

namespace crowstep::load {

namespace {

constexpr Duration DrainPollInterval = std::chrono::milliseconds(20);

} // namespace

Runner::Runner(const Experiment &Plan, std::vector<Address> Targets,
               std::string Policy)
    : m_Plan(Plan), m_Policy(std::move(Policy)), m_Arrivals(Plan),
      m_Recorder(Plan), m_Audit(Plan, m_HttpClient),
      m_Callers(
          Plan, std::move(Targets), m_Clock, m_Timers,
          [this](const CallOutcome &Outcome) { m_Recorder.add(Outcome); }) {}

void Runner::start(ResultCallback OnDone) {
  m_OnResult = std::move(OnDone);
  m_Audit.readBaseline([this] { startLoad(); });
}

void Runner::startLoad() {
  m_StartTime = m_Clock.readNow();
  for (const Action &Planned : m_Plan.m_Actions)
    m_Timers.runAfter(Planned.m_Time, [this, &Planned] {
      logEvent(LogEvent::LoadAction, {{"where", toString(Planned.m_Address)},
                                      {"path", Planned.m_Path}});
      m_HttpClient.call(
          {"POST", Planned.m_Address, Planned.m_Path, Planned.m_Body},
          [](const HttpResult &Result) {
            if (std::holds_alternative<HttpFailure>(Result))
              logEvent(LogEvent::LoadActionFailed);
          });
    });
  sendDueCalls();
}

void Runner::sendDueCalls() {
  std::optional<Duration> Next = m_Arrivals.nextTime();
  for (; Next && *Next <= elapsed(); Next = m_Arrivals.nextTime()) {
    const PlannedCall Call = m_Arrivals.takeNext();
    m_Callers.send(Call, elapsed() - Call.m_DueTime);
  }
  if (Next)
    m_Timers.runAfter(*Next - elapsed(), [this] { sendDueCalls(); });
  else
    drain();
}

void Runner::drain() {
  const Duration End = m_Plan.m_WarmUp + m_Plan.m_Measured;
  if (m_Callers.openCalls() > 0 && elapsed() < End + m_Plan.m_DrainLimit) {
    m_Timers.runAfter(DrainPollInterval, [this] { drain(); });
    return;
  }
  m_Callers.timeOutOpenCalls();
  runAudit();
}

void Runner::runAudit() {
  m_Audit.compareRecords(m_Recorder.deliveredTokens(),
                         m_Recorder.runStateByKey(),
                         [this](const AuditResult &Audited) {
                           RunResult Result = m_Recorder.result(m_Policy);
                           Result.m_Audit = Audited;
                           m_OnResult(std::move(Result));
                         });
}

} // namespace crowstep::load
