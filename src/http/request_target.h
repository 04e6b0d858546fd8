/// Targets of requests: path and query.
#ifndef CROWSTEP_HTTP_REQUEST_TARGET_H
#define CROWSTEP_HTTP_REQUEST_TARGET_H

#include <string_view>

namespace crowstep {

/// Returns whether a target may stand in a request line: blanks and control
/// characters would end it early.
[[nodiscard]] bool isSendableTarget(std::string_view Target);

/// Returns whether \p Path may be a request's path and query.
[[nodiscard]] bool isSendablePath(std::string_view Path);

} // namespace crowstep

#endif // CROWSTEP_HTTP_REQUEST_TARGET_H
