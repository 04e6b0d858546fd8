/// Failures of the logging set-up.
#ifndef CROWSTEP_CORE_LOG_ERROR_H
#define CROWSTEP_CORE_LOG_ERROR_H

#include "core/error.h"

namespace crowstep {

/// The configured log level is unknown.
class LogLevelError : public Error {
public:
  explicit LogLevelError(const std::string &Name)
      : Error("log level '" + Name + "': allowed: debug info warn error off") {}
};

} // namespace crowstep

#endif // CROWSTEP_CORE_LOG_ERROR_H
