/// The sequence of requests of an experiment: the same for the same seed,
/// whatever the answers are, so that policies are compared on equal terms.
#ifndef CROWSTEP_LOAD_ARRIVALS_H
#define CROWSTEP_LOAD_ARRIVALS_H

#include "load/experiment.h"

#include <optional>

namespace crowstep::load {

/// One request to be sent.
struct PlannedCall {
  Duration m_At{};             ///< Since the start of the warm-up.
  std::size_t m_Source = 0;    ///< Index.
  std::size_t m_Workspace = 0; ///< Index.
  std::string m_Prompt;        ///< Unique; empty for plain services.
  std::string m_Key;           ///< Idempotency key, or empty.
  std::string m_Body;          ///< JSON.
};

/// Open-loop Poisson arrivals of all sources, merged in the order of time.
class Arrivals {
public:
  explicit Arrivals(const Experiment &Plan);

  /// Returns when the next request is due; nothing after the last one.
  [[nodiscard]] std::optional<Duration> nextTime() const;

  /// Returns the next request. Must not be called after the last one.
  PlannedCall take();

private:
  struct Stream {
    std::mt19937_64 m_Random;  ///< Its own, so that sources don't interfere.
    Duration m_Next{};         ///< Due time of its next request.
    std::uint64_t m_Count = 0; ///< Requests so far.
  };

  /// Moves a stream on to its next arrival.
  void advance(std::size_t Index);
  std::size_t pickWorkspace(std::size_t Index);
  void writeCompletion(PlannedCall &Call, Stream &From) const;

  const Experiment &m_Plan;      ///< Outlives the arrivals.
  Duration m_End;                ///< Nothing is due from here on.
  std::vector<Stream> m_Streams; ///< One for each source.
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_ARRIVALS_H
