/// Targets of requests: path and query.
#include "http/request_target.h"

#include <algorithm>

namespace crowstep {

bool isSendableTarget(std::string_view Target) {
  constexpr char Delete = '\x7f';
  return !Target.empty() && std::ranges::none_of(Target, [](char Ch) {
    return static_cast<unsigned char>(Ch) <= ' ' || Ch == Delete;
  });
}

bool isSendablePath(std::string_view Path) {
  return Path.starts_with('/') && isSendableTarget(Path);
}

} // namespace crowstep
