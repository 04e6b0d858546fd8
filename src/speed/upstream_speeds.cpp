/// Speeds of upstreams.
#include "speed/upstream_speeds.h"

namespace crowstep::speed {

void UpstreamSpeeds::setUpstreams(const std::vector<Upstream> &) {}

void UpstreamSpeeds::recordMachinePace(UpstreamId, PoolId, std::uint32_t,
                                       TimePoint) {}

void UpstreamSpeeds::addSample(const SpeedSample &, TimePoint) {}

std::vector<SpeedUpdate> UpstreamSpeeds::takeUpdates(TimePoint) { return {}; }

std::vector<SpeedUpdate> UpstreamSpeeds::snapshot(TimePoint) const {
  return {};
}

void UpstreamSpeeds::applyUpdates(const std::vector<SpeedUpdate> &, TimePoint) {
}

bool UpstreamSpeeds::isActive(PoolId) const { return false; }

double UpstreamSpeeds::speedOf(UpstreamId, TimePoint) const { return 1; }

int UpstreamSpeeds::speedClassOf(UpstreamId) const { return 0; }

double UpstreamSpeeds::usableShareOf(UpstreamId, TimePoint) const { return 1; }

double UpstreamSpeeds::machineSlowdownOf(UpstreamId, TimePoint) const {
  return 1;
}

} // namespace crowstep::speed
