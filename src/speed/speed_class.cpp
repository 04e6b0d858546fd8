/// Classes of speed, with hysteresis.
#include "speed/speed_class.h"

#include <cmath>

namespace crowstep::speed {

namespace {

/// Ratio of the speeds of neighbouring classes.
constexpr double ClassRatio = 1.6;

/// Distance from the middle of a class, in classes, at which an upstream leaves
/// it. Half would be no hysteresis. With 0.7 an upstream leaves the class of
/// the mean at 0.72 and 1.39 times the mean, and returns at 0.87 and 1.15
/// times.
constexpr double LeaveDistance = 0.7;

} // namespace

int nextSpeedClass(int Current, double Speed) {
  const double Position = std::log(Speed) / std::log(ClassRatio);
  return std::abs(Position - Current) < LeaveDistance
             ? Current
             : static_cast<int>(std::lround(Position));
}

} // namespace crowstep::speed
