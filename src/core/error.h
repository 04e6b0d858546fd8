/// Base of every failure type.
///
/// Each module declares one exception type a failure in its own *_error.h; a
/// refusal to a caller is a value (RefusalReason), not an exception.
#ifndef CROWSTEP_CORE_ERROR_H
#define CROWSTEP_CORE_ERROR_H

#include <stdexcept>
#include <string>

namespace crowstep {

/// Root of crowstep's exceptions; what() is for people, the type for code.
class Error : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// A setting is missing, unknown or out of range.
class SettingError : public Error {
public:
  SettingError(const std::string &File, const std::string &Section,
               const std::string &Key, const std::string &Value,
               const std::string &Allowed)
      : Error(File + ": [" + Section + "] " + Key + " = '" + Value +
              "': allowed: " + Allowed) {}
};

/// A settings file is missing or no INI file.
class SettingsFileError : public Error {
public:
  SettingsFileError(const std::string &File, const std::string &Reason)
      : Error(File + ": " + Reason) {}
};

} // namespace crowstep

#endif // CROWSTEP_CORE_ERROR_H
