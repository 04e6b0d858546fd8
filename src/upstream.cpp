/// Pool ids.
#include "upstream_type.h"

#include <xxhash.h>

namespace crowstep {

PoolId poolIdOf(const std::string &Service, std::uint32_t Shard) {
  const std::string Text = Service + "/" + std::to_string(Shard);
  return PoolId(XXH3_64bits(Text.data(), Text.size()));
}

} // namespace crowstep
