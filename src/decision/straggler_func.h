/// Detection of upstreams that are slower than their peers.
#ifndef CROWSTEP_DECISION_STRAGGLER_FUNC_H
#define CROWSTEP_DECISION_STRAGGLER_FUNC_H

#include "decision/pool_base.h"

namespace crowstep::decision {

/// A measured time and the mean of its class, both in seconds.
struct SpeedSample {
  double m_Seconds;   ///< Measured.
  double m_ClassMean; ///< Of the class; 0: unknown.
  /// Times that exceed the mean by less than this do not count as slow.
  double m_MinExcess;
};

/// Records a sample of \p State: ejects it if it is a straggler, or evaluates a
/// probe.
void recordSpeed(Pool &P, UpstreamState &State, const SpeedSample &Sample,
                 bool IsProbe);

/// Ends the running probe, with or without a sample.
void endProbe(Pool &P, UpstreamState &State);

/// Tells whether a granted request is the probe of its upstream. One that was
/// granted in an earlier ejection is not.
bool isProbe(const Request &Work);

/// Restores ejected upstreams when the pool has shrunk so far that more than
/// the allowed share is ejected.
void reviewEjections(Pool &P);

/// Returns an upstream's slowness relative to the median of its peers; 1 while
/// unknown.
double relativeSlowness(const Pool &P, const UpstreamState &State);

/// Tells whether a bid of \p Class may probe the ejected upstream now.
bool mayProbe(const UpstreamState &State, const ClassState &Class,
              TimePoint Now);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_STRAGGLER_FUNC_H
