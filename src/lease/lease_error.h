/// Exceptions of leases.
#ifndef CROWSTEP_LEASE_LEASE_ERROR_H
#define CROWSTEP_LEASE_LEASE_ERROR_H

#include "core/error.h"

namespace crowstep::lease {

/// A lease's row can't be read.
class LeaseRowError : public Error {
public:
  explicit LeaseRowError(const std::string &Reason)
      : Error("cannot read lease row: " + Reason) {}
};

} // namespace crowstep::lease

#endif // CROWSTEP_LEASE_LEASE_ERROR_H
