/// Names of the reasons for which links are closed.
#include "link/link_func.h"

#include <array>

namespace crowstep::link {

const char *closeReasonName(CloseReason Reason) {
  static constexpr std::array<const char *,
                              static_cast<std::size_t>(CloseReason::Count)>
      Names = {"local",          "peer_closed",  "connect_refused",
               "connect_failed", "bad_frame",    "frame_too_large",
               "foreign",        "wrong_schema", "bad_proof",
               "handshake_slow", "backlog"};
  return Names.at(static_cast<std::size_t>(Reason));
}

} // namespace crowstep::link
