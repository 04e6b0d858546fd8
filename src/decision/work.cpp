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
std::uint8_t wasteRank(const Request &Work, const UpstreamState &State) {
  const int Preempted =
      Work.m_Preemptions >= tuning::PreemptionsBeforeLastResort ? 2 : 0;
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
  if (Class.m_FirstTokenTimes.count() < tuning::MinSamples)
    return Unused + Class.m_Contract.m_TotalLimit;
  return Unused + tuning::SilenceFirstTokenFactor *
                      fromSeconds(Class.m_FirstTokenTimes.value() /
                                  MillisecondsPerSecond);
}

void restartSilence(Pool &P, Request &Work) {
  P.m_SilenceDeadlines.erase({Work.m_SilenceDeadline, Work.m_Bid.m_Request});
  Work.m_SilenceDeadline = P.m_Now + silenceTimeout(P, Work);
  P.m_SilenceDeadlines.emplace(Work.m_SilenceDeadline, Work.m_Bid.m_Request);
}

void occupy(Pool &P, Request &Work, UpstreamState &State) {
  ClassState &Class = *Work.m_Class;
  const double Seconds = Class.serviceSeconds();
  Work.m_State = RequestState::Granted;
  Work.m_UpstreamState = &State;
  Work.m_StateSince = P.m_Now;
  Work.m_ExpectedTokens = expectedTokens(Class, Work.m_Bid, P.m_Now);
  Work.m_ReleaseRate = Seconds > 0.0 ? 1.0 / Seconds : 0.0;
  Work.m_WasteRank = wasteRank(Work, State);
  if (State.m_Ejected) {
    State.m_Probe = Work.m_Bid.m_Request;
    State.m_LastProbe = P.m_Now;
  }
  if (!P.isBaseline())
    P.m_Queue.charge(Class, Work.m_Bid.m_Workspace,
                     costOf(Work, Work.m_ExpectedTokens));
  Queue::addRunning(Class, Work.m_Bid.m_Workspace, 1, P.m_Now);
  P.m_Fleet.addWork(State, Work, P.m_Now);
  Class.m_Victims.insert(Work);
  ++P.m_Running;
}

void release(Pool &P, Request &Work) {
  ClassState &Class = *Work.m_Class;
  if (Work.m_QueueHook.is_linked())
    Class.m_Victims.erase(Class.m_Victims.iterator_to(Work));
  if (Work.m_IsStopping) {
    --P.m_PendingStops;
    P.m_StopDelay.add(toSeconds(P.m_Now - Work.m_StopOrderedAt));
    P.m_StopLeadTime =
        fromSeconds(P.m_StopDelay.value()) + tuning::PreemptMargin;
    Work.m_IsStopping = false;
  }
  if (isProbe(Work))
    endProbe(P, *Work.m_UpstreamState);
  P.m_SilenceDeadlines.erase({Work.m_SilenceDeadline, Work.m_Bid.m_Request});
  Queue::addRunning(Class, Work.m_Bid.m_Workspace, -1, P.m_Now);
  P.m_Fleet.endWork(*Work.m_UpstreamState, Work, P.m_Now);
  Work.m_UpstreamState = nullptr;
  --P.m_Running;
}

/// Replaces the reserved and charged tokens by those generated.
void settle(Pool &P, Request &Work, std::uint32_t Tokens) {
  ClassState &Class = *Work.m_Class;
  const double Taken = static_cast<double>(Tokens);
  const double Expected = static_cast<double>(Work.m_ExpectedTokens);
  if (!P.isBaseline())
    P.m_Queue.charge(Class, Work.m_Bid.m_Workspace, Taken - Expected);
  Class.m_TokenLimit.take(Taken - Work.m_ReservedTokens, P.m_Now);
  Class.usageOf(Work.m_Bid.m_Workspace, P.m_Now)
      .m_TokenLimit.take(Taken - Work.m_ReservedTokens, P.m_Now);
  Work.m_ReservedTokens = 0.0;
}

void recordLengths(Pool &P, const Request &Work, std::uint32_t Tokens) {
  if (Tokens == 0)
    return;
  // Samples are whole answers, so that the rest of a resumed one does not count
  // as a short answer.
  const double Whole = static_cast<double>(Tokens + Work.m_Bid.m_DoneTokens);
  Work.m_Class->m_OutputLengths.add(Whole);
  Work.m_Class->usageOf(Work.m_Bid.m_Workspace, P.m_Now)
      .m_OutputLengths.add(Whole);
}

