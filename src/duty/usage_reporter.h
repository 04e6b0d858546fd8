/// Makes and sends the usage reports while this instance holds the lease on the
/// duties.
///
/// The platform accepts a window twice with different counts, so no window is
/// counted anew that may have been reported: its report is repeated unchanged,
/// or left out.
#ifndef CROWSTEP_DUTY_USAGE_REPORTER_H
#define CROWSTEP_DUTY_USAGE_REPORTER_H

#include "core/metrics.h"
#include "duty/duty_caller.h"
#include "duty/duty_row.h"
#include "duty/duty_settings.h"
#include "duty/usage_meter.h"
#include "duty/usage_row.h"

#include <memory>
#include <optional>

namespace crowstep::duty {

class UsageReporter {
public:
  /// Delay before a report is repeated that has not succeeded.
  static constexpr Duration RetryDelay = std::chrono::milliseconds(500);

  /// Reports that are in the row at a time; it holds a limited size.
  static constexpr std::size_t MaxPending = 4;

  /// Everything outlives this object.
  UsageReporter(const UsageSettings &Config, const Clock &Time,
                platform::TableService &Store, DutyCaller &Caller,
                UsageMeter &Meter, Metrics &Stats);
  UsageReporter(const UsageReporter &) = delete;
  UsageReporter &operator=(const UsageReporter &) = delete;

  /// Does what is due; to be called several times a second, with the number of
  /// the lease while this instance holds it.
  void run(std::optional<lease::FencingNumber> Fencing);

private:
  void applyRow(const std::optional<std::string> &Text, RowUse Use);
  void recordEra();
  [[nodiscard]] UsageRow beginAfter(const std::optional<UsageRow> &Outdated);
  [[nodiscard]] bool isDue(UsageWindow Window) const;
  void addDueReports();
  void sendFirst();
  void handleSent(const UsageReport &Report, DutyOutcome Outcome);

  UsageSettings m_Config;                ///< As given.
  const Clock &m_Clock;                  ///< Outlives this object.
  DutyCaller &m_Caller;                  ///< Sends the reports.
  UsageMeter &m_Meter;                   ///< What was counted.
  const platform::TableService &m_Store; ///< Holds the row.
  Metrics &m_Metrics;                    ///< Outlives this object.
  Counter &m_Missed;                     ///< Windows without a report.
  Counter &m_Unknown;  ///< Windows that may have been reported.
  DutyRow m_StoredRow; ///< Reads and writes m_Row.
  UsageRow m_Row;      ///< The state, while m_StoredRow is known.
  std::optional<platform::TableEra> m_Era; ///< Last one of run().
  UsageWindow m_EraSeenIn; ///< Window in which run() first met m_Era.
  bool m_Sending = false;  ///< A report is in flight.
  TimePoint m_RetryAt{};   ///< No report before.

  /// Expires with this object: callbacks that come later do nothing.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace crowstep::duty

#endif // CROWSTEP_DUTY_USAGE_REPORTER_H
