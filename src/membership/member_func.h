/// Functions on members.
#ifndef CROWSTEP_MEMBERSHIP_MEMBER_FUNC_H
#define CROWSTEP_MEMBERSHIP_MEMBER_FUNC_H

#include "core/pair_hash.h"
#include "membership/membership_type.h"

namespace crowstep::membership {

/// Returns whether a member in this state belongs to the fleet.
constexpr bool isLive(MemberState State) {
  return State == MemberState::Alive || State == MemberState::Suspect;
}

/// Returns the state's name for metrics.
const char *stateName(MemberState State);

/// Returns the incarnation of a process that starts now: the wall clock in
/// milliseconds.
///
/// It is compared only with earlier starts of the same instance, so that the
/// clocks of two machines are never compared. If the instance's clock was set
/// back, the peers still hold the higher incarnation, and the process raises
/// its own above it once it receives it.
Incarnation freshIncarnation();

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_MEMBER_FUNC_H
