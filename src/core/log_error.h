/// Failures of setting up logs.
#ifndef CROWSTEP_CORE_LOG_ERROR_H
#define CROWSTEP_CORE_LOG_ERROR_H

#include "core/error.h"

namespace crowstep {

/// A log level that does not exist.
class LogLevelError : public Error {
public:
  explicit LogLevelError(const std::string &Name)
      : Error("log level '" + Name + "': allowed: debug info warn error off") {}
};

} // namespace crowstep

#endif // CROWSTEP_CORE_LOG_ERROR_H
