/// Counters and latencies of an entry, by class.
#ifndef CROWSTEP_ENTRY_ENTRY_STATS_H
#define CROWSTEP_ENTRY_ENTRY_STATS_H

#include "contract_type.h"
#include "core/metrics.h"
#include "refusal_type.h"

#include <array>
#include <map>
#include <string>

namespace crowstep::entry {

/// Handles of one class, looked up once.
struct ClassStats {
  Counter *m_Requests; ///< Read and admitted.
  Counter *m_Finished; ///< Answered whole.
  Counter *m_Replayed; ///< Answered from a kept answer.
  Counter *m_Tokens;   ///< Passed on or assembled.
  Counter *m_Calls;    ///< Sent to upstreams.
  std::array<Counter *, static_cast<std::size_t>(RefusalReason::Count)>
      m_Refusals; ///< By reason.
  std::array<Counter *, static_cast<std::size_t>(RetryReason::Count)>
      m_Retries;                  ///< By reason.
  LatencyHistogram *m_FirstToken; ///< From the request to the first token.
  LatencyHistogram *m_TokenGap;   ///< Between tokens.
  LatencyHistogram *m_Total;      ///< From the request to the answer's end.
};

class EntryStats {
public:
  explicit EntryStats(Metrics &Stats) : m_Metrics(Stats) {}

  /// Makes the series of every class, so that each stands in /metrics with 0
  /// before it first grows.
  void prepare(const ContractTable &Table);

  /// Returns the handles of a class; "none" counts requests without one.
  ClassStats &of(const std::string &Class);

private:
  Metrics &m_Metrics;                        ///< Outlives this object.
  std::map<std::string, ClassStats> m_Stats; ///< By class name.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_ENTRY_STATS_H
