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
      m_Recorder(Plan), m_Audit(Plan, m_Http),
      m_Callers(
          Plan, std::move(Targets), m_Clock, m_Timers,
          [this](const CallOutcome &Outcome) { m_Recorder.add(Outcome); }) {}

void Runner::start(Done OnDone) {
  m_Done = std::move(OnDone);
  m_Audit.begin([this] { begin(); });
}

void Runner::begin() {
  m_Start = m_Clock.fresh();
  for (const Action &Planned : m_Plan.m_Actions)
    m_Timers.after(Planned.m_At, [this, &Planned] {
      logEvent(LogEvent::LoadAction, {{"where", toString(Planned.m_Where)},
                                      {"path", Planned.m_Path}});
      m_Http.call({"POST", Planned.m_Where, Planned.m_Path, Planned.m_Body},
                  [](const HttpResult &Result) {
                    if (std::holds_alternative<HttpFailure>(Result))
                      logEvent(LogEvent::LoadActionFailed);
                  });
    });
  sendDue();
}

void Runner::sendDue() {
  std::optional<Duration> Next = m_Arrivals.nextTime();
  for (; Next && *Next <= elapsed(); Next = m_Arrivals.nextTime()) {
    const PlannedCall Call = m_Arrivals.take();
    m_Callers.send(Call, elapsed() - Call.m_At);
  }
  if (Next)
    m_Timers.after(*Next - elapsed(), [this] { sendDue(); });
  else
    drain();
}

void Runner::drain() {
  const Duration End = m_Plan.m_WarmUp + m_Plan.m_Measured;
  if (m_Callers.open() > 0 && elapsed() < End + m_Plan.m_DrainLimit) {
    m_Timers.after(DrainPollInterval, [this] { drain(); });
    return;
  }
  m_Callers.giveUp();
  // Calls without response headers end in a later iteration of the loop.
  if (m_Callers.open() > 0)
    m_Timers.after(DrainPollInterval, [this] { drain(); });
  else
    finish();
}

void Runner::finish() {
  m_Audit.finish(m_Recorder.delivered(), m_Recorder.toldByKey(),
                 [this](const AuditResult &Audited) {
                   RunResult Result = m_Recorder.result(m_Policy);
                   Result.m_Audit = Audited;
                   m_Done(std::move(Result));
                 });
}

} // namespace crowstep::load
