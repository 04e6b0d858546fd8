/// Main program shared by all daemons.
#include "core/program.h"

#include "core/error.h"
#include "core/log.h"

#include <csignal>
#include <cstdlib>
#include <glib-unix.h>
#include <glib.h>
#include <iostream>
#include <tclap/CmdLine.h>

namespace crowstep {

namespace {

constexpr Duration DefaultStopLimit = std::chrono::seconds(600);

/// Some platforms change the settings file without sending a signal. Reading it
/// every second costs four system calls.
constexpr unsigned FileCheckSeconds = 1;

/// Returns the content of \p File, to detect changes, or an empty string if it
/// can't be read.
std::string readContent(const std::string &File) {
  char *Text = nullptr;
  gsize Size = 0;
  if (g_file_get_contents(File.c_str(), &Text, &Size, nullptr) == 0)
    return {};
  std::string Result(Text, Size);
  g_free(Text);
  return Result;
}

struct Options {
  std::string m_Config;     ///< Settings file.
  bool m_CheckOnly = false; ///< Validate the settings and exit.
};

Options parseCommandLine(int Argc, char **Argv, const std::string &Purpose) {
  TCLAP::CmdLine Line(Purpose, ' ', versionText());
  const char *EnvConfig = std::getenv("CROWSTEP_CONFIG");
  TCLAP::ValueArg<std::string> Config(
      "c", "config", "settings file (INI); default: $CROWSTEP_CONFIG",
      EnvConfig == nullptr, EnvConfig == nullptr ? "" : EnvConfig, "file",
      Line);
  TCLAP::SwitchArg Check("", "check", "validate the settings and stop", Line);
  Line.parse(Argc, Argv);
  return {Config.getValue(), Check.getValue()};
}

/// Main loop and signal handling of one daemon.
class Runner {
public:
  Runner(Daemon &Service, std::string File, Duration StopLimit)
      : m_Daemon(Service), m_File(std::move(File)),
        m_LoadedContent(readContent(m_File)), m_StopLimit(StopLimit),
        m_Loop(g_main_loop_new(nullptr, 0)) {}
  ~Runner() { g_main_loop_unref(m_Loop); }
  Runner(const Runner &) = delete;
  Runner &operator=(const Runner &) = delete;

  ExitCode run() {
    // A write to a closed connection must not end the process with SIGPIPE.
    std::signal(SIGPIPE, SIG_IGN);
    g_unix_signal_add(SIGTERM, onSignal, this);
    g_unix_signal_add(SIGINT, onSignal, this);
    g_unix_signal_add(SIGHUP, onHangUp, this);
    g_timeout_add_seconds(FileCheckSeconds, onFileCheck, this);
    m_Daemon.start();
    g_main_loop_run(m_Loop);
    return m_Code;
  }

private:
  static int onSignal(void *Data) {
    static_cast<Runner *>(Data)->handleStopSignal();
    return G_SOURCE_CONTINUE;
  }

  static int onHangUp(void *Data) {
    static_cast<Runner *>(Data)->reload();
    return G_SOURCE_CONTINUE;
  }

  static int onFileCheck(void *Data) {
    auto *Owner = static_cast<Runner *>(Data);
    if (readContent(Owner->m_File) != Owner->m_LoadedContent)
      Owner->reload();
    return G_SOURCE_CONTINUE;
  }

  /// If the file can't be read, the old settings stay in force: a half-written
  /// file must not end a process that serves.
  void reload() {
    m_LoadedContent = readContent(m_File);
    try {
      Settings File = Settings::load(m_File);
      m_Daemon.reload(File);
      logEvent(LogEvent::ProgramReloaded);
    } catch (const Error &Failure) {
      logEvent(LogEvent::ProgramReloadFailed, {{"why", Failure.what()}});
    }
  }

  static int onStopLimit(void *Data) {
    static_cast<Runner *>(Data)->forceStop();
    return G_SOURCE_REMOVE;
  }

  void handleStopSignal() {
    if (m_Stopping) {
      forceStop();
      return;
    }
    m_Stopping = true;
    logEvent(LogEvent::ProgramStopping);
    const auto Limit =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_StopLimit);
    g_timeout_add(static_cast<guint>(Limit.count()), onStopLimit, this);
    m_Daemon.stop([this] { g_main_loop_quit(m_Loop); });
  }

  void forceStop() {
    logEvent(LogEvent::ProgramCut);
    m_Code = ExitCode::Cut;
    g_main_loop_quit(m_Loop);
  }

  Daemon &m_Daemon;            ///< Outlives the runner.
  std::string m_File;          ///< Settings file.
  std::string m_LoadedContent; ///< Content of the file when it was last read.
  Duration m_StopLimit;        ///< Counted from the first signal.
  GMainLoop *m_Loop;           ///< Owned.
  bool m_Stopping = false;     ///< After the first signal.
  ExitCode m_Code = ExitCode::Success; ///< What run() returns.
};

ExitCode runChecked(const Options &CommandLine, const std::string &Name,
                    const DaemonFactory &Factory) {
  Settings File = Settings::load(CommandLine.m_Config);
  startLogging(File.text("log", "level", "info"), Name);
  const Duration StopLimit =
      File.milliseconds("daemon", "stop_limit_ms", Duration::zero(),
                        std::chrono::hours(24), DefaultStopLimit);
  const std::unique_ptr<Daemon> Service = Factory(File);
  File.rejectUnknown();
  if (CommandLine.m_CheckOnly) {
    std::cout << CommandLine.m_Config << ": valid\n";
    return ExitCode::Success;
  }
  Runner Loop(*Service, CommandLine.m_Config, StopLimit);
  logEvent(LogEvent::ProgramStarted, {{"version", versionText()}});
  const ExitCode Code = Loop.run();
  logEvent(LogEvent::ProgramStopped);
  return Code;
}

/// Ends the process without running the destructors of static objects:
/// log4cplus waits for its threads there, and if they don't end the process
/// hangs until it is killed. Nothing needs to be flushed, as log lines are
/// written at once.
[[noreturn]] void endProcess(ExitCode Code) {
#ifdef __SANITIZE_ADDRESS__
  std::exit(static_cast<int>(Code)); // LeakSanitizer runs in an exit handler.
#else
  std::quick_exit(static_cast<int>(Code));
#endif
}

} // namespace

int runDaemon(int Argc, char **Argv, const std::string &Name,
              const std::string &Purpose, const DaemonFactory &Factory) {
  try {
    const Options CommandLine = parseCommandLine(Argc, Argv, Purpose);
    const ExitCode Code = runChecked(CommandLine, Name, Factory);
    if (!CommandLine.m_CheckOnly)
      endProcess(Code);
    return static_cast<int>(Code);
  } catch (const SettingError &Failure) {
    std::cerr << Failure.what() << "\n";
    return static_cast<int>(ExitCode::BadInput);
  } catch (const SettingsFileError &Failure) {
    std::cerr << Failure.what() << "\n";
    return static_cast<int>(ExitCode::BadInput);
  } catch (const Error &Failure) {
    logEvent(LogEvent::ProgramFailed, {{"why", Failure.what()}});
    return static_cast<int>(ExitCode::Failure);
  }
}

std::string versionText() { return "0.1.0"; }

} // namespace crowstep
