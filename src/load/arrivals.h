/// The sequence of requests of an experiment. The same plan and seed give the
/// same sequence, whatever the answers are, so that policies are compared under
/// identical load.
#ifndef CROWSTEP_LOAD_ARRIVALS_H
#define CROWSTEP_LOAD_ARRIVALS_H

#include "load/experiment.h"

#include <optional>

namespace crowstep::load {

/// A request to be sent at a given time.
struct PlannedCall {
  Duration m_DueTime{};         ///< From the start of the warm-up.
  std::size_t m_Source = 0;     ///< Index in the plan.
  std::size_t m_Workspace = 0;  ///< Index in the plan.
  std::string m_Prompt;         ///< Unique; empty for plain services.
  std::string m_IdempotencyKey; ///< Idempotency key, or empty.
  std::string m_Body;           ///< JSON.
};

/// Open-loop Poisson arrivals of all sources, merged in order of time.
class Arrivals {
public:
  explicit Arrivals(const Experiment &Plan);

  /// Returns the due time of the next request, or nothing after the last one.
  [[nodiscard]] std::optional<Duration> nextTime() const;

  /// Returns the next request. Must not be called after the last one.
  PlannedCall takeNext();

private:
  struct ArrivalStream {
    std::mt19937_64 m_Random;  ///< One each: sources are independent.
    Duration m_Next{};         ///< Due time of the next request.
    std::uint64_t m_Count = 0; ///< Requests so far.
  };

  /// Draws the next arrival of a source.
  void advance(std::size_t Index);
  std::size_t pickWorkspace(std::size_t Index);
  void writeCompletion(PlannedCall &Call, ArrivalStream &Stream) const;

  const Experiment &m_Plan;             ///< Outlives the arrivals.
  Duration m_End;                       ///< No arrivals from this time on.
  std::vector<ArrivalStream> m_Streams; ///< One per source.
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_ARRIVALS_H
