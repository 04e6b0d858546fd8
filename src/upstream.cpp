/// Ids of upstreams and pools.
#include "upstream_type.h"

#include <xxhash.h>

namespace crowstep {

UpstreamId upstreamIdOf(const std::string &Name) {
  return UpstreamId(XXH3_64bits(Name.data(), Name.size()));
}

PoolId poolIdOf(const std::string &Service, std::uint32_t Shard) {
  const std::string Text = Service + "/" + std::to_string(Shard);
  return PoolId(XXH3_64bits(Text.data(), Text.size()));
}

} // namespace crowstep
