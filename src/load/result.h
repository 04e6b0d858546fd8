/// Measurements of one run, as they stand in a result file.
#ifndef CROWSTEP_LOAD_RESULT_H
#define CROWSTEP_LOAD_RESULT_H

#include "load/call_outcome.h"
#include "load/experiment.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace crowstep::load {

/// Quantiles of a set of latencies.
struct Quantiles {
  Duration m_P50{}; ///< Median.
  Duration m_P95{}; ///< 95 in 100 are at most this.
  Duration m_P99{}; ///< 99 in 100 are at most this.
};

/// Returns the quantiles of \p Samples, zeros where there are none.
Quantiles quantilesOf(std::vector<Duration> Samples);

/// Sums of one source over one second of arrivals.
struct SecondSums {
  std::uint64_t m_Sent = 0;    ///< Arrivals.
  std::uint64_t m_Good = 0;    ///< Of them, answered whole within target.
  std::uint64_t m_Refused = 0; ///< Of them, refused.
  std::uint64_t m_Tokens = 0;  ///< Of the good answers.
};

/// Measurements of one source.
struct SourceResult {
  std::string m_Name;                             ///< Row of the report.
  std::uint64_t m_Sent = 0;                       ///< Arrivals.
  std::map<std::string, std::uint64_t> m_Ends;    ///< By nameOf(CallEnd).
  std::map<std::string, std::uint64_t> m_Reasons; ///< Of refusals and cuts.
  std::uint64_t m_FirstInTarget = 0; ///< Whole, first token within target.
  std::uint64_t m_TokenInTarget = 0; ///< Whole, mean gap within target.
  std::uint64_t m_Good = 0;          ///< Whole and both within target.
  std::uint64_t m_Tokens = 0;        ///< That reached callers.
  std::uint64_t m_GoodTokens = 0;    ///< Of the good answers.
  Quantiles m_First;                 ///< To the first token, whole answers.
  Quantiles m_Gap;                   ///< Between tokens, whole answers.
  Quantiles m_Total;                 ///< To the end, whole answers.
  std::vector<SecondSums> m_Seconds; ///< From the end of the warm-up.

  [[nodiscard]] std::uint64_t count(CallEnd End) const;
};

/// What the upstreams' records say about the run, the warm-up included.
struct AuditResult {
  std::uint64_t m_Generated = 0;     ///< Tokens computed by the engines.
  std::uint64_t m_Delivered = 0;     ///< Tokens that reached callers.
  std::uint64_t m_KeysRunTwice = 0;  ///< Keys that ran more than once.
  std::uint64_t m_FalseNotRun = 0;   ///< Told "not run", yet it ran.
  std::uint64_t m_FalseAnswered = 0; ///< Answered, yet no service ran it.

  /// Share of the generated tokens that reached nobody.
  [[nodiscard]] double wastedShare() const;
};

/// One run.
struct RunResult {
  std::string m_Experiment;            ///< Name of the plan.
  std::string m_Policy;                ///< Column of the report.
  std::uint64_t m_Seed = 0;            ///< Of the plan.
  Duration m_Measured{};               ///< Length of the measurement.
  Duration m_LargestLateness{};        ///< Of sending; the tool's own limit.
  std::vector<SourceResult> m_Sources; ///< In the order of the plan.
  AuditResult m_Audit;                 ///< From the upstreams.
};

nlohmann::json toJson(const RunResult &Run);

/// Reads a result file's JSON. \throws nlohmann::json::exception.
RunResult resultFromJson(const nlohmann::json &Value);

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_RESULT_H
