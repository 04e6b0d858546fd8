/// Errors of the load tool.
#ifndef CROWSTEP_LOAD_LOAD_ERROR_H
#define CROWSTEP_LOAD_LOAD_ERROR_H

#include "core/error.h"

namespace crowstep::load {

/// A file can't be read or written, or is not a result file.
class LoadFileError : public Error {
public:
  LoadFileError(const std::string &File, const std::string &Reason)
      : Error(File + ": " + Reason) {}
};

/// An experiment refers to a class or source that is not defined.
class ExperimentError : public Error {
public:
  ExperimentError(const std::string &Section, const std::string &Value,
                  const std::string &Allowed)
      : Error("[" + Section + "]: '" + Value + "': allowed: " + Allowed) {}
};

/// The command line is invalid.
class UsageError : public Error {
public:
  using Error::Error;
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_LOAD_ERROR_H
