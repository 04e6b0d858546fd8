/// What all daemons share: command line, settings, signals, the main loop.
#ifndef CROWSTEP_CORE_PROGRAM_H
#define CROWSTEP_CORE_PROGRAM_H

#include "core/settings.h"

#include <functional>
#include <string>

namespace crowstep {

/// Exit codes of all programs.
enum class ExitCode : int {
  Success = 0,  ///< Everything done; nothing was cut.
  Failure = 1,  ///< The work failed.
  BadInput = 2, ///< Command line, settings or table are wrong.
  Cut = 3,      ///< A stop limit or a second signal cut work short.
};

/// A daemon as runDaemon() drives it.
class Daemon {
public:
  virtual ~Daemon() = default;

  /// Begins to serve. \throws Error when it can't.
  virtual void start() = 0;

  /// Takes no more work and calls \p Done when the last has ended.
  virtual void stop(std::function<void()> Done) = 0;

  /// Takes changed settings into force. \throws Error and changes nothing when
  /// it can't. What can't change while it runs is read and left as it is.
  virtual void reload(Settings & /*File*/) {}
};

/// Makes a daemon from its settings; reads every setting it knows.
using DaemonFactory = std::function<std::unique_ptr<Daemon>(Settings &)>;

/// Runs the program \p Name: parses the command line (--config FILE, --check,
/// --help, --version), checks the settings, serves until SIGTERM or SIGINT and
/// then stops gracefully; [daemon] stop_limit_ms or a second signal ends that.
/// SIGHUP, and a change of the file that no signal tells of, reload the
/// settings. Without --config the variable CROWSTEP_CONFIG names the file.
/// Returns the exit code.
int runDaemon(int Argc, char **Argv, const std::string &Name,
              const std::string &Purpose, const DaemonFactory &Factory);

/// Returns the version of this build.
std::string versionText();

} // namespace crowstep

#endif // CROWSTEP_CORE_PROGRAM_H
