/// Exceptions of the HTTP code.
#ifndef CROWSTEP_HTTP_HTTP_ERROR_H
#define CROWSTEP_HTTP_HTTP_ERROR_H

#include "core/error.h"

namespace crowstep {

/// A path that can't be put into a request line.
class UpstreamUriError : public Error {
public:
  explicit UpstreamUriError(const std::string &Path)
      : Error("invalid upstream request path: " + Path) {}
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_HTTP_ERROR_H
