/// Choice of an engine for a prompt.
#ifndef CROWSTEP_BALANCE_ENGINE_CHOICE_H
#define CROWSTEP_BALANCE_ENGINE_CHOICE_H

#include "balance/placement_cost.h"

#include <random>

namespace crowstep::balance {

/// An engine in the division between roles.
struct RankedEngine {
  UpstreamId m_Id;      ///< Of the engine.
  int m_SpeedClass = 0; ///< See SpeedView; 0 if speeds are not learned.
};

/// Returns the ids of \p Engines in the order in which they are given to
/// latency-sensitive calls: by speed class, the fastest first, then by a hash.
/// Of speeds only the classes count, as instances know slightly different
/// speeds and must agree on the order.
std::vector<UpstreamId> roleOrder(std::vector<RankedEngine> Engines);

/// Returns whether a call would be late if a long prompt were prefilled between
/// its events, while its own prompt is short enough not to delay others.
/// \p MinPause is the shortest pause between events that a class of the service
/// allows; zero: none is known.
bool isLatencySensitive(const PlacementQuery &Query, Duration MinPause);

/// Costs of a call at the engines that are compared.
class EngineCosts {
public:
  /// \p Options must not be empty, and must outlive this object.
  EngineCosts(const PlacementQuery &Query, bool LatencySensitive,
              const std::vector<EngineOption> &Options, PrefillTime PerToken);

  /// Returns the engine that all instances prefer for the call's prefix.
  [[nodiscard]] const EngineOption *preferred() const { return m_Preferred; }

  /// Returns the cost at one of the options; the lowest is chosen.
  [[nodiscard]] double at(const EngineOption &Option) const {
    return costOf(Option, m_Weight, m_LatencySensitive, &Option == m_Preferred);
  }

private:
  const EngineOption *m_Preferred; ///< Never null.
  double m_Weight;                 ///< Of an uncached token.
  bool m_LatencySensitive;         ///< Whether the call is.
};

/// Returns the best of a sample of \p Options, which must not be empty.
const EngineOption &chooseEngine(const PlacementQuery &Query,
                                 bool LatencySensitive,
                                 const std::vector<EngineOption> &Options,
                                 PrefillTime PerToken, std::mt19937_64 &Random);

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_ENGINE_CHOICE_H
