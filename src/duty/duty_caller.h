/// Sends the calls of duties under the lease, at a limited rate.
#ifndef CROWSTEP_DUTY_DUTY_CALLER_H
#define CROWSTEP_DUTY_DUTY_CALLER_H

#include "duty/duty_type.h"
#include "lease/lease_client.h"
#include "lease/token_bucket.h"

namespace crowstep::duty {

class DutyCaller {
public:
  /// Timeout of a call as a part of the lease's duration. A call must end
  /// within what is left of the validity, two thirds of it right before a
  /// renewal.
  static constexpr int CallsInLease = 4;

  /// Share of the platform's rate that is used: its limit counts the calls of
  /// the previous holder, too.
  static constexpr double MaxRateShare = 0.5;

  /// \p MaxCallsPerSecond is the platform's limit, more than 0. Everything
  /// outlives this object.
  DutyCaller(std::string Instance, Duration LeaseDuration,
             double MaxCallsPerSecond, const Clock &Time,
             lease::LeaseClient &Lease, DutyPlatform &Platform);

  /// Returns the number under which a call could be sent now, if any.
  [[nodiscard]] std::optional<lease::FencingNumber> fencing() const {
    return m_Lease.fencingFor(m_CallTimeout);
  }

  /// Returns the number under which the lease was acquired that is held. Until
  /// it changes, no other instance has called.
  [[nodiscard]] lease::FencingNumber heldSince() const {
    return m_Lease.heldSince();
  }

  /// Returns whether no instance has called in this era of the table service
  /// before this one held the lease.
  [[nodiscard]] bool isFirstOfEra() const { return m_Lease.isFirstOfEra(); }

  /// Sends a call if the lease is held long enough and the rate allows it;
  /// returns whether it was sent. \p OnDone then runs once, later.
  bool reportUsage(const UsageReport &Report, DutyPlatform::Done OnDone);
  bool orderCapacity(const CapacityOrder &Order, DutyPlatform::Done OnDone);

private:
  [[nodiscard]] std::optional<DutyCall> makeCall();
  DutyPlatform::Done tracked(DutyPlatform::Done OnDone);

  std::string m_Instance;      ///< Of this process.
  Duration m_CallTimeout;      ///< See CallsInLease.
  const Clock &m_Clock;        ///< Outlives this object.
  lease::LeaseClient &m_Lease; ///< Outlives this object.
  DutyPlatform &m_Platform;    ///< Outlives this object.
  lease::TokenBucket m_Rate;   ///< Limits the calls.
};

} // namespace crowstep::duty

#endif // CROWSTEP_DUTY_DUTY_CALLER_H
