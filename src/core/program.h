/// Main program shared by all daemons: command line, settings, signals and main
/// loop.
#ifndef CROWSTEP_CORE_PROGRAM_H
#define CROWSTEP_CORE_PROGRAM_H

#include "core/settings.h"

#include <functional>
#include <string>

namespace crowstep {

/// Exit codes of all programs.
enum class ExitCode : int {
  Success = 0,  ///< All work was finished.
  Failure = 1,  ///< The program failed.
  BadInput = 2, ///< Command line, settings or table are wrong.
  Cut = 3,      ///< The stop limit or a second signal ended work early.
};

/// Interface of a daemon that runDaemon() runs.
class Daemon {
public:
  virtual ~Daemon() = default;

  /// Starts serving. \throws Error if it can't.
  virtual void start() = 0;

  /// Accepts no more work and calls \p Done when all pending work has ended.
  virtual void stop(std::function<void()> Done) = 0;

  /// Applies changed settings. \throws Error, having changed nothing, if it
  /// can't. Settings that can't change at run time are read but not applied.
  virtual void reload(Settings & /*File*/) {}
};

/// Creates a daemon from its settings. Must read every setting that the daemon
/// knows, as settings that nothing has read are rejected.
using DaemonFactory = std::function<std::unique_ptr<Daemon>(Settings &)>;

/// Runs the program \p Name: parses the command line (--config FILE, --check,
/// --help, --version), checks the settings, serves until SIGTERM or SIGINT and
/// then stops gracefully; [daemon] stop_limit_ms or a second signal ends the
/// stop at once. SIGHUP, or a change of the file without a signal, reloads the
/// settings. Without --config the variable CROWSTEP_CONFIG names the file.
/// Returns the exit code.
int runDaemon(int Argc, char **Argv, const std::string &Name,
              const std::string &Purpose, const DaemonFactory &Factory);

/// Returns the version of this build.
std::string versionText();

} // namespace crowstep

#endif // CROWSTEP_CORE_PROGRAM_H