void recordTimes(Pool &P, Request &Work, const WorkEnded &End) {
  ClassState &Class = *Work.m_Class;
  const double Seconds = toSeconds(End.m_Elapsed);
  Class.m_ServiceTime.add(Seconds);
  if (!Work.m_HasFirstToken) {
    // The answer of a plain service counts as its first token.
    noteFirstToken(P, Work, End.m_Elapsed);
  }
  if (End.m_Tokens < tuning::MinSpeedTokens)
    return;
  const double PerToken = Seconds / static_cast<double>(End.m_Tokens);
  recordSpeed(P, *Work.m_UpstreamState,
              {PerToken, Class.m_TimePerTokenMean.value(),
               tuning::StragglerMinTokenSeconds},
              isProbe(Work));
  Class.m_TimePerTokenMean.add(PerToken);
}

void noteHealth(Pool &P, UpstreamState &State, WorkEnd End) {
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
  case WorkEnd::UpstreamDraining:
    Fleet::noteDraining(State, P.m_Now);
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
  return End == WorkEnd::Preempted || End == WorkEnd::UpstreamDraining ||
         End == WorkEnd::Unused;
}

void keepForRebid(Pool &P, Request &Work) {
  Work.m_State = RequestState::AwaitingRebid;
  Work.m_StateSince = P.m_Now;
  Work.m_HasFirstToken = false;
  Work.m_GeneratedTokens = 0;
  P.m_AwaitingRebid.emplace_back(P.m_Now, Work.m_Bid.m_Request);
}

std::uint32_t estimateTokens(const Pool &P, const Request &Work) {
  const double PerToken = Work.m_Class->m_TimePerTokenMean.value();
  if (PerToken <= 0.0)
    return Work.m_GeneratedTokens;
  const double Estimate = toSeconds(P.m_Now - Work.m_StateSince) / PerToken;
  const double Limit = static_cast<double>(Work.m_ExpectedTokens);
  return std::max(Work.m_GeneratedTokens,
                  static_cast<std::uint32_t>(std::min(Estimate, Limit)));
}

void returnReserved(Pool &P, Request &Waiting) {
  ClassState &Class = *Waiting.m_Class;
  Class.m_TokenLimit.take(-Waiting.m_ReservedTokens, P.m_Now);
  Class.usageOf(Waiting.m_Bid.m_Workspace, P.m_Now)
      .m_TokenLimit.take(-Waiting.m_ReservedTokens, P.m_Now);
}

} // namespace

std::uint32_t expectedTokens(ClassState &Class, const Bid &NewBid,
                             TimePoint Now) {
  const Quantile &Own = Class.usageOf(NewBid.m_Workspace, Now).m_OutputLengths;
  const bool IsOwnKnown = Own.count() >= tuning::MinSamples;
  const Quantile &Best = IsOwnKnown ? Own : Class.m_OutputLengths;
  std::uint32_t Whole = tuning::DefaultOutputLength;
  if (Best.count() > 0)
    Whole = static_cast<std::uint32_t>(Best.value());
  if (NewBid.m_MaxTokens != 0)
    Whole = std::min(Whole, NewBid.m_MaxTokens);
  return std::max(1U, Whole - std::min(Whole, NewBid.m_DoneTokens));
}

void grant(Pool &P, Request &Waiting, UpstreamState &State) {
  if (!P.isBaseline())
    Queue::advanceVirtualTime(Waiting);
  P.m_Queue.remove(Waiting);
  occupy(P, Waiting, State);
  ++P.m_Stats.m_Granted;
  resendGrant(P, Waiting);
}

void resendGrant(Pool &P, Request &Granted) {
  if (!Granted.m_HasFirstToken)
    restartSilence(P, Granted);
  const int Tier = Granted.m_Class->m_Contract.m_Tier;
  P.m_Actions->push_back(
      Grant{Granted.m_Bid.m_Request, Granted.m_UpstreamState->m_Upstream.m_Id,
            P.m_Config.m_GrantValidity,
            static_cast<std::uint8_t>(std::max(0, Tier - 1))});
}

void adopt(Pool &P, Request &Running, UpstreamState &State) {
  occupy(P, Running, State);
  Running.m_HasFirstToken = true;
}

void noteFirstToken(Pool &P, Request &Granted, Duration Latency) {
  if (Granted.m_HasFirstToken)
    return;
  Granted.m_HasFirstToken = true;
  P.m_SilenceDeadlines.erase(
      {Granted.m_SilenceDeadline, Granted.m_Bid.m_Request});
  ClassState &Class = *Granted.m_Class;
  const double Seconds = toSeconds(Latency);
  recordSpeed(P, *Granted.m_UpstreamState,
              {Seconds, Class.m_FirstTokenMean.value(),
               tuning::StragglerMinFirstTokenSeconds},
              isProbe(Granted));
  Class.recordFirstToken(Latency);
}

void finish(Pool &P, Request &Granted, const WorkEnded &End) {
  if (End.m_End == WorkEnd::Finished) {
    recordLengths(P, Granted, End.m_Tokens);
    recordTimes(P, Granted, End);
  }
  noteHealth(P, *Granted.m_UpstreamState, End.m_End);
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
