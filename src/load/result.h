/// Measurements of one run, as stored in a result file.
#ifndef CROWSTEP_LOAD_RESULT_H
#define CROWSTEP_LOAD_RESULT_H

#include "load/call_outcome.h"
#include "load/experiment.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace crowstep::load {

/// Quantiles of a set of durations.
struct Quantiles {
  Duration m_P50{}; ///< Median.
  Duration m_P95{}; ///< 95th percentile.
  Duration m_P99{}; ///< 99th percentile.
};

/// Returns the quantiles of \p Samples, zeros if there are none.
Quantiles quantilesOf(std::vector<Duration> Samples);

/// Counts of one source for the requests that were due in one second.
struct SecondSums {
  std::uint64_t m_Sent = 0;    ///< Arrivals.
  std::uint64_t m_Good = 0;    ///< Of these, complete and within targets.
  std::uint64_t m_Refused = 0; ///< Of these, refused.
  std::uint64_t m_Tokens = 0;  ///< Of the good answers.
};

/// Measurements of one source.
struct SourceResult {
  std::string m_Name;                             ///< Row of the report.
  std::uint64_t m_Sent = 0;                       ///< Arrivals.
  std::map<std::string, std::uint64_t> m_Ends;    ///< By nameOf(CallEnd).
  std::map<std::string, std::uint64_t> m_Reasons; ///< Of refusals and cuts.
  std::uint64_t m_FirstInTarget = 0; ///< Complete, first token in target.
  std::uint64_t m_TokenInTarget = 0; ///< Complete, mean gap in target.
  std::uint64_t m_Good = 0;          ///< Complete and both in target.
  std::uint64_t m_Tokens = 0;        ///< Received by callers.
  std::uint64_t m_GoodTokens = 0;    ///< Of the good answers.
  Quantiles m_TimeToFirstToken;      ///< Complete answers only.
  Quantiles m_TokenGap;              ///< Complete answers only.
  Quantiles m_TotalTime;             ///< Complete answers only.
  std::vector<SecondSums> m_Seconds; ///< From the end of the warm-up on.

  [[nodiscard]] std::uint64_t count(CallEnd End) const;
};

/// Comparison of the upstreams' records with the callers' answers, including
/// the warm-up.
struct AuditResult {
  std::uint64_t m_GeneratedTokens = 0; ///< Tokens that engines generated.
  std::uint64_t m_DeliveredTokens = 0; ///< Tokens that callers received.
  std::uint64_t m_KeysRunTwice = 0;    ///< Keys executed more than once.
  std::uint64_t m_FalseNotRun = 0;     ///< Reported as not run, but executed.
  std::uint64_t m_FalseAnswered = 0;   ///< Reported as run, but never executed.

  /// Share of the generated tokens that no caller received, 0 to 1.
  [[nodiscard]] double wastedShare() const;
};

/// One run.
struct RunResult {
  std::string m_Experiment; ///< Name of the plan.
  std::string m_Policy; ///< Compared policy; names its rows and plot columns.
  std::uint64_t m_Seed = 0;     ///< Of the plan.
  Duration m_Measured{};        ///< Length of the measured time.
  Duration m_LargestLateness{}; ///< Of sending: shows an overloaded tool.
  std::vector<SourceResult> m_Sources; ///< In the plan's order.
  AuditResult m_Audit;                 ///< From the upstreams.
};

nlohmann::json toJson(const RunResult &Run);

/// Reads a result file's JSON. \throws nlohmann::json::exception.
RunResult resultFromJson(const nlohmann::json &Value);

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_RESULT_H
