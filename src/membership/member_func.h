/// Helpers on members.
#ifndef CROWSTEP_MEMBERSHIP_MEMBER_FUNC_H
#define CROWSTEP_MEMBERSHIP_MEMBER_FUNC_H

#include "core/pair_hash.h"
#include "membership/membership_type.h"

namespace crowstep::membership {

/// Returns whether a member of this state counts as one of the fleet.
constexpr bool isLive(MemberState State) {
  return State == MemberState::Alive || State == MemberState::Suspect;
}

/// Returns the state's name as counters and logs print it.
const char *stateName(MemberState State);

/// Returns the incarnation of a process that starts now: the wall clock in ms.
///
/// It is only ever compared with earlier starts of the same instance, so no
/// clocks of two machines meet in the comparison. Should the instance's clock
/// have gone back, the peers still know the higher number and the process
/// raises its own past it when it hears of it.
Incarnation freshIncarnation();

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_MEMBER_FUNC_H
