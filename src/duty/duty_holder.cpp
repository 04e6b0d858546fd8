/// Performs the duties while this instance holds the lease on them.
#include "duty/duty_holder.h"

#include "core/log.h"

namespace crowstep::duty {

namespace {

/// Allows for clocks that run at different rates.
constexpr Duration LeaseMargin = std::chrono::milliseconds(300);

/// Interval at which a candidate reads the lease of another holder.
constexpr Duration LeaseReadInterval = std::chrono::seconds(1);

lease::LeaseConfig leaseConfigOf(const DutySettings &Config,
                                 const UsageSource &Self,
                                 const std::string &Instance) {
  lease::LeaseConfig Result;
  Result.m_Key = "duties";
  Result.m_Holder = Instance + "/" + std::to_string(Self.m_Incarnation.value());
  Result.m_Duration = Config.m_LeaseDuration;
  Result.m_Margin = LeaseMargin;
  Result.m_ReadInterval = LeaseReadInterval;
  // A machine must not act again shortly after another one has acted.
  Result.m_Releases = false;
  return Result;
}

} // namespace

DutyHolder::DutyHolder(const DutySettings &Config, const UsageSource &Self,
                       const std::string &Instance, const Clock &Steady,
                       Scheduler &Timers, platform::TableService &Store,
                       DutyPlatform &Platform, UsageMeter *Meter,
                       CapacityView View, Metrics &Stats)
    : m_Lease(leaseConfigOf(Config, Self, Instance), Steady, Timers, Store,
              Stats, [this] { run(); }),
      m_Caller(Instance, Config.m_LeaseDuration, Config.m_MaxCallsPerSecond,
               Steady, m_Lease, Platform) {
  if (Meter != nullptr && Config.m_Usage)
    m_UsageReporter.emplace(*Config.m_Usage, Steady, Store, m_Caller, *Meter,
                            Stats);
  if (Config.m_Capacity && View)
    m_Capacity.emplace(*Config.m_Capacity, Steady, Store, m_Caller,
                       std::move(View), Stats);
}

/// A holder that gave the lease up as soon as a better candidate is listed
/// would leave the duties undone for the time of a lease. After a restore, it
/// alone may know what the table service has lost.
void DutyHolder::setCandidate(bool Candidate) {
  if (Candidate == m_Candidate)
    return;
  m_Candidate = Candidate;
  logEvent(LogEvent::DutyCandidate, {{"candidate", Candidate ? "1" : "0"}});
  updateWanted();
}

void DutyHolder::stop() {
  m_Stopped = true;
  updateWanted();
}

void DutyHolder::updateWanted() {
  const bool Holds =
      m_Lease.fencingFor(Duration::zero()).has_value() || m_Lease.mayContinue();
  m_Lease.setWanted(!m_Stopped && (m_Candidate || Holds));
}

void DutyHolder::run() {
  updateWanted();
  const auto Fencing = m_Caller.fencing();
  if (m_UsageReporter)
    m_UsageReporter->run(Fencing);
  if (m_Capacity)
    m_Capacity->run(Fencing);
}

} // namespace crowstep::duty
