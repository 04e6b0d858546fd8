/// Commands of the load tool and their command lines.
#ifndef CROWSTEP_LOAD_LOAD_COMMAND_H
#define CROWSTEP_LOAD_LOAD_COMMAND_H

#include "core/program.h"
#include "load/experiment.h"

#include <string>
#include <variant>
#include <vector>

namespace crowstep::load {

/// Sends load to targets and writes a result file: the commands `run`, whose
/// plan is given by options, and `experiment`, whose plan is read from files.
struct SendCommand {
  Experiment m_Plan;              ///< Requests to send.
  std::vector<Address> m_Targets; ///< Entries, or engines directly.
  std::string m_Policy; ///< Compared policy; names its rows and plot columns.
  std::string m_ResultFile; ///< Result file; empty: none.
  bool m_CheckOnly = false; ///< Validate the plan and exit.
};

/// Writes a report on result files.
struct ReportCommand {
  std::vector<std::string> m_ResultFiles; ///< Paths of the input.
  std::string m_Folder;                   ///< Output directory.
};

/// Usage text of the program.
inline constexpr const char *Usage =
    "crowstep-load run|experiment|report [--help]: sends load and reports";

using Command = std::variant<SendCommand, ReportCommand>;

/// Parses the command line. \throws UsageError, and the errors of
/// readExperiment().
Command parseCommand(int Argc, char **Argv);

/// Runs a command to its end.
ExitCode execute(const Command &Parsed);

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_LOAD_COMMAND_H
