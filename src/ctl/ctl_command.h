/// Translates operators' commands to calls of the administration API.
#ifndef CROWSTEP_CTL_CTL_COMMAND_H
#define CROWSTEP_CTL_CTL_COMMAND_H

#include "ctl/admin_client.h"

#include <string>
#include <vector>

namespace crowstep::ctl {

/// A command is unknown or its arguments are invalid.
class CommandError : public Error {
public:
  using Error::Error;
};

/// A file can't be read.
class FileError : public Error {
public:
  explicit FileError(const std::string &Path) : Error("can't read " + Path) {}
};

/// Returns the contents of a file. \throws FileError.
std::string readFile(const std::string &Path);

/// Returns the call for a command and its arguments, such as {"table",
/// "check", "new.csv"}; \p ReadVersion is the table version that a change is
/// based on. \throws CommandError, FileError.
AdminCall parseCommand(const std::vector<std::string> &Arguments,
                       const std::string &ReadVersion);

/// The commands, for the help text.
extern const char *const CommandHelp;

} // namespace crowstep::ctl

#endif // CROWSTEP_CTL_CTL_COMMAND_H
