/// Hash function for rendezvous hashing.
#include "core/pair_hash.h"

#include <array>
#include <glib.h>
#include <xxhash.h>

namespace crowstep {

std::uint64_t pairHash(std::uint64_t First, std::uint64_t Second) {
  const std::array<std::uint64_t, 2> Both = {GUINT64_TO_LE(First),
                                             GUINT64_TO_LE(Second)};
  return XXH3_64bits(Both.data(), sizeof(Both));
}

} // namespace crowstep
