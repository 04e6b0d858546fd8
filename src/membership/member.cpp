/// Functions on members.
#include "membership/member_func.h"

#include <array>
#include <glib.h>

namespace crowstep::membership {

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
