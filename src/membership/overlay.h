/// Whom a member dials: a sparse overlay that every process computes alone.
///
/// Two successors on a ring of ids give everyone two predecessors that watch
/// it, whatever fails elsewhere; random choices beyond them give the graph a
/// diameter that grows with the logarithm of its size.
#ifndef CROWSTEP_MEMBERSHIP_OVERLAY_H
#define CROWSTEP_MEMBERSHIP_OVERLAY_H

#include "membership/membership_type.h"

namespace crowstep::membership {

/// Returns the up to \p Degree live members, other than \p Self, that \p Self
/// dials. The same for the same members; \p Seed varies the random part.
std::vector<const Member *> targetsOf(InstanceId Self, std::size_t Degree,
                                      std::uint64_t Seed,
                                      const std::vector<Member> &Members);

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_OVERLAY_H
