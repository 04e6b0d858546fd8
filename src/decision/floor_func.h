/// Floor shares: what each class is owed from its weight.
#ifndef CROWSTEP_DECISION_FLOOR_FUNC_H
#define CROWSTEP_DECISION_FLOOR_FUNC_H

#include "decision/pool_base.h"

namespace crowstep::decision {

/// Recomputes each class's upstreams, slots and floor from the weights.
void updateFloors(Pool &P);

/// Adds what classes with waiting bids were owed and got since the last event.
void accrueFloors(Pool &P, Duration Elapsed);

/// Tells whether the tier of \p Class and more urgent ones ask for clearly more
/// slots than there are, so that some of their bids are refused whatever is
/// done. Only then do floors of lower tiers stand against their bids.
bool isOverloaded(const ClassState &Class);

/// Renews what the tiers' arrivals ask for, when it is no longer fresh.
void updateOffered(Pool &P);

/// Returns the class that is owed most and may have a free slot ahead of more
/// urgent bids without making one of them miss its target; or null.
ClassState *owedClass(const Pool &P);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_FLOOR_FUNC_H
