/// Requests that upstreams began, counted by every instance for the usage
/// reports.
///
/// The counts are grow-only counters, one for each process, window and
/// workspace, and are merged by taking the larger value. So it does not matter
/// in which order, how often and over which instances they arrive.
#ifndef CROWSTEP_DUTY_USAGE_COUNTS_H
#define CROWSTEP_DUTY_USAGE_COUNTS_H

#include "duty/duty_type.h"

#include <set>
#include <tuple>
#include <vector>

namespace crowstep::duty {

/// A process that counts. A process that is started anew counts from 0, so it
/// has counters of its own.
struct UsageSource {
  InstanceId m_Instance;     ///< Where it runs.
  Incarnation m_Incarnation; ///< Of the process.

  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const UsageSource &) const = default;
};

/// One counter.
struct UsageCount {
  UsageSource m_Source;      ///< Process that counted.
  UsageWindow m_Window;      ///< When the requests began.
  std::string m_Workspace;   ///< Whose requests they are.
  std::uint64_t m_Count = 0; ///< Requests.

  bool operator==(const UsageCount &) const = default;
};

class UsageCounts {
public:
  /// Windows that are kept before the current one. The reports of earlier ones
  /// have been made or are too late.
  static constexpr std::uint64_t KeptWindows = 12;

  /// Sets the current window and drops windows that are too old. Counters of
  /// windows that are not kept, or lie ahead of the next one, are ignored.
  void setCurrentWindow(UsageWindow Current);

  /// Counts one more request in the current window.
  void add(const UsageSource &Source, const std::string &Workspace);

  /// Takes a counter that another process has sent, unless its value is known
  /// to be larger by now. Returns false for a window that is not kept.
  bool merge(const UsageCount &Received);

  /// Returns the counters that have grown since the last call.
  std::vector<UsageCount> takeChanges();

  /// Returns all counters.
  [[nodiscard]] std::vector<UsageCount> all() const;

  /// Returns the sum of a window over all processes.
  [[nodiscard]] WorkspaceCounts total(UsageWindow Window) const;

private:
  using Key = std::tuple<UsageWindow, UsageSource, std::string>;

  [[nodiscard]] bool isKept(UsageWindow Window) const;
  static UsageCount countOf(const Key &Counter, std::uint64_t Value);

  UsageWindow m_Current;                 ///< See setCurrentWindow().
  std::map<Key, std::uint64_t> m_Counts; ///< Of kept windows, none is 0.
  std::set<Key> m_Changed;               ///< Among m_Counts.
};

} // namespace crowstep::duty

#endif // CROWSTEP_DUTY_USAGE_COUNTS_H
