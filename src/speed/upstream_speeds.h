/// Learns how fast each upstream works, together with the other instances.
#ifndef CROWSTEP_SPEED_UPSTREAM_SPEEDS_H
#define CROWSTEP_SPEED_UPSTREAM_SPEEDS_H

#include "speed/speed_type.h"
#include "speed/speed_view.h"

#include <vector>

namespace crowstep::speed {

class UpstreamSpeeds final : public SpeedView {
public:
  void setMode(LearnSpeed Mode) { m_Mode = Mode; }

  /// Forgets the upstreams that are not in \p List.
  void setUpstreams(const std::vector<Upstream> &List);

  void recordMachinePace(UpstreamId Upstream, PoolId Service,
                         std::uint32_t Percent, TimePoint Now);
  void addSample(const SpeedSample &Sample, TimePoint Now);

  /// Returns what was learned here since the last call, for the other
  /// instances.
  std::vector<SpeedUpdate> takeUpdates(TimePoint Now);

  /// Returns all that is known, for an instance that has just been linked.
  [[nodiscard]] std::vector<SpeedUpdate> snapshot(TimePoint Now) const;

  void applyUpdates(const std::vector<SpeedUpdate> &Updates, TimePoint Now);

  [[nodiscard]] bool isActive(PoolId Service) const override;
  [[nodiscard]] double speedOf(UpstreamId Upstream,
                               TimePoint Now) const override;
  [[nodiscard]] int speedClassOf(UpstreamId Upstream) const override;
  [[nodiscard]] double usableShareOf(UpstreamId Upstream,
                                     TimePoint Now) const override;
  [[nodiscard]] double machineSlowdownOf(UpstreamId Upstream,
                                         TimePoint Now) const override;

private:
  LearnSpeed m_Mode = LearnSpeed::Stated; ///< See LearnSpeed.
};

} // namespace crowstep::speed

#endif // CROWSTEP_SPEED_UPSTREAM_SPEEDS_H
