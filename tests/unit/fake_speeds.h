/// Speeds of upstreams that a test sets.
#ifndef CROWSTEP_TESTS_UNIT_FAKE_SPEEDS_H
#define CROWSTEP_TESTS_UNIT_FAKE_SPEEDS_H

#include "speed/speed_view.h"

#include <map>

namespace crowstep::test {

/// What a SpeedView says of one upstream.
struct FakeSpeed {
  double m_Speed = 1;
  int m_Class = 0;
  double m_UsableShare = 1;
  double m_Slowdown = 1;
};

/// Speeds that a test sets.
class FakeSpeeds final : public speed::SpeedView {
public:
  explicit FakeSpeeds(bool IsActive = true) : m_IsActive(IsActive) {}

  [[nodiscard]] bool isActive(PoolId) const override { return m_IsActive; }
  [[nodiscard]] double speedOf(UpstreamId Id, TimePoint) const override {
    return at(Id).m_Speed;
  }
  [[nodiscard]] int speedClassOf(UpstreamId Id) const override {
    ++m_ClassReads;
    return at(Id).m_Class;
  }
  [[nodiscard]] double usableShareOf(UpstreamId Id, TimePoint) const override {
    return at(Id).m_UsableShare;
  }
  [[nodiscard]] double machineSlowdownOf(UpstreamId Id,
                                         TimePoint) const override {
    return at(Id).m_Slowdown;
  }

  bool m_IsActive;
  std::map<UpstreamId, FakeSpeed> m_Speeds; ///< Not listed: as the mean.
  mutable int m_ClassReads = 0;             ///< Calls of speedClassOf().

private:
  [[nodiscard]] FakeSpeed at(UpstreamId Id) const {
    const auto Found = m_Speeds.find(Id);
    return Found == m_Speeds.end() ? FakeSpeed() : Found->second;
  }
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_FAKE_SPEEDS_H
