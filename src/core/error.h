/// Base classes of exceptions.
///
/// Each module declares one exception type per failure in its own *_error.h. A
/// refusal to a caller is a value (RefusalReason), not an exception.
#ifndef CROWSTEP_CORE_ERROR_H
#define CROWSTEP_CORE_ERROR_H

#include <stdexcept>
#include <string>

namespace crowstep {

/// Base of crowstep's exceptions. Code tells failures apart by their type;
/// what() is for people.
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

/// A settings file is missing or not an INI file.
class SettingsFileError : public Error {
public:
  SettingsFileError(const std::string &File, const std::string &Reason)
      : Error(File + ": " + Reason) {}
};

} // namespace crowstep

#endif // CROWSTEP_CORE_ERROR_H
