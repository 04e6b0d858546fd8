/// Counts this instance's requests for the usage reports.
#ifndef CROWSTEP_DUTY_USAGE_METER_H
#define CROWSTEP_DUTY_USAGE_METER_H

#include "duty/majority_clock.h"
#include "duty/usage_counts.h"

#include <algorithm>

namespace crowstep::duty {

class UsageMeter {
public:
  /// \p Length is that of a window, more than 0; \p Time outlives this object.
  UsageMeter(UsageSource Self, Duration Length, const MajorityClock &Time)
      : m_Self(Self), m_Length(Length), m_Time(Time) {}

  /// Counts a request of \p Workspace that an upstream has begun; without a
  /// workspace it counts for nobody.
  void recordBegun(const std::string &Workspace) {
    if (Workspace.empty())
      return;
    m_Counts.setCurrentWindow(currentWindow());
    m_Counts.add(m_Self, Workspace);
  }

  /// Returns the counters, with the windows that are kept now.
  UsageCounts &counts() {
    m_Counts.setCurrentWindow(currentWindow());
    return m_Counts;
  }

  [[nodiscard]] UsageSource self() const { return m_Self; }
  [[nodiscard]] UsageWindow currentWindow() const {
    return UsageWindow(
        static_cast<std::uint64_t>(m_Time.now().time_since_epoch() / m_Length));
  }

  /// Returns how long ago a window ended; negative if it has not ended yet.
  [[nodiscard]] Duration timeSinceEnd(UsageWindow Window) const {
    // A stored row may name any window, whose end no clock can hold.
    const auto MaxWindows =
        static_cast<std::uint64_t>(Duration::max() / 2 / m_Length);
    return m_Time.now().time_since_epoch() -
           m_Length * static_cast<Duration::rep>(
                          std::min(Window.value() + 1, MaxWindows));
  }

private:
  UsageSource m_Self;          ///< This process.
  Duration m_Length;           ///< Of a window.
  const MajorityClock &m_Time; ///< Outlives this object.
  UsageCounts m_Counts;        ///< Own ones and those of other instances.
};

} // namespace crowstep::duty

#endif // CROWSTEP_DUTY_USAGE_METER_H
