/// Grants and ends of work, and the accounts that they change.
#include "decision/work_func.h"

#include "decision/floor_func.h"
#include "decision/straggler_func.h"

#include <algorithm>

namespace crowstep::decision {

namespace {

constexpr double MillisecondsPerSecond = 1000.0;

/// Returns the cost of stopping the work: work that can't be resumed, and work
/// that was stopped often, is stopped last.
std::uint8_t wasteRank(const Request &Work, const Serving &State) {
  const int Preempted =
      Work.m_Preemptions >= tuning::PreemptionsBeforeLast ? 2 : 0;
  const int Lost = canResume(State) ? 0 : 1;
  return static_cast<std::uint8_t>(Preempted + Lost);
}

double costOf(const Request &Work, std::uint32_t Output) {
  return tuning::PromptTokenCost *
             static_cast<double>(Work.m_Bid.m_PromptTokens) +
         static_cast<double>(Output);
}

Duration silenceTimeout(const Pool &P, const Request &Work) {
  const ClassState &Class = *Work.m_Class;
  const Duration Unused =
      P.m_Config.m_GrantValidity + tuning::UnusedGrantMargin;
  // A silent grant may also be in a long prefill, or a slow call of a plain
  // service. Freeing its slot too early would overload the upstream, so it gets
  // several times the usual time to the first token, or the whole limit if that
  // time is unknown.
  if (Class.m_FirstTokens.count() < tuning::MinSamples)
    return Unused + Class.m_Contract.m_TotalLimit;
  return Unused +
         tuning::SilentFirstTokens *
             fromSeconds(Class.m_FirstTokens.value() / MillisecondsPerSecond);
}

void restartSilence(Pool &P, Request &Work) {
  P.m_Lapses.erase({Work.m_Lapses, Work.m_Bid.m_Request});
  Work.m_Lapses = P.m_Now + silenceTimeout(P, Work);
  P.m_Lapses.emplace(Work.m_Lapses, Work.m_Bid.m_Request);
}

void occupy(Pool &P, Request &Work, Serving &State) {
  ClassState &Class = *Work.m_Class;
  const double Seconds = Class.serviceSeconds();
  Work.m_State = RequestState::Granted;
  Work.m_Serving = &State;
  Work.m_Since = P.m_Now;
  Work.m_Expected = expectedTokens(Class, Work.m_Bid, P.m_Now);
  Work.m_FreeRate = Seconds > 0.0 ? 1.0 / Seconds : 0.0;
  Work.m_WasteRank = wasteRank(Work, State);
  Work.m_IsProbe = State.m_Ejected;
  if (Work.m_IsProbe) {
    State.m_ProbeRunning = true;
    State.m_LastProbe = P.m_Now;
  }
  if (!P.isBaseline())
    P.m_Queue.charge(Class, Work.m_Bid.m_Workspace,
                     costOf(Work, Work.m_Expected));
  Queue::addRunning(Class, Work.m_Bid.m_Workspace, 1, P.m_Now);
  P.m_Fleet.addWork(State, Work, P.m_Now);
  Class.m_Victims.insert(Work);
  ++P.m_Running;
}

void release(Pool &P, Request &Work) {
  ClassState &Class = *Work.m_Class;
  if (Work.m_QueueHook.is_linked())
    Class.m_Victims.erase(Class.m_Victims.iterator_to(Work));
  if (Work.m_Stopping) {
    --P.m_Stops;
    P.m_StopDelay.add(toSeconds(P.m_Now - Work.m_Since));
    P.m_StopLead = fromSeconds(P.m_StopDelay.value()) + tuning::PreemptMargin;
    Work.m_Stopping = false;
  }
  if (Work.m_IsProbe)
    endProbe(P, *Work.m_Serving);
  P.m_Lapses.erase({Work.m_Lapses, Work.m_Bid.m_Request});
  Queue::addRunning(Class, Work.m_Bid.m_Workspace, -1, P.m_Now);
  P.m_Fleet.endWork(*Work.m_Serving, Work, P.m_Now);
  Work.m_Serving = nullptr;
  --P.m_Running;
}

/// Replaces the reserved and charged tokens by those generated.
void settle(Pool &P, Request &Work, std::uint32_t Tokens) {
  ClassState &Class = *Work.m_Class;
  const double Taken = static_cast<double>(Tokens);
  const double Expected = static_cast<double>(Work.m_Expected);
  if (!P.isBaseline())
    P.m_Queue.charge(Class, Work.m_Bid.m_Workspace, Taken - Expected);
  Class.m_Tokens.take(Taken - Work.m_Reserved, P.m_Now);
  Class.useOf(Work.m_Bid.m_Workspace, P.m_Now)
      .m_Tokens.take(Taken - Work.m_Reserved, P.m_Now);
  Work.m_Reserved = 0.0;
}

void recordLengths(Pool &P, const Request &Work, std::uint32_t Tokens) {
  if (Tokens == 0)
    return;
  // Samples are whole answers, so that the rest of a resumed one does not count
  // as a short answer.
  const double Whole = static_cast<double>(Tokens + Work.m_Bid.m_DoneTokens);
  Work.m_Class->m_Lengths.add(Whole);
  Work.m_Class->useOf(Work.m_Bid.m_Workspace, P.m_Now).m_Lengths.add(Whole);
}

void recordTimes(Pool &P, Request &Work, const WorkEnded &End) {
  ClassState &Class = *Work.m_Class;
  const double Seconds = toSeconds(End.m_Elapsed);
  Class.m_Service.add(Seconds);
  if (!Work.m_SawToken) {
    // The answer of a plain service counts as its first token.
    noteFirstToken(P, Work, End.m_Elapsed);
  }
  if (End.m_Tokens < tuning::MinSpeedTokens)
    return;
  const double PerToken = Seconds / static_cast<double>(End.m_Tokens);
  addSpeed(
      P, *Work.m_Serving,
      {PerToken, Class.m_TokenMean.value(), tuning::StragglerMinTokenSeconds},
      Work.m_IsProbe);
  Class.m_TokenMean.add(PerToken);
}

void noteHealth(Pool &P, Serving &State, WorkEnd End) {
  switch (End) {
  case WorkEnd::Finished:
    Fleet::noteSuccess(State);
    break;
  case WorkEnd::Failed:
  case WorkEnd::UpstreamRefused:
    Fleet::noteFailure(State, false, P.m_Now);
    break;
  case WorkEnd::ConnectFailed:
    Fleet::noteFailure(State, true, P.m_Now);
    break;
  case WorkEnd::UpstreamLeaving:
    Fleet::noteLeaving(State, P.m_Now);
    updateFloors(P);
    reviewEjections(P);
    break;
  case WorkEnd::Cancelled:
  case WorkEnd::Unused:
  case WorkEnd::Preempted:
    break;
  }
}

/// Tells whether the attempt ended without fault of the caller or the upstream,
/// so that the next bid is not a retry and is exempt from limits.
bool isExemptEnd(WorkEnd End) {
  return End == WorkEnd::Preempted || End == WorkEnd::UpstreamLeaving ||
         End == WorkEnd::Unused;
}

void keepForRebid(Pool &P, Request &Work) {
  Work.m_State = RequestState::Returning;
  Work.m_Since = P.m_Now;
  Work.m_SawToken = false;
  Work.m_Progress = 0;
  P.m_Returning.emplace_back(P.m_Now, Work.m_Bid.m_Request);
}

std::uint32_t estimateTokens(const Pool &P, const Request &Work) {
  const double PerToken = Work.m_Class->m_TokenMean.value();
  if (PerToken <= 0.0)
    return Work.m_Progress;
  const double Estimate = toSeconds(P.m_Now - Work.m_Since) / PerToken;
  const double Limit = static_cast<double>(Work.m_Expected);
  return std::max(Work.m_Progress,
                  static_cast<std::uint32_t>(std::min(Estimate, Limit)));
}

void returnReserved(Pool &P, Request &Waiting) {
  ClassState &Class = *Waiting.m_Class;
  Class.m_Tokens.take(-Waiting.m_Reserved, P.m_Now);
  Class.useOf(Waiting.m_Bid.m_Workspace, P.m_Now)
      .m_Tokens.take(-Waiting.m_Reserved, P.m_Now);
}

} // namespace

std::uint32_t expectedTokens(ClassState &Class, const Bid &NewBid,
                             TimePoint Now) {
  const Quantile &Own = Class.useOf(NewBid.m_Workspace, Now).m_Lengths;
  const bool IsOwnKnown = Own.count() >= tuning::MinSamples;
  const Quantile &Best = IsOwnKnown ? Own : Class.m_Lengths;
  std::uint32_t Whole = tuning::UnknownLength;
  if (Best.count() > 0)
    Whole = static_cast<std::uint32_t>(Best.value());
  if (NewBid.m_MaxTokens != 0)
    Whole = std::min(Whole, NewBid.m_MaxTokens);
  return std::max(1U, Whole - std::min(Whole, NewBid.m_DoneTokens));
}

void grant(Pool &P, Request &Waiting, Serving &State) {
  if (!P.isBaseline())
    Queue::noteServed(Waiting);
  P.m_Queue.remove(Waiting);
  occupy(P, Waiting, State);
  ++P.m_Stats.m_Granted;
  grantAgain(P, Waiting);
}

void grantAgain(Pool &P, Request &Granted) {
  if (!Granted.m_SawToken)
    restartSilence(P, Granted);
  const int Tier = Granted.m_Class->m_Contract.m_Tier;
  P.m_Actions->push_back(
      Grant{Granted.m_Bid.m_Request, Granted.m_Serving->m_Upstream.m_Id,
            P.m_Config.m_GrantValidity,
            static_cast<std::uint8_t>(std::max(0, Tier - 1))});
}

void adopt(Pool &P, Request &Running, Serving &State) {
  occupy(P, Running, State);
  Running.m_SawToken = true;
}

void noteFirstToken(Pool &P, Request &Granted, Duration Latency) {
  if (Granted.m_SawToken)
    return;
  Granted.m_SawToken = true;
  P.m_Lapses.erase({Granted.m_Lapses, Granted.m_Bid.m_Request});
  ClassState &Class = *Granted.m_Class;
  const double Seconds = toSeconds(Latency);
  addSpeed(P, *Granted.m_Serving,
           {Seconds, Class.m_FirstTokenMean.value(),
            tuning::StragglerMinFirstTokenSeconds},
           Granted.m_IsProbe);
  Class.learnFirstToken(Latency);
}

void finish(Pool &P, Request &Granted, const WorkEnded &End) {
  if (End.m_End == WorkEnd::Finished) {
    recordLengths(P, Granted, End.m_Tokens);
    recordTimes(P, Granted, End);
  }
  noteHealth(P, *Granted.m_Serving, End.m_End);
  settle(P, Granted, End.m_Tokens);
  release(P, Granted);
  if (isExemptEnd(End.m_End))
    keepForRebid(P, Granted);
  else
    P.m_Requests.erase(RequestId(Granted.m_Bid.m_Request));
}

void abandon(Pool &P, Request &Granted) {
  settle(P, Granted, estimateTokens(P, Granted));
  release(P, Granted);
  P.m_Requests.erase(RequestId(Granted.m_Bid.m_Request));
}

void dropWaiting(Pool &P, Request &Waiting) {
  returnReserved(P, Waiting);
  if (Waiting.m_Flow != nullptr)
    P.m_Queue.remove(Waiting);
  P.m_Requests.erase(RequestId(Waiting.m_Bid.m_Request));
}

void refuseWaiting(Pool &P, Request &Waiting, RefusalReason Reason,
                   Duration RetryAfter) {
  refuse(P, Waiting.m_Bid.m_Request, Reason, RetryAfter);
  dropWaiting(P, Waiting);
}

void refuse(Pool &P, const RequestId &Id, RefusalReason Reason,
            Duration RetryAfter) {
  ++P.m_Stats.m_Refused[static_cast<std::size_t>(Reason)];
  if (RetryAfter > Duration::zero())
    RetryAfter =
        std::clamp(RetryAfter, tuning::MinRetryAfter, tuning::MaxRetryAfter);
  P.m_Actions->push_back(Refuse{Id, Reason, RetryAfter});
}

} // namespace crowstep::decision
