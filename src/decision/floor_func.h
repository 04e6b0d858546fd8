/// Floors: the slots guaranteed to each class by its weight.
#ifndef CROWSTEP_DECISION_FLOOR_FUNC_H
#define CROWSTEP_DECISION_FLOOR_FUNC_H

#include "decision/pool_base.h"

namespace crowstep::decision {

/// Recomputes the upstreams, slots and floor of each class.
void updateFloors(Pool &P);

/// Adds the floor slots that classes with waiting bids did not get since the
/// last event to their deficits.
void accrueFloorDeficits(Pool &P, Duration Elapsed);

/// Tells whether arrivals at the tier of \p Class and more urgent ones need
/// clearly more slots than there are, so that some bids must be refused. Only
/// then do the floors of lower tiers take precedence over them.
bool isOverloaded(const ClassState &Class);

/// Recomputes the offered load of each tier once it has expired.
void updateOfferedLoad(Pool &P);

/// Returns the class that is furthest below its floor among those that may have
/// a free slot before more urgent bids without making one of them miss its
/// target, or null.
ClassState *classWithLargestDeficit(const Pool &P);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_FLOOR_FUNC_H
