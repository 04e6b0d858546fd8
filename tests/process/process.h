/// Starts and signals a real process under test, and always ends it.
#ifndef CROWSTEP_TESTS_PROCESS_PROCESS_H
#define CROWSTEP_TESTS_PROCESS_PROCESS_H

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>

namespace crowstep::test {

/// A temporary directory that is deleted with the object.
class TemporaryFolder {
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  [[nodiscard]] const std::string &path() const { return m_Path; }

  /// Writes a file into the directory and returns its path.
  std::string write(const std::string &Name, const std::string &Text) const;

private:
  std::string m_Path; ///< Absolute path of the directory.
};

/// Limits that the kernel sets a process; 0: as those of the test.
struct ProcessLimits {
  std::size_t m_DataBytes = 0;   ///< Of its heap and private mappings.
  std::size_t m_StackBytes = 0;  ///< Of each thread; part of the data.
  std::size_t m_Descriptors = 0; ///< That are open at once.
};

/// A child process. The destructor kills it, and the kernel kills it when the
/// test itself dies.
class Process {
public:
  /// Starts \p Program (relative to the build directory) with \p Settings as
  /// its configuration file. \p Name names that file and the log.
  Process(const TemporaryFolder &Folder, const std::string &Program,
          const std::string &Name, const std::string &Settings,
          const ProcessLimits &Limits = {});
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int Number) const;

  /// Runs the loop until the process has ended and returns its exit code
  /// (128 + signal number if a signal ended it), or nullopt if it has not
  /// ended within \p Limit.
  std::optional<int> wait(Duration Limit);

  /// Sends SIGKILL and waits up to 10 s for the process to end.
  void kill();

  [[nodiscard]] bool isRunning();
  [[nodiscard]] pid_t pid() const { return m_Pid; }

  /// Returns its output so far.
  [[nodiscard]] std::string log() const;

private:
  bool reap();

  std::string m_LogPath;         ///< Receives stdout and stderr.
  pid_t m_Pid = 0;               ///< 0 after the process was reaped.
  std::optional<int> m_ExitCode; ///< Set once the process has ended.
};

/// Returns a loopback TCP port that stays reserved while this process lives.
/// Processes that listen with SO_REUSEADDR can still bind it. \throws Error
/// when no port can be bound.
std::uint16_t freePort();

/// Runs the main loop until \p Done returns true; returns whether it did within
/// \p Limit. These tests wait for conditions and never just sleep.
bool runUntil(const std::function<bool()> &Done, Duration Limit);

/// Runs the main loop for \p Span. Meant to let a fault or a load last, not to
/// wait for a condition.
void runFor(Duration Span);

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_PROCESS_H
