/// Reading the settings of the duties.
#include "duty/duty_settings.h"

namespace crowstep::duty {

namespace {

constexpr const char *Section = "duties";
constexpr Duration MinLease = std::chrono::milliseconds(500);
constexpr Duration MaxLease = std::chrono::minutes(10);
constexpr double MinCallsPerSecond = 0.1;
constexpr double MaxCallsPerSecond = 1e6;
constexpr double MaxWindowSeconds = 86400;
constexpr double MaxHeadroom = 100;
constexpr double MaxLossShare = 0.9;
constexpr double MinChangesPerSecond = 1;
constexpr double MaxChangesPerSecond = 1e6;
constexpr Duration MaxShrinkDelay = std::chrono::hours(24);

Duration seconds(double Count) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Count));
}

CapacitySettings readCapacitySettings(Settings &File) {
  CapacitySettings Result;
  Result.m_Headroom =
      File.number(Section, "headroom", 1, MaxHeadroom, Result.m_Headroom);
  Result.m_LossShare =
      File.number(Section, "loss_share", 0, MaxLossShare, Result.m_LossShare);
  Result.m_MaxSpotShare =
      File.number(Section, "max_spot_share", 0, 1, Result.m_MaxSpotShare);
  Result.m_SpotFactor =
      File.number(Section, "spot_factor", 1, MaxHeadroom, Result.m_SpotFactor);
  Result.m_MaxChangesPerSecond =
      File.number(Section, "changes_per_s", MinChangesPerSecond,
                  MaxChangesPerSecond, Result.m_MaxChangesPerSecond);
  Result.m_ShrinkDelay =
      File.milliseconds(Section, "shrink_delay_ms", Duration::zero(),
                        MaxShrinkDelay, Result.m_ShrinkDelay);
  return Result;
}

} // namespace

std::optional<DutySettings> readDutySettings(Settings &File) {
  if (File.sections(Section).empty())
    return std::nullopt;
  DutySettings Result;
  Result.m_LeaseDuration =
      File.milliseconds(Section, "lease_ms", MinLease, MaxLease);
  Result.m_MaxCallsPerSecond =
      File.number(Section, "calls_per_s", MinCallsPerSecond, MaxCallsPerSecond);
  const double Window =
      File.number(Section, "usage_window_s", 0, MaxWindowSeconds, 0.0);
  if (Window > 0)
    Result.m_Usage = {seconds(Window),
                      seconds(File.number(Section, "usage_due_s", 0,
                                          MaxWindowSeconds, Window))};
  if (File.boolean(Section, "order_engines", true))
    Result.m_Capacity = readCapacitySettings(File);
  return Result;
}

} // namespace crowstep::duty
