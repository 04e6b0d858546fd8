/// Errors in addresses of instances.
#ifndef CROWSTEP_INSTANCE_ERROR_H
#define CROWSTEP_INSTANCE_ERROR_H

#include "core/error.h"

namespace crowstep {

/// A text is not a literal IPv4 address with a port.
class AddressError : public Error {
public:
  explicit AddressError(const std::string &Text)
      : Error("'" + Text + "' is not an address such as 127.0.0.1:8080") {}
};

} // namespace crowstep

#endif // CROWSTEP_INSTANCE_ERROR_H
