/// Which instances keep the origin of a stream.
///
/// All instances rank the others alike for a stream, as far as they know the
/// same ones. The best of each zone come first, so that the first few are in
/// different zones: the origin outlives the loss of a zone. Hubs, where there
/// are any, come before all others, as they pass origins on to another zone.
#ifndef CROWSTEP_RESUME_HOLDER_RANKING_H
#define CROWSTEP_RESUME_HOLDER_RANKING_H

#include "instance_type.h"
#include "resume/stream_origin.h"

#include <vector>

namespace crowstep::resume {

/// An instance that may keep origins.
struct HolderCandidate {
  InstanceId m_Instance;   ///< Of the candidate.
  AvailabilityZone m_Zone; ///< Of the instance.
  std::size_t m_HubRank;   ///< Among the hubs of the zone; NoHub: it is none.
};

inline constexpr std::size_t NoHub = static_cast<std::size_t>(-1);

/// Returns the first \p Count indices into \p Candidates, best first.
std::vector<std::size_t>
rankHolders(const StreamKey &Key,
            const std::vector<HolderCandidate> &Candidates, std::size_t Count);

} // namespace crowstep::resume

#endif // CROWSTEP_RESUME_HOLDER_RANKING_H
