/// Collects the outcomes of a run.
#ifndef CROWSTEP_LOAD_RECORDER_H
#define CROWSTEP_LOAD_RECORDER_H

#include "load/result.h"

namespace crowstep::load {

/// Sums up outcomes; those of the warm-up count only for delivered tokens and
/// for keys.
class Recorder {
public:
  explicit Recorder(const Experiment &Plan);

  void add(const CallOutcome &Outcome);

  /// Returns the sums, without the audit.
  [[nodiscard]] RunResult result(const std::string &Policy) const;

  /// Returns the tokens that reached callers, the warm-up included.
  [[nodiscard]] std::uint64_t delivered() const { return m_Delivered; }

  /// Returns what the callers of keyed requests were told, by key.
  [[nodiscard]] const std::map<std::string, std::string> &toldByKey() const {
    return m_ToldByKey;
  }

private:
  struct Samples {
    std::vector<Duration> m_First; ///< Of whole answers.
    std::vector<Duration> m_Gap;   ///< Of whole answers.
    std::vector<Duration> m_Total; ///< Of whole answers.
  };

  void addWhole(const CallOutcome &Outcome, SourceResult &Into,
                SecondSums &Second);

  const Experiment &m_Plan;                       ///< Outlives the recorder.
  std::vector<SourceResult> m_Sources;            ///< In the order of the plan.
  std::vector<Samples> m_Samples;                 ///< In the order of the plan.
  Duration m_LargestLateness{};                   ///< Of sending.
  std::uint64_t m_Delivered = 0;                  ///< Tokens.
  std::map<std::string, std::string> m_ToldByKey; ///< Run state by key.
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_RECORDER_H
