/// Aggregates the outcomes of a run.
#ifndef CROWSTEP_LOAD_RECORDER_H
#define CROWSTEP_LOAD_RECORDER_H

#include "load/result.h"

namespace crowstep::load {

/// Aggregates outcomes by source. Those of the warm-up count only towards the
/// delivered tokens and the keyed requests, which the audit needs.
class Recorder {
public:
  explicit Recorder(const Experiment &Plan);

  void add(const CallOutcome &Outcome);

  /// Returns the measurements; the audit's part is left empty.
  [[nodiscard]] RunResult result(const std::string &Policy) const;

  /// Returns the tokens that callers received, including the warm-up.
  [[nodiscard]] std::uint64_t deliveredTokens() const {
    return m_DeliveredTokens;
  }

  /// Returns the run state that was reported to the caller of each keyed
  /// request, by idempotency key.
  [[nodiscard]] const std::map<std::string, std::string> &
  runStateByKey() const {
    return m_RunStateByKey;
  }

private:
  struct Samples {
    std::vector<Duration> m_TimeToFirstToken; ///< Of complete answers.
    std::vector<Duration> m_TokenGap;         ///< Of complete answers.
    std::vector<Duration> m_TotalTime;        ///< Of complete answers.
  };

  void addCompleteAnswer(const CallOutcome &Outcome, SourceResult &Result,
                         SecondSums &Second);

  const Experiment &m_Plan;            ///< Outlives the recorder.
  std::vector<SourceResult> m_Sources; ///< In the plan's order.
  std::vector<Samples> m_Samples;      ///< In the plan's order.
  Duration m_LargestLateness{};        ///< Largest sending delay.
  std::uint64_t m_DeliveredTokens = 0; ///< Tokens, including the warm-up.
  std::map<std::string, std::string> m_RunStateByKey; ///< By idempotency key.
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_RECORDER_H
