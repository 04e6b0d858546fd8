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
  [[nodiscard]] std::uint64_t delivered() const { return m_Delivered; }

  /// Returns the run state that was reported to the caller of each keyed
  /// request, by idempotency key.
  [[nodiscard]] const std::map<std::string, std::string> &toldByKey() const {
    return m_ToldByKey;
  }

private:
  struct Samples {
    std::vector<Duration> m_First; ///< Of complete answers.
    std::vector<Duration> m_Gap;   ///< Of complete answers.
    std::vector<Duration> m_Total; ///< Of complete answers.
  };

  void addWhole(const CallOutcome &Outcome, SourceResult &Result,
                SecondSums &Second);

  const Experiment &m_Plan;            ///< Outlives the recorder.
  std::vector<SourceResult> m_Sources; ///< In the plan's order.
  std::vector<Samples> m_Samples;      ///< In the plan's order.
  Duration m_LargestLateness{};        ///< Largest sending delay.
  std::uint64_t m_Delivered = 0;       ///< Tokens, including the warm-up.
  std::map<std::string, std::string> m_ToldByKey; ///< By idempotency key.
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_RECORDER_H
