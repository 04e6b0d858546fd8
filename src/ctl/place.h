/// The command "place": asks an instance where it would place a request.
#ifndef CROWSTEP_CTL_PLACE_H
#define CROWSTEP_CTL_PLACE_H

#include "ctl/admin_client.h"

#include <string>

namespace crowstep::ctl {

/// A file does not contain an HTTP request.
class RequestFileError : public Error {
public:
  explicit RequestFileError(const std::string &Reason)
      : Error("no HTTP request: " + Reason) {}
};

/// An instance has not answered as the command expects.
class PlacementUnanswered : public Error {
public:
  using Error::Error;
};

/// Returns the call that asks for the placement of the request in \p Text:
/// request line, header lines, an empty line, the body. Lines may end with LF
/// alone. Without a Content-Length the body ends with \p Text.
/// \throws RequestFileError.
AdminCall placementCall(const std::string &Text);

/// Returns the answer of an instance as text to be read from top to bottom.
/// \throws PlacementUnanswered if it is none.
std::string placementText(const std::string &Json);

} // namespace crowstep::ctl

#endif // CROWSTEP_CTL_PLACE_H
