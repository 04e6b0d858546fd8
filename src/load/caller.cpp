/// The pool of open calls.
#include "load/caller.h"

#include "load/active_call.h"

namespace crowstep::load {

namespace {

/// libsoup's defaults of 10 and 2 would queue calls out of our sight.
constexpr int MaxConnections = 20000;

} // namespace

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
                       const Clock &Time, Scheduler &Timers, Done OnDone)
    : m_Plan(Plan), m_Targets(std::move(Targets)), m_Clock(Time),
      m_Timers(Timers), m_Done(std::move(OnDone)),
      m_Session(soup_session_new_with_options(
          "max-conns", MaxConnections, "max-conns-per-host", MaxConnections,
          "timeout", 0U, nullptr)) {}

CallerPool::~CallerPool() {
  m_Open.clear();
  g_object_unref(m_Session);
}

void CallerPool::send(const PlannedCall &Call, Duration Late) {
  const std::uint64_t Id = ++m_LastId;
  const Address &Target = m_Targets[Id % m_Targets.size()];
  m_Open[Id] = std::make_unique<ActiveCall>(*this, Id, Call, Target, Late);
}

void CallerPool::giveUp() {
  std::vector<ActiveCall *> Left;
  for (const auto &[Id, Call] : m_Open)
    Left.push_back(Call.get());
  for (ActiveCall *Call : Left)
    Call->giveUp();
}

void CallerPool::ended(std::uint64_t Id, CallOutcome Outcome) {
  m_Open.erase(Id);
  m_Done(std::move(Outcome));
}

} // namespace crowstep::load
