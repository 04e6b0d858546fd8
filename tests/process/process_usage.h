/// What a process under test uses of its machine.
#ifndef CROWSTEP_TESTS_PROCESS_PROCESS_USAGE_H
#define CROWSTEP_TESTS_PROCESS_PROCESS_USAGE_H

#include "process/process.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <sys/types.h>

namespace crowstep::test {

/// What the tests of crowds bound a process by.
inline constexpr ProcessLimits SmallMachine = {
    .m_DataBytes = 88'000'000, .m_StackBytes = 1 << 20, .m_Descriptors = 1024};

/// Returns the resident memory of a process.
[[nodiscard]] std::size_t residentBytesOf(pid_t Pid);

/// Keeps the most that a process has used at the times of its samples.
class ProcessUsage {
public:
  /// \p Ports are those at which the process listens.
  ProcessUsage(pid_t Pid, std::set<std::uint16_t> Ports)
      : m_Pid(Pid), m_Ports(std::move(Ports)) {}

  void sample();

  /// Samples while the main loop runs until \p Done returns true, for at most
  /// \p Limit; returns whether it did.
  bool watchUntil(const std::function<bool()> &Done, Duration Limit);

  /// Returns the most memory: what is resident, and what the kernel holds
  /// unread on the connections to the process's ports.
  [[nodiscard]] std::size_t mostBytes() const { return m_MostBytes; }

  /// Returns the most open descriptors.
  [[nodiscard]] std::size_t mostDescriptors() const {
    return m_MostDescriptors;
  }

  /// Samples once more and checks that the process has stayed within
  /// SmallMachine.
  void check();

private:
  [[nodiscard]] std::size_t unreadBytes() const;
  [[nodiscard]] std::size_t openDescriptors() const;

  pid_t m_Pid;
  std::set<std::uint16_t> m_Ports;
  std::size_t m_MostBytes = 0;
  std::size_t m_MostDescriptors = 0;
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_PROCESS_USAGE_H
