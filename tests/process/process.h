/// A real process under test: started, signalled and always ended.
#ifndef CROWSTEP_TESTS_PROCESS_PROCESS_H
#define CROWSTEP_TESTS_PROCESS_PROCESS_H

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>

namespace crowstep::test {

/// A folder that goes with the object.
class TemporaryFolder {
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  [[nodiscard]] const std::string &path() const { return m_Path; }

  /// Writes a file and returns its path.
  std::string write(const std::string &Name, const std::string &Text) const;

private:
  std::string m_Path; ///< Exists while the object does.
};

/// One started program. The destructor kills it, and the kernel kills it when
/// the test itself dies.
class Process {
public:
  /// Starts \p Program (relative to the build folder) with \p Settings.
  Process(const TemporaryFolder &Folder, const std::string &Program,
          const std::string &Name, const std::string &Settings);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int Number) const;

  /// Waits for the end and returns the exit code (128 + signal when killed),
  /// or nothing when it has not ended within \p Limit.
  std::optional<int> wait(Duration Limit);

  /// Kills it and waits.
  void kill();

  [[nodiscard]] bool running();
  [[nodiscard]] pid_t id() const { return m_Pid; }

  /// Returns what it has logged so far.
  [[nodiscard]] std::string log() const;

private:
  bool reap();

  std::string m_LogPath;         ///< Both output streams.
  pid_t m_Pid = 0;               ///< 0 once it has ended.
  std::optional<int> m_ExitCode; ///< Once it has ended.
};

/// Returns a loopback port that nobody else gets while this process lives.
/// Those who listen there may share it. \throws Error when there is none.
std::uint16_t freePort();

/// Runs the loop until \p Done is true; returns whether that came within
/// \p Limit. There is no plain sleep in these tests.
bool runUntil(const std::function<bool()> &Done, Duration Limit);

/// Runs the loop for \p Span; for letting faults last, never for waiting.
void runFor(Duration Span);

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_PROCESS_H
