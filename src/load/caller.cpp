/// Pool of open calls.
#include "load/caller.h"

#include "http/http_error.h"
#include "http/request_target.h"
#include "load/active_call.h"

namespace crowstep::load {

const char *nameOf(CallEnd End) {
  switch (End) {
  case CallEnd::Whole:
    return "whole";
  case CallEnd::Refused:
    return "refused";
  case CallEnd::Cut:
    return "cut";
  case CallEnd::Wrong:
    return "wrong";
  case CallEnd::NoAnswer:
    return "no_answer";
  case CallEnd::TimedOut:
    return "timed_out";
  case CallEnd::Count:
    break;
  }
  return "";
}

CallerPool::CallerPool(const Experiment &Plan, std::vector<Address> Targets,
                       const Clock &Time, Scheduler &Timers,
                       OutcomeCallback OnDone)
    : m_Plan(Plan), m_Targets(std::move(Targets)), m_Clock(Time),
      m_Timers(Timers), m_OnOutcome(std::move(OnDone)), m_Client(Time, Timers) {
  for (const Source &Checked : m_Plan.m_Sources)
    if (!isSendablePath(Checked.m_Path))
      throw UpstreamUriError(Checked.m_Path);
}

CallerPool::~CallerPool() = default;

void CallerPool::send(const PlannedCall &Call, Duration Late) {
  const std::uint64_t Id = ++m_LastId;
  const Address &Target = m_Targets[Id % m_Targets.size()];
  m_OpenCalls[Id] = std::make_unique<ActiveCall>(*this, Id, Call, Target, Late);
}

void CallerPool::timeOutOpenCalls() {
  std::vector<ActiveCall *> Calls;
  for (const auto &[Id, Call] : m_OpenCalls)
    Calls.push_back(Call.get());
  for (ActiveCall *Call : Calls)
    Call->timeOut();
}

void CallerPool::finishCall(std::uint64_t Id, CallOutcome Outcome) {
  m_OpenCalls.erase(Id);
  m_OnOutcome(std::move(Outcome));
}

} // namespace crowstep::load
