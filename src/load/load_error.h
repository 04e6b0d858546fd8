/// Failures of the load tool.
#ifndef CROWSTEP_LOAD_LOAD_ERROR_H
#define CROWSTEP_LOAD_LOAD_ERROR_H

#include "core/error.h"

namespace crowstep::load {

/// A file of results or a table can't be read, or is none.
class LoadFileError : public Error {
public:
  LoadFileError(const std::string &File, const std::string &Why)
      : Error(File + ": " + Why) {}
};

/// An experiment names something that it does not define.
class ExperimentError : public Error {
public:
  ExperimentError(const std::string &Section, const std::string &Value,
                  const std::string &Allowed)
      : Error("[" + Section + "]: '" + Value + "': allowed: " + Allowed) {}
};

/// The command line is wrong.
class UsageError : public Error {
public:
  using Error::Error;
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_LOAD_ERROR_H
