/// Aggregation of outcomes.
#include "load/recorder.h"

#include <algorithm>
#include <numeric>

namespace crowstep::load {

Recorder::Recorder(const Experiment &Plan)
    : m_Plan(Plan), m_Samples(Plan.m_Sources.size()) {
  const auto Seconds = static_cast<std::size_t>(
      std::chrono::ceil<std::chrono::seconds>(Plan.m_Measured).count());
  for (const Source &PlannedSource : Plan.m_Sources) {
    m_Sources.emplace_back();
    m_Sources.back().m_Name = PlannedSource.m_Name;
    m_Sources.back().m_Seconds.resize(Seconds);
  }
}

void Recorder::add(const CallOutcome &Outcome) {
  m_DeliveredTokens += Outcome.m_Tokens;
  if (!Outcome.m_IdempotencyKey.empty())
    m_RunStateByKey[Outcome.m_IdempotencyKey] = Outcome.m_RunState;
  if (Outcome.m_DueTime < m_Plan.m_WarmUp)
    return;
  m_LargestLateness = std::max(m_LargestLateness, Outcome.m_Lateness);
  SourceResult &Result = m_Sources[Outcome.m_Source];
  const auto Index =
      static_cast<std::size_t>(std::chrono::floor<std::chrono::seconds>(
                                   Outcome.m_DueTime - m_Plan.m_WarmUp)
                                   .count());
  SecondSums &Second = Result.m_Seconds[Index];
  ++Result.m_Sent;
  ++Second.m_Sent;
  ++Result.m_Ends[nameOf(Outcome.m_End)];
  Result.m_Tokens += Outcome.m_Tokens;
  if (!Outcome.m_Reason.empty())
    ++Result.m_Reasons[Outcome.m_Reason];
  if (Outcome.m_End == CallEnd::Refused)
    ++Second.m_Refused;
  else if (Outcome.m_End == CallEnd::Whole)
    addCompleteAnswer(Outcome, Result, Second);
}

void Recorder::addCompleteAnswer(const CallOutcome &Outcome,
                                 SourceResult &Result, SecondSums &Second) {
  const Source &PlannedSource = m_Plan.m_Sources[Outcome.m_Source];
  Samples &SourceSamples = m_Samples[Outcome.m_Source];
  SourceSamples.m_TimeToFirstToken.push_back(Outcome.m_TimeToFirstToken);
  SourceSamples.m_TotalTime.push_back(Outcome.m_TotalTime);
  SourceSamples.m_TokenGap.insert(SourceSamples.m_TokenGap.end(),
                                  Outcome.m_TokenGaps.begin(),
                                  Outcome.m_TokenGaps.end());
  // The target applies to the mean gap: an entry merges tokens that wait
  // together, so single gaps become 0 or twice as long, which is not noticeable
  // to a reader.
  const Duration Sum = std::accumulate(Outcome.m_TokenGaps.begin(),
                                       Outcome.m_TokenGaps.end(), Duration());
  const auto Gaps = static_cast<std::int64_t>(Outcome.m_TokenGaps.size());
  const bool FirstInTarget =
      PlannedSource.m_FirstTokenTarget == Duration() ||
      Outcome.m_TimeToFirstToken <= PlannedSource.m_FirstTokenTarget;
  const bool TokenInTarget = PlannedSource.m_TokenTarget == Duration() ||
                             Sum <= PlannedSource.m_TokenTarget * Gaps;
  Result.m_FirstInTarget += FirstInTarget ? 1 : 0;
  Result.m_TokenInTarget += TokenInTarget ? 1 : 0;
  if (!FirstInTarget || !TokenInTarget)
    return;
  ++Result.m_Good;
  ++Second.m_Good;
  Result.m_GoodTokens += Outcome.m_Tokens;
  Second.m_Tokens += Outcome.m_Tokens;
}

RunResult Recorder::result(const std::string &Policy) const {
  RunResult Result;
  Result.m_Experiment = m_Plan.m_Name;
  Result.m_Policy = Policy;
  Result.m_Seed = m_Plan.m_Seed;
  Result.m_Measured = m_Plan.m_Measured;
  Result.m_LargestLateness = m_LargestLateness;
  Result.m_Sources = m_Sources;
  for (std::size_t Index = 0; Index < m_Sources.size(); ++Index) {
    Result.m_Sources[Index].m_TimeToFirstToken =
        quantilesOf(m_Samples[Index].m_TimeToFirstToken);
    Result.m_Sources[Index].m_TokenGap =
        quantilesOf(m_Samples[Index].m_TokenGap);
    Result.m_Sources[Index].m_TotalTime =
        quantilesOf(m_Samples[Index].m_TotalTime);
  }
  return Result;
}

} // namespace crowstep::load
