/// Longest predicted wait of a call at an engine.
#ifndef CROWSTEP_BALANCE_WAIT_LIMIT_H
#define CROWSTEP_BALANCE_WAIT_LIMIT_H

#include "balance/balance_type.h"

namespace crowstep::balance {

/// Returns how long a call may wait for the prefill that is queued at an
/// engine.
[[nodiscard]] Duration waitLimitOf(const PlacementQuery &Query);

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_WAIT_LIMIT_H
