/// Errors in the platform's answers.
#ifndef CROWSTEP_PLATFORM_PLATFORM_ERROR_H
#define CROWSTEP_PLATFORM_PLATFORM_ERROR_H

#include "core/error.h"

namespace crowstep::platform {

/// An answer of the platform violates its interface.
class PlatformAnswerError : public Error {
public:
  explicit PlatformAnswerError(const std::string &Reason)
      : Error("unexpected answer of the platform: " + Reason) {}
};

} // namespace crowstep::platform

#endif // CROWSTEP_PLATFORM_PLATFORM_ERROR_H
