/// What upstreams state about their machines.
#ifndef CROWSTEP_SPEED_MACHINE_PACES_H
#define CROWSTEP_SPEED_MACHINE_PACES_H

#include "speed/speed_type.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace crowstep::speed {

class MachinePaces {
public:
  /// A statement is not used any more after this time.
  static constexpr Duration Lifetime = std::chrono::milliseconds(300);

  /// Percentages outside of this range are ignored.
  static constexpr std::uint32_t MinPercent = 10;
  static constexpr std::uint32_t MaxPercent = 10'000;

  /// Returns whether a stated percentage is valid.
  static bool isValid(std::uint32_t Percent) {
    return Percent >= MinPercent && Percent <= MaxPercent;
  }

  /// Records a valid statement. One that is not newer than the last one is
  /// ignored.
  void record(UpstreamId Upstream, std::uint32_t Percent, TimePoint StatedAt);

  /// Returns by what factor work takes longer now than in the mean of the last
  /// seconds; 1 if there is no recent statement. Measured speeds contain that
  /// mean, so a machine that stays slow is not counted twice.
  [[nodiscard]] double slowdownOf(UpstreamId Upstream, TimePoint Now) const;

  /// Appends all recent statements.
  void appendSnapshot(TimePoint Now, std::vector<SpeedUpdate> &Out) const;

  /// Forgets the upstreams for which \p Predicate is true.
  void removeIf(const std::function<bool(UpstreamId)> &Predicate);

private:
  struct Statement {
    std::uint32_t m_Percent = 0; ///< Last one stated.
    TimePoint m_StatedAt;        ///< Time of that statement.
    double m_MeanLog = 0;        ///< Of ln(percent / 100), at m_StatedAt.
  };

  std::unordered_map<UpstreamId, Statement> m_Statements; ///< By upstream.
};

} // namespace crowstep::speed

#endif // CROWSTEP_SPEED_MACHINE_PACES_H
