/// Exceptions of duties.
#ifndef CROWSTEP_DUTY_DUTY_ERROR_H
#define CROWSTEP_DUTY_DUTY_ERROR_H

#include "core/error.h"

namespace crowstep::duty {

/// A row with the state of a duty can't be read.
class DutyRowError : public Error {
public:
  explicit DutyRowError(const std::string &Reason)
      : Error("cannot read row of a duty: " + Reason) {}
};

} // namespace crowstep::duty

#endif // CROWSTEP_DUTY_DUTY_ERROR_H
