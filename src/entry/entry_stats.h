/// Counters and latency histograms of an entry, by class.
#ifndef CROWSTEP_ENTRY_ENTRY_STATS_H
#define CROWSTEP_ENTRY_ENTRY_STATS_H

#include "contract_type.h"
#include "core/metrics.h"
#include "refusal_type.h"

#include <array>
#include <map>
#include <string>

namespace crowstep::entry {

/// Metrics of one class, looked up once.
struct ClassStats {
  Counter *m_Requests; ///< Validated and started.
  Counter *m_Finished; ///< Answered completely.
  Counter *m_Replayed; ///< Answered from a recorded answer.
  Counter *m_Tokens;   ///< Received from engines.
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

  /// Creates the series of every class, so that each is shown in /metrics as 0
  /// before it is first incremented.
  void createSeries(const ContractTable &Table);

  /// Returns the metrics of a class; an empty \p Class stands for requests
  /// without one, which are counted as "none".
  ClassStats &statsOf(const std::string &Class);

private:
  Metrics &m_Metrics;                        ///< Outlives this object.
  std::map<std::string, ClassStats> m_Stats; ///< By class name.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_ENTRY_STATS_H
