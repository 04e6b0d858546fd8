/// Helpers on members.
#include "membership/member_func.h"

#include <array>
#include <glib.h>
#include <xxhash.h>

namespace crowstep::membership {

std::uint64_t pairHash(std::uint64_t First, std::uint64_t Second) {
  const std::array<std::uint64_t, 2> Both = {GUINT64_TO_LE(First),
                                             GUINT64_TO_LE(Second)};
  return XXH3_64bits(Both.data(), sizeof(Both));
}

const char *stateName(MemberState State) {
  static constexpr std::array<const char *, 4> Names = {"alive", "suspect",
                                                        "dead", "left"};
  return Names.at(static_cast<std::size_t>(State));
}

Incarnation freshIncarnation() {
  constexpr std::int64_t MicrosecondsPerMillisecond = 1000;
  return Incarnation(static_cast<std::uint64_t>(g_get_real_time() /
                                                MicrosecondsPerMillisecond));
}

} // namespace crowstep::membership
