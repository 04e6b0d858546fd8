/// Settings of the duties.
#ifndef CROWSTEP_DUTY_DUTY_SETTINGS_H
#define CROWSTEP_DUTY_DUTY_SETTINGS_H

#include "core/settings.h"
#include "duty/capacity_type.h"

#include <optional>

namespace crowstep::duty {

/// Settings of the usage reports.
struct UsageSettings {
  Duration m_Window{};   ///< Length of a window, > 0.
  Duration m_DueAfter{}; ///< A report is due this long after its window's end.

  /// Returns how long the counts of a window are collected after its end: long
  /// enough for a broken link to be noticed and opened again, and short enough
  /// for a successor to take over from a holder that is lost meanwhile.
  [[nodiscard]] Duration collectTime() const { return m_DueAfter * 2 / 5; }
};

struct DutySettings {
  Duration m_LeaseDuration{};                 ///< > 0.
  double m_MaxCallsPerSecond = 1;             ///< From all instances, > 0.
  std::optional<UsageSettings> m_Usage;       ///< None: usage is not reported.
  std::optional<CapacitySettings> m_Capacity; ///< None: no engines are ordered.
};

/// Reads the section "duties"; none if there is no such section.
/// \throws SettingError.
std::optional<DutySettings> readDutySettings(Settings &File);

} // namespace crowstep::duty

#endif // CROWSTEP_DUTY_DUTY_SETTINGS_H
