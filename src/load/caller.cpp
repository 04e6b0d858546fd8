/// The pool of open calls.
#include "load/caller.h"

#include "load/active_call.h"

#include <algorithm>
#include <iterator>

namespace crowstep::load {

namespace {

/// libsoup's defaults of 10 and 2 would queue calls out of our sight.
constexpr int MaxConnections = 20000;

/// A session walks over all its open calls at every event of one of them: with
/// 8,000 calls open before an overloaded service, the tool stood still. So the
/// calls are spread. Odd, so that a session's calls go to all targets.
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
                       const Clock &Time, Scheduler &Timers, Done OnDone)
    : m_Plan(Plan), m_Targets(std::move(Targets)), m_Clock(Time),
      m_Timers(Timers), m_Done(std::move(OnDone)) {
  std::generate_n(std::back_inserter(m_Sessions), SessionCount, newSession);
}

CallerPool::~CallerPool() {
  m_Open.clear();
  for (SoupSession *Each : m_Sessions)
    g_object_unref(Each);
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
