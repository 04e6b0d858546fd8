/// Grants, ends, and the accounts that they change.
#include "decision/work_func.h"

#include "decision/floor_func.h"
#include "decision/straggler_func.h"

#include <algorithm>

namespace crowstep::decision {

namespace {

constexpr double MillisecondsASecond = 1000.0;

/// How much stopping it wastes: work that can't be resumed, and work that was
/// stopped often before, is stopped last.
std::uint8_t wasteRank(const Request &Work, const Serving &Where) {
  const int Often = Work.m_Preemptions >= tuning::PreemptionsBeforeLast ? 2 : 0;
  const int Lost = canResume(Where) ? 0 : 1;
  return static_cast<std::uint8_t>(Often + Lost);
}

double costOf(const Request &Work, std::uint32_t Output) {
  return tuning::PromptTokenCost *
             static_cast<double>(Work.m_Bid.m_PromptTokens) +
         static_cast<double>(Output);
}

Duration silenceAllowed(const Pool &In, const Request &Work) {
  const ClassState &Class = *Work.m_Class;
  const Duration Unused =
      In.m_Config.m_GrantValidity + tuning::UnusedGrantMargin;
  // Silence may also be a long prefill or a slow plain call. Freeing its slot
  // too early would overfill the upstream, so a grant that may be in use gets
  // several times the usual first-token time, or the whole limit if unknown.
  if (Class.m_FirstTokens.count() < tuning::MinSamples)
    return Unused + Class.m_Contract.m_TotalLimit;
  return Unused +
         tuning::SilentFirstTokens *
             fromSeconds(Class.m_FirstTokens.value() / MillisecondsASecond);
}

void restartSilence(Pool &In, Request &Work) {
  In.m_Lapses.erase({Work.m_Lapses, Work.m_Bid.m_Request});
  Work.m_Lapses = In.m_Now + silenceAllowed(In, Work);
  In.m_Lapses.emplace(Work.m_Lapses, Work.m_Bid.m_Request);
}

void occupy(Pool &In, Request &Work, Serving &Where) {
  ClassState &Class = *Work.m_Class;
  const double Seconds = Class.serviceSeconds();
  Work.m_State = RequestState::Granted;
  Work.m_Serving = &Where;
  Work.m_Since = In.m_Now;
  Work.m_Expected = expectedTokens(Class, Work.m_Bid, In.m_Now);
  Work.m_FreeRate = Seconds > 0.0 ? 1.0 / Seconds : 0.0;
  Work.m_WasteRank = wasteRank(Work, Where);
  Work.m_IsProbe = Where.m_Ejected;
  if (Work.m_IsProbe) {
    Where.m_ProbeRunning = true;
    Where.m_LastProbe = In.m_Now;
  }
  if (!In.isBaseline())
    In.m_Queue.charge(Class, Work.m_Bid.m_Workspace,
                      costOf(Work, Work.m_Expected));
  Queue::addRunning(Class, Work.m_Bid.m_Workspace, 1, In.m_Now);
  In.m_Fleet.addWork(Where, Work, In.m_Now);
  Class.m_Victims.insert(Work);
  ++In.m_Running;
}

void release(Pool &In, Request &Work) {
  ClassState &Class = *Work.m_Class;
  if (Work.m_QueueHook.is_linked())
    Class.m_Victims.erase(Class.m_Victims.iterator_to(Work));
  if (Work.m_Stopping) {
    --In.m_Stops;
    In.m_StopDelay.add(toSeconds(In.m_Now - Work.m_Since));
    In.m_StopLead = fromSeconds(In.m_StopDelay.value()) + tuning::PreemptMargin;
    Work.m_Stopping = false;
  }
  if (Work.m_IsProbe)
    endProbe(In, *Work.m_Serving);
  In.m_Lapses.erase({Work.m_Lapses, Work.m_Bid.m_Request});
  Queue::addRunning(Class, Work.m_Bid.m_Workspace, -1, In.m_Now);
  In.m_Fleet.endWork(*Work.m_Serving, Work, In.m_Now);
  Work.m_Serving = nullptr;
  --In.m_Running;
}

/// Replaces what was reserved and charged for the work by what it took.
void settle(Pool &In, Request &Work, std::uint32_t Tokens) {
  ClassState &Class = *Work.m_Class;
  const double Taken = static_cast<double>(Tokens);
  const double Expected = static_cast<double>(Work.m_Expected);
  if (!In.isBaseline())
    In.m_Queue.charge(Class, Work.m_Bid.m_Workspace, Taken - Expected);
  Class.m_Tokens.take(Taken - Work.m_Reserved, In.m_Now);
  Class.useOf(Work.m_Bid.m_Workspace, In.m_Now)
      .m_Tokens.take(Taken - Work.m_Reserved, In.m_Now);
  Work.m_Reserved = 0.0;
}

void learnLengths(Pool &In, const Request &Work, std::uint32_t Tokens) {
  if (Tokens == 0)
    return;
  // Samples are whole answers, so that a resumed rest counts as no short one.
  const double Whole = static_cast<double>(Tokens + Work.m_Bid.m_DoneTokens);
  Work.m_Class->m_Lengths.add(Whole);
  Work.m_Class->useOf(Work.m_Bid.m_Workspace, In.m_Now).m_Lengths.add(Whole);
}

void learnTimes(Pool &In, Request &Work, const WorkEnded &How) {
  ClassState &Class = *Work.m_Class;
  const double Seconds = toSeconds(How.m_Elapsed);
  Class.m_Service.add(Seconds);
  if (!Work.m_SawToken) {
    // A plain service's answer is its first token.
    noteFirstToken(In, Work, How.m_Elapsed);
  }
  if (How.m_Tokens < tuning::MinSpeedTokens)
    return;
  const double PerToken = Seconds / static_cast<double>(How.m_Tokens);
  addSpeed(
      In, *Work.m_Serving,
      {PerToken, Class.m_TokenMean.value(), tuning::StragglerMinTokenSeconds},
      Work.m_IsProbe);
  Class.m_TokenMean.add(PerToken);
}

void noteHealth(Pool &In, Serving &Where, WorkEnd How) {
  switch (How) {
  case WorkEnd::Finished:
    Fleet::noteSuccess(Where);
    break;
  case WorkEnd::Failed:
  case WorkEnd::UpstreamRefused:
    Fleet::noteFailure(Where, false, In.m_Now);
    break;
  case WorkEnd::ConnectFailed:
    Fleet::noteFailure(Where, true, In.m_Now);
    break;
  case WorkEnd::UpstreamLeaving:
    Fleet::noteLeaving(Where, In.m_Now);
    updateFloors(In);
    reviewEjections(In);
    break;
  case WorkEnd::Cancelled:
  case WorkEnd::Unused:
  case WorkEnd::Preempted:
    break;
  }
}

/// Tells whether the attempt ended by our doing, so that bidding again is no
/// retry of the caller's.
bool isOurDoing(WorkEnd How) {
  return How == WorkEnd::Preempted || How == WorkEnd::UpstreamLeaving ||
         How == WorkEnd::Unused;
}

void keepReturning(Pool &In, Request &Work) {
  Work.m_State = RequestState::Returning;
  Work.m_Since = In.m_Now;
  Work.m_SawToken = false;
  Work.m_Progress = 0;
  In.m_Returning.emplace_back(In.m_Now, Work.m_Bid.m_Request);
}

std::uint32_t guessTokens(const Pool &In, const Request &Work) {
  const double PerToken = Work.m_Class->m_TokenMean.value();
  if (PerToken <= 0.0)
    return Work.m_Progress;
  const double Guess = toSeconds(In.m_Now - Work.m_Since) / PerToken;
  const double Most = static_cast<double>(Work.m_Expected);
  return std::max(Work.m_Progress,
                  static_cast<std::uint32_t>(std::min(Guess, Most)));
}

void giveBackReserved(Pool &In, Request &Waiting) {
  ClassState &Class = *Waiting.m_Class;
  Class.m_Tokens.take(-Waiting.m_Reserved, In.m_Now);
  Class.useOf(Waiting.m_Bid.m_Workspace, In.m_Now)
      .m_Tokens.take(-Waiting.m_Reserved, In.m_Now);
}

} // namespace

std::uint32_t expectedTokens(ClassState &Class, const Bid &For, TimePoint Now) {
  const Quantile &Own = Class.useOf(For.m_Workspace, Now).m_Lengths;
  const bool IsOwnKnown = Own.count() >= tuning::MinSamples;
  const Quantile &Best = IsOwnKnown ? Own : Class.m_Lengths;
  std::uint32_t Whole = tuning::UnknownLength;
  if (Best.count() > 0)
    Whole = static_cast<std::uint32_t>(Best.value());
  if (For.m_MaxTokens != 0)
    Whole = std::min(Whole, For.m_MaxTokens);
  return std::max(1U, Whole - std::min(Whole, For.m_DoneTokens));
}

void grant(Pool &In, Request &Waiting, Serving &Where) {
  if (!In.isBaseline())
    Queue::noteServed(Waiting);
  In.m_Queue.remove(Waiting);
  occupy(In, Waiting, Where);
  ++In.m_Stats.m_Granted;
  grantAgain(In, Waiting);
}

void grantAgain(Pool &In, Request &Granted) {
  if (!Granted.m_SawToken)
    restartSilence(In, Granted);
  const int Tier = Granted.m_Class->m_Contract.m_Tier;
  In.m_Actions->push_back(
      Grant{Granted.m_Bid.m_Request, Granted.m_Serving->m_Upstream.m_Id,
            In.m_Config.m_GrantValidity,
            static_cast<std::uint8_t>(std::max(0, Tier - 1))});
}

void adopt(Pool &In, Request &Running, Serving &Where) {
  occupy(In, Running, Where);
  Running.m_SawToken = true;
}

void noteFirstToken(Pool &In, Request &Granted, Duration Latency) {
  if (Granted.m_SawToken)
    return;
  Granted.m_SawToken = true;
  In.m_Lapses.erase({Granted.m_Lapses, Granted.m_Bid.m_Request});
  ClassState &Class = *Granted.m_Class;
  const double Seconds = toSeconds(Latency);
  addSpeed(In, *Granted.m_Serving,
           {Seconds, Class.m_FirstTokenMean.value(),
            tuning::StragglerMinFirstTokenSeconds},
           Granted.m_IsProbe);
  Class.learnFirstToken(Latency);
}

void finish(Pool &In, Request &Granted, const WorkEnded &How) {
  if (How.m_End == WorkEnd::Finished) {
    learnLengths(In, Granted, How.m_Tokens);
    learnTimes(In, Granted, How);
  }
  noteHealth(In, *Granted.m_Serving, How.m_End);
  settle(In, Granted, How.m_Tokens);
  release(In, Granted);
  if (isOurDoing(How.m_End))
    keepReturning(In, Granted);
  else
    In.m_Requests.erase(RequestId(Granted.m_Bid.m_Request));
}

void abandon(Pool &In, Request &Granted) {
  settle(In, Granted, guessTokens(In, Granted));
  release(In, Granted);
  In.m_Requests.erase(RequestId(Granted.m_Bid.m_Request));
}

void dropWaiting(Pool &In, Request &Waiting) {
  giveBackReserved(In, Waiting);
  if (Waiting.m_Flow != nullptr)
    In.m_Queue.remove(Waiting);
  In.m_Requests.erase(RequestId(Waiting.m_Bid.m_Request));
}

void refuseWaiting(Pool &In, Request &Waiting, RefusalReason Reason,
                   Duration RetryAfter) {
  refuse(In, Waiting.m_Bid.m_Request, Reason, RetryAfter);
  dropWaiting(In, Waiting);
}

void refuse(Pool &In, const RequestId &Id, RefusalReason Reason,
            Duration RetryAfter) {
  ++In.m_Stats.m_Refused[static_cast<std::size_t>(Reason)];
  if (RetryAfter > Duration::zero())
    RetryAfter =
        std::clamp(RetryAfter, tuning::MinRetryAfter, tuning::MaxRetryAfter);
  In.m_Actions->push_back(Refuse{Id, Reason, RetryAfter});
}

} // namespace crowstep::decision
