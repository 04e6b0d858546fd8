/// The load tool's commands and their command lines.
#ifndef CROWSTEP_LOAD_LOAD_COMMAND_H
#define CROWSTEP_LOAD_LOAD_COMMAND_H

#include "core/program.h"
#include "load/experiment.h"

#include <string>
#include <variant>
#include <vector>

namespace crowstep::load {

/// Sends load to some targets and writes a result file: commands `run`, whose
/// plan stands on the command line, and `experiment`, whose plan is a file.
struct SendCommand {
  Experiment m_Plan;              ///< What is sent.
  std::vector<Address> m_Targets; ///< Entries, or engines themselves.
  std::string m_Policy;           ///< Column of the report.
  std::string m_Out;              ///< Result file; empty: none.
  bool m_CheckOnly = false;       ///< Validate and stop.
};

/// Writes the report over result files.
struct ReportCommand {
  std::vector<std::string> m_Results; ///< Result files.
  std::string m_Folder;               ///< Where the report goes.
};

/// What the program is for and which commands it has.
inline constexpr const char *Usage =
    "crowstep-load run|experiment|report [--help]: sends load and reports";

using Command = std::variant<SendCommand, ReportCommand>;

/// Reads the command line. \throws UsageError, and what reading the
/// experiment throws.
Command parseCommand(int Argc, char **Argv);

/// Carries out a command.
ExitCode execute(const Command &What);

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_LOAD_COMMAND_H
