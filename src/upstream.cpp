/// Ids of upstreams and pools.
#include "upstream_type.h"

#include <algorithm>
#include <xxhash.h>

namespace crowstep {

UpstreamId upstreamIdOf(const std::string &Name) {
  return UpstreamId(XXH3_64bits(Name.data(), Name.size()));
}

PoolId poolIdOf(const std::string &Service, std::uint32_t Shard) {
  const std::string Text = Service + "/" + std::to_string(Shard);
  return PoolId(XXH3_64bits(Text.data(), Text.size()));
}

IncarnationId
incarnationOf(UpstreamId Id,
              const std::optional<std::chrono::milliseconds> &StartTime) {
  if (!StartTime)
    return IncarnationId(Id.value());
  const auto Start = static_cast<std::uint64_t>(StartTime->count());
  return IncarnationId(XXH3_64bits_withSeed(&Start, sizeof(Start), Id.value()));
}

std::uint32_t slotsOf(const Upstream &Target) {
  return std::visit(
      [](const auto &Kind) { return std::max<std::uint32_t>(1, Kind.m_Slots); },
      Target.m_Kind);
}

} // namespace crowstep
