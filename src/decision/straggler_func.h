/// Upstreams that are slower than their peers.
#ifndef CROWSTEP_DECISION_STRAGGLER_FUNC_H
#define CROWSTEP_DECISION_STRAGGLER_FUNC_H

#include "decision/pool_base.h"

namespace crowstep::decision {

/// A measured time against the mean of its class, both in seconds.
struct SpeedSample {
  double m_Seconds;   ///< Measured.
  double m_Mean;      ///< Of the class; 0: unknown.
  double m_MinExcess; ///< Below this above the mean nothing is slow.
};

/// Judges \p Where by one more sample: ejects a straggler, or counts a probe.
void addSpeed(Pool &P, Serving &State, const SpeedSample &Sample, bool IsProbe);

/// Ends a probe that brought no sample.
void endProbe(Pool &P, Serving &State);

/// Takes ejected upstreams back when the pool has shrunk below the ceiling.
void reviewEjections(Pool &P);

/// Returns an upstream's slowness against its peers' median; 1 while unknown.
double relativeSlowness(const Pool &P, const Serving &State);

/// Tells whether a bid of \p Class may try the ejected \p Where now.
bool mayProbe(const Serving &State, const ClassState &Class, TimePoint Now);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_STRAGGLER_FUNC_H
