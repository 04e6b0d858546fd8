/// Creation and look-up of the metrics of each class.
#include "entry/entry_stats.h"

namespace crowstep::entry {

namespace {

constexpr const char *NoClass = "none";

template <typename Reason, std::size_t Count>
void prepareReasons(Metrics &Stats, const std::string &Name,
                    const std::string &Class,
                    std::array<Counter *, Count> &Out) {
  for (std::size_t Index = 0; Index < Count; ++Index)
    Out[Index] = &Stats.counter(
        Name, {{"class", Class},
               {"reason", std::string(nameOf(static_cast<Reason>(Index)))}});
}

ClassStats makeClassStats(Metrics &Stats, const std::string &Class) {
  const Labels ClassLabel = {{"class", Class}};
  ClassStats Result{};
  Result.m_Requests = &Stats.counter("crowstep_requests_total", ClassLabel);
  Result.m_Finished = &Stats.counter("crowstep_finished_total", ClassLabel);
  Result.m_Replayed = &Stats.counter("crowstep_replayed_total", ClassLabel);
  Result.m_Tokens = &Stats.counter("crowstep_relayed_tokens_total", ClassLabel);
  Result.m_Calls = &Stats.counter("crowstep_upstream_calls_total", ClassLabel);
  Result.m_FirstToken =
      &Stats.latency("crowstep_first_token_seconds", ClassLabel);
  Result.m_TokenGap = &Stats.latency("crowstep_token_gap_seconds", ClassLabel);
  Result.m_Total = &Stats.latency("crowstep_total_seconds", ClassLabel);
  prepareReasons<RefusalReason>(Stats, "crowstep_refusals_total", Class,
                                Result.m_Refusals);
  prepareReasons<RetryReason>(Stats, "crowstep_retries_total", Class,
                              Result.m_Retries);
  return Result;
}

} // namespace

void EntryStats::createSeries(const ContractTable &Table) {
  statsOf("");
  for (const Contract &Row : Table.m_Contracts)
    statsOf(Row.m_Name);
}

ClassStats &EntryStats::statsOf(const std::string &Class) {
  const std::string Name = Class.empty() ? NoClass : Class;
  const auto Found = m_Stats.find(Name);
  if (Found != m_Stats.end())
    return Found->second;
  return m_Stats.emplace(Name, makeClassStats(m_Metrics, Name)).first->second;
}

} // namespace crowstep::entry
