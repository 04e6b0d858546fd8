/// The members that a member dials: a sparse overlay network that each process
/// computes on its own.
///
/// Each member dials its two successors on a ring of ids, so that each is
/// watched by its two predecessors whatever fails elsewhere. Random targets
/// beyond them give the graph a diameter that grows with the logarithm of its
/// size.
#ifndef CROWSTEP_MEMBERSHIP_OVERLAY_H
#define CROWSTEP_MEMBERSHIP_OVERLAY_H

#include "membership/membership_type.h"

namespace crowstep::membership {

/// Returns the live members that \p Self dials: \p Degree of them, but at least
/// its two successors, as far as there are others. The result is a function of
/// the arguments; \p Seed varies the random targets.
std::vector<const Member *> targetsOf(InstanceId Self, std::size_t Degree,
                                      std::uint64_t Seed,
                                      const std::vector<Member> &Members);

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_OVERLAY_H
