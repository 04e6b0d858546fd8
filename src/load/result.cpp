/// Result files as JSON, and quantiles.
#include "load/result.h"

#include <algorithm>
#include <cmath>

using nlohmann::json;

namespace crowstep::load {

namespace {

std::int64_t microseconds(Duration Value) { return Value.count(); }

json toJson(const Quantiles &Value) {
  return {{"p50_us", microseconds(Value.m_P50)},
          {"p95_us", microseconds(Value.m_P95)},
          {"p99_us", microseconds(Value.m_P99)}};
}

Quantiles quantilesFromJson(const json &Value) {
  return {Duration(Value.at("p50_us").get<std::int64_t>()),
          Duration(Value.at("p95_us").get<std::int64_t>()),
          Duration(Value.at("p99_us").get<std::int64_t>())};
}

json toJson(const SourceResult &Row) {
  json Seconds = json::array();
  for (const SecondSums &Second : Row.m_Seconds)
    Seconds.push_back(
        {Second.m_Sent, Second.m_Good, Second.m_Refused, Second.m_Tokens});
  return {{"name", Row.m_Name},
          {"sent", Row.m_Sent},
          {"ends", Row.m_Ends},
          {"reasons", Row.m_Reasons},
          {"first_in_target", Row.m_FirstInTarget},
          {"token_in_target", Row.m_TokenInTarget},
          {"good", Row.m_Good},
          {"tokens", Row.m_Tokens},
          {"good_tokens", Row.m_GoodTokens},
          {"first", toJson(Row.m_TimeToFirstToken)},
          {"gap", toJson(Row.m_TokenGap)},
          {"total", toJson(Row.m_TotalTime)},
          {"seconds", std::move(Seconds)}};
}

SourceResult sourceFromJson(const json &Value) {
  SourceResult Row;
  Value.at("name").get_to(Row.m_Name);
  Value.at("sent").get_to(Row.m_Sent);
  Value.at("ends").get_to(Row.m_Ends);
  Value.at("reasons").get_to(Row.m_Reasons);
  Value.at("first_in_target").get_to(Row.m_FirstInTarget);
  Value.at("token_in_target").get_to(Row.m_TokenInTarget);
  Value.at("good").get_to(Row.m_Good);
  Value.at("tokens").get_to(Row.m_Tokens);
  Value.at("good_tokens").get_to(Row.m_GoodTokens);
  Row.m_TimeToFirstToken = quantilesFromJson(Value.at("first"));
  Row.m_TokenGap = quantilesFromJson(Value.at("gap"));
  Row.m_TotalTime = quantilesFromJson(Value.at("total"));
  for (const json &Second : Value.at("seconds"))
    Row.m_Seconds.push_back(
        {Second.at(0).get<std::uint64_t>(), Second.at(1).get<std::uint64_t>(),
         Second.at(2).get<std::uint64_t>(), Second.at(3).get<std::uint64_t>()});
  return Row;
}

json toJson(const AuditResult &Audit) {
  return {{"generated", Audit.m_GeneratedTokens},
          {"delivered", Audit.m_DeliveredTokens},
          {"keys_run_twice", Audit.m_KeysRunTwice},
          {"false_not_run", Audit.m_FalseNotRun},
          {"false_answered", Audit.m_FalseAnswered}};
}

AuditResult auditFromJson(const json &Value) {
  AuditResult Audit;
  Value.at("generated").get_to(Audit.m_GeneratedTokens);
  Value.at("delivered").get_to(Audit.m_DeliveredTokens);
  Value.at("keys_run_twice").get_to(Audit.m_KeysRunTwice);
  Value.at("false_not_run").get_to(Audit.m_FalseNotRun);
  Value.at("false_answered").get_to(Audit.m_FalseAnswered);
  return Audit;
}

/// Returns the sample of the nearest rank; \p Samples must not be empty and is
/// reordered.
Duration quantileOf(std::vector<Duration> &Samples, double Share) {
  const auto Last = static_cast<double>(Samples.size() - 1);
  const std::ptrdiff_t Rank = std::lround(Last * Share);
  std::nth_element(Samples.begin(), Samples.begin() + Rank, Samples.end());
  return Samples[static_cast<std::size_t>(Rank)];
}

} // namespace

Quantiles quantilesOf(std::vector<Duration> Samples) {
  if (Samples.empty())
    return {};
  return {quantileOf(Samples, 0.5), quantileOf(Samples, 0.95),
          quantileOf(Samples, 0.99)};
}

std::uint64_t SourceResult::count(CallEnd End) const {
  const auto Found = m_Ends.find(nameOf(End));
  return Found == m_Ends.end() ? 0 : Found->second;
}

double AuditResult::wastedShare() const {
  if (m_GeneratedTokens <= m_DeliveredTokens)
    return 0;
  return static_cast<double>(m_GeneratedTokens - m_DeliveredTokens) /
         static_cast<double>(m_GeneratedTokens);
}

json toJson(const RunResult &Run) {
  json Sources = json::array();
  for (const SourceResult &Row : Run.m_Sources)
    Sources.push_back(toJson(Row));
  return {{"experiment", Run.m_Experiment},
          {"policy", Run.m_Policy},
          {"seed", Run.m_Seed},
          {"measured_us", microseconds(Run.m_Measured)},
          {"largest_lateness_us", microseconds(Run.m_LargestLateness)},
          {"sources", std::move(Sources)},
          {"audit", toJson(Run.m_Audit)}};
}

RunResult resultFromJson(const json &Value) {
  RunResult Run;
  Value.at("experiment").get_to(Run.m_Experiment);
  Value.at("policy").get_to(Run.m_Policy);
  Value.at("seed").get_to(Run.m_Seed);
  Run.m_Measured = Duration(Value.at("measured_us").get<std::int64_t>());
  Run.m_LargestLateness =
      Duration(Value.at("largest_lateness_us").get<std::int64_t>());
  for (const json &Row : Value.at("sources"))
    Run.m_Sources.push_back(sourceFromJson(Row));
  Run.m_Audit = auditFromJson(Value.at("audit"));
  return Run;
}

} // namespace crowstep::load
