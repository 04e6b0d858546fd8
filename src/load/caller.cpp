/// Pool of open calls.
#include "load/caller.h"

#include "load/active_call.h"

#include <algorithm>
#include <iterator>

namespace crowstep::load {

namespace {

/// With libsoup's defaults, 10 connections and 2 per host, calls would wait
/// unseen in a queue inside the library.
constexpr int MaxConnections = 20000;

/// A session iterates over all its open calls on each event of one of them:
/// with one session, 8,000 open calls to an overloaded service stalled the
/// tool. The calls are therefore spread over sessions. The count is prime,
/// so that each session's calls reach all targets.
constexpr std::size_t SessionCount = 127;

SoupSession *newSession() {
  return soup_session_new_with_options("max-conns", MaxConnections,
                                       "max-conns-per-host", MaxConnections,
                                       "timeout", 0U, nullptr);
}

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
                       const Clock &Time, Scheduler &Timers,
                       OutcomeCallback OnDone)
    : m_Plan(Plan), m_Targets(std::move(Targets)), m_Clock(Time),
      m_Timers(Timers), m_OnOutcome(std::move(OnDone)) {
  std::generate_n(std::back_inserter(m_Sessions), SessionCount, newSession);
}

CallerPool::~CallerPool() {
  m_OpenCalls.clear();
  for (SoupSession *Session : m_Sessions)
    g_object_unref(Session);
}

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
