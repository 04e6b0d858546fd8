/// Learns how fast each upstream works, together with the other instances.
///
/// The time of a sample is compared with the service's baseline for the
/// upstream's state, and the baseline is learned from the same samples after
/// subtraction of what is known of their upstreams. Instances exchange sums of
/// both, which can be added in any order.
#ifndef CROWSTEP_SPEED_UPSTREAM_SPEEDS_H
#define CROWSTEP_SPEED_UPSTREAM_SPEEDS_H

#include "speed/machine_paces.h"
#include "speed/speed_sums.h"
#include "speed/speed_type.h"
#include "speed/speed_view.h"
#include "speed/state_baseline.h"
#include "speed/upstream_effect.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace crowstep::speed {

/// An upstream's class has changed.
struct SpeedClassChange {
  UpstreamId m_Upstream; ///< Listed at that time; see shortId().
  int m_Before = 0;      ///< See SpeedView::speedClassOf().
  int m_Class = 0;       ///< In force.
  double m_Speed = 1;    ///< At that time.
};

/// Numbers for the metrics.
struct SpeedCounts {
  std::size_t m_Services = 0;   ///< For which speeds are learned.
  std::size_t m_Slow = 0;       ///< Upstreams slower than half the mean.
  std::size_t m_Fast = 0;       ///< Upstreams faster than twice the mean.
  std::uint64_t m_Samples = 0;  ///< Of this instance, since its start.
  std::uint64_t m_Outliers = 0; ///< Among them, those that were clamped.
  std::uint64_t m_Updates = 0;  ///< Received from other instances.
};

class UpstreamSpeeds final : public SpeedView {
public:
  /// Updates about upstreams and services that are not listed are kept for this
  /// long: another instance may have read the list before.
  static constexpr Duration UnlistedLifetime = std::chrono::seconds(3);

  void setMode(LearnSpeed Mode) { m_Mode = Mode; }

  /// Forgets the upstreams that are not in \p List, and what is known of those
  /// whose process has been replaced.
  void setUpstreams(const std::vector<Upstream> &List);

  /// Records what an upstream stated about its machine. Percentages that are
  /// out of range are ignored.
  void recordMachinePace(UpstreamId Upstream, PoolId Service,
                         std::uint32_t Percent, TimePoint Now);

  /// Adds a sample of a service for which speeds are learned; others are
  /// ignored.
  void addSample(const SpeedSample &Sample, TimePoint Now);

  /// Returns what was learned here since the last call, for the other
  /// instances, as far as the limit on its size allows (see SpeedSums).
  std::vector<SpeedUpdate> takeUpdates(TimePoint Now);

  /// Returns all that is known, for an instance that has just been linked.
  [[nodiscard]] std::vector<SpeedUpdate> snapshot(TimePoint Now) const;

  /// Applies another instance's updates. Those that are not plausible are
  /// bounded or ignored.
  void applyUpdates(const std::vector<SpeedUpdate> &Updates, TimePoint Now);

  [[nodiscard]] bool isActive(PoolId Service) const override;
  [[nodiscard]] double speedOf(UpstreamId Upstream,
                               TimePoint Now) const override;
  [[nodiscard]] int speedClassOf(UpstreamId Upstream) const override;
  [[nodiscard]] double usableShareOf(UpstreamId Upstream,
                                     TimePoint Now) const override;
  [[nodiscard]] double machineSlowdownOf(UpstreamId Upstream,
                                         TimePoint Now) const override;

  /// Returns the changes of classes since the last call.
  std::vector<SpeedClassChange> takeClassChanges();

  [[nodiscard]] SpeedCounts counts(TimePoint Now) const;

private:
  struct UpstreamEntry {
    PoolId m_Pool;               ///< Its service; not set: never listed.
    bool m_IsListed = false;     ///< Else kept for UnlistedLifetime.
    IncarnationId m_Incarnation; ///< Its process.
    UpstreamEffect m_Effect;     ///< Of this process.
    int m_Class = 0;             ///< See speedClassOf().
  };

  struct ServiceEntry {
    std::vector<UpstreamId> m_Upstreams; ///< Listed ones.
    StateBaseline m_Baseline;            ///< Of the service.
    double m_LogMean = 0; ///< ln of the mean of exp(-effect), see speedOf().
  };

  void refresh(TimePoint Now);
  void refreshService(ServiceEntry &Service, TimePoint Now);
  void applyUpdate(const UpstreamSpeedUpdate &Update, TimePoint Now);
  void applyUpdate(const ServiceSpeedUpdate &Update, TimePoint Now);
  void applyUpdate(const MachinePaceUpdate &Update, TimePoint Now);
  [[nodiscard]] const UpstreamEntry *findActive(UpstreamId Upstream) const;
  [[nodiscard]] double speedOf(const UpstreamEntry &Entry, TimePoint Now) const;
  [[nodiscard]] double logMeanOf(PoolId Service) const;

  LearnSpeed m_Mode = LearnSpeed::Stated; ///< See LearnSpeed.
  std::unordered_map<UpstreamId, UpstreamEntry> m_Upstreams; ///< Known ones.
  std::size_t m_ListedCount = 0; ///< Upstreams in the list.
  std::unordered_map<PoolId, ServiceEntry> m_Services; ///< Known ones.
  std::set<PoolId> m_Stated; ///< Services with a stated pace.
  MachinePaces m_Paces;      ///< As stated.
  std::unordered_map<UpstreamId, TimePoint>
      m_UnusualPaces;                      ///< When one was last passed on.
  SpeedSums m_Unsent{SpeedSums::OwnLimit}; ///< For the other instances.
  SpeedCounts m_Counts;                    ///< Only the totals since the start.
  std::vector<SpeedClassChange> m_ClassChanges; ///< Not taken yet.
  TimePoint m_RefreshedAt{};                    ///< See refresh().
};

} // namespace crowstep::speed

#endif // CROWSTEP_SPEED_UPSTREAM_SPEEDS_H
