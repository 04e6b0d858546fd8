/// Which engine takes which prompt.
#ifndef CROWSTEP_BALANCE_ENGINE_CHOICE_H
#define CROWSTEP_BALANCE_ENGINE_CHOICE_H

#include "balance/upstream_state.h"

namespace crowstep::balance {

/// Returns the best of \p From for a model call; \p From is not empty.
UpstreamState *chooseEngine(const PlacementQuery &Query,
                            const std::vector<UpstreamState *> &From,
                            TimePoint Now);

/// Returns an estimate of the calls that \p State works on or has waiting:
/// the last report, moved on by what began and ended here since, or our own
/// calls where the report is too old.
double estimatedCalls(const UpstreamState &State, TimePoint Now);

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_ENGINE_CHOICE_H
