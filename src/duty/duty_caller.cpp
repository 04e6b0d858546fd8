/// Sends the calls of duties under the lease, at a limited rate.
#include "duty/duty_caller.h"

#include <algorithm>
#include <utility>

namespace crowstep::duty {

namespace {

constexpr unsigned BurstOfCalls = 8;

Duration intervalFor(double CallsPerSecond) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / CallsPerSecond));
}

} // namespace

DutyCaller::DutyCaller(std::string Instance, Duration LeaseDuration,
                       double MaxCallsPerSecond, const Clock &Time,
                       lease::LeaseClient &Lease, DutyPlatform &Platform)
    : m_Instance(std::move(Instance)),
      m_CallTimeout(LeaseDuration / CallsInLease), m_Clock(Time),
      m_Lease(Lease), m_Platform(Platform),
      m_Rate(intervalFor(MaxCallsPerSecond * MaxRateShare),
             std::clamp(static_cast<unsigned>(MaxCallsPerSecond * MaxRateShare),
                        1U, BurstOfCalls),
             Time.now()) {}

/// The call's last check asks for the lease again: the process may be stopped
/// while the connection is made, and another instance hold the lease by then.
std::optional<DutyCall> DutyCaller::makeCall() {
  const auto Fencing = fencing();
  if (!Fencing || !m_Rate.tryTake(m_Clock.now()))
    return std::nullopt;
  m_Lease.recordCallStarted();
  return DutyCall{m_Instance, *Fencing, m_CallTimeout,
                  [this, Fencing] { return fencing() == Fencing; }};
}

DutyPlatform::Done DutyCaller::tracked(DutyPlatform::Done OnDone) {
  return [this, OnDone = std::move(OnDone)](DutyOutcome Outcome) {
    m_Lease.recordCallEnded();
    if (Outcome == DutyOutcome::Fenced)
      m_Lease.recordFenced({});
    if (Outcome == DutyOutcome::Throttled)
      m_Rate.pauseUntil(m_Clock.now() + std::chrono::seconds(1));
    OnDone(Outcome);
  };
}

bool DutyCaller::reportUsage(const UsageReport &Report,
                             DutyPlatform::Done OnDone) {
  const auto Call = makeCall();
  if (Call)
    m_Platform.reportUsage(*Call, Report, tracked(std::move(OnDone)));
  return Call.has_value();
}

bool DutyCaller::orderCapacity(const CapacityOrder &Order,
                               DutyPlatform::Done OnDone) {
  const auto Call = makeCall();
  if (Call)
    m_Platform.orderCapacity(*Call, Order, tracked(std::move(OnDone)));
  return Call.has_value();
}

} // namespace crowstep::duty
