/// What placement asks about the speed of upstreams.
#ifndef CROWSTEP_SPEED_SPEED_VIEW_H
#define CROWSTEP_SPEED_SPEED_VIEW_H

#include "core/clock.h"
#include "upstream_type.h"

namespace crowstep::speed {

class SpeedView {
public:
  virtual ~SpeedView() = default;

  /// Returns whether speeds are learned for the service. If not, its upstreams
  /// count as equal.
  [[nodiscard]] virtual bool isActive(PoolId Service) const = 0;

  /// Returns how fast an upstream works against the mean of its service;
  /// 0.25 to 4, 1 if nothing is known.
  [[nodiscard]] virtual double speedOf(UpstreamId Upstream,
                                       TimePoint Now) const = 0;

  /// Returns the step of that speed: positive for faster upstreams, 0 for those
  /// about as fast as the mean or not known. It changes with hysteresis.
  [[nodiscard]] virtual int speedClassOf(UpstreamId Upstream) const = 0;

  /// Returns the share of its slots up to which an upstream takes calls without
  /// slowing down; 1 if nothing else is known.
  [[nodiscard]] virtual double usableShareOf(UpstreamId Upstream,
                                             TimePoint Now) const = 0;

  /// Returns by what factor work takes longer than usual on the upstream's
  /// machine at this moment; 1 if that is not known.
  [[nodiscard]] virtual double machineSlowdownOf(UpstreamId Upstream,
                                                 TimePoint Now) const = 0;
};

} // namespace crowstep::speed

#endif // CROWSTEP_SPEED_SPEED_VIEW_H
