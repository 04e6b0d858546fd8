/// Decides how many engines a service has in each zone, and of which kind.
///
/// The load decides on the total: the engines that it keeps busy in the mean
/// times the headroom for bursts, plus the share that may be lost at once. Spot
/// engines take the place of regular ones, where that is cheaper, up to their
/// largest share. All of a
/// zone can be reclaimed at once, so there are as many that those of the other
/// zones are enough. A regular engine goes only once enough others are ready.
#ifndef CROWSTEP_DUTY_CAPACITY_PLANNER_H
#define CROWSTEP_DUTY_CAPACITY_PLANNER_H

#include "duty/capacity_type.h"

#include <deque>
#include <map>
#include <optional>

namespace crowstep::duty {

/// Engines ordered in one zone; none: never ordered, those that the operators
/// have started run.
struct ZoneOrders {
  std::optional<unsigned> m_Regular; ///< Regular engines.
  std::optional<unsigned> m_Spot;    ///< Engines that may be reclaimed.

  bool operator==(const ZoneOrders &) const = default;
};

/// The orders of one service that are in force.
struct CapacityState {
  /// Engines wanted in all zones together; 0: not decided yet.
  unsigned m_Target = 0;

  std::map<AvailabilityZone, ZoneOrders> m_Zones; ///< With orders.

  bool operator==(const CapacityState &) const = default;
};

/// A decision, with its basis for the logs.
struct CapacityPlan {
  CapacityState m_State; ///< Orders that are to be in force.
  unsigned m_Ready = 0;  ///< Engines that take calls.
  double m_MeanBusy = 0; ///< Engines that the load kept busy, in the mean.
  double m_Need = 0;     ///< Engines needed, at most.
};

/// Plans the engines of one service.
class CapacityPlanner {
public:
  /// A zone without spot engines is asked again after this time.
  static constexpr Duration UnavailableTime = std::chrono::seconds(3);

  /// When all machines start, engines are listed one by one. No regular engine
  /// goes until their number has not grown for this long: a count of the first
  /// few, taken for that of all, would be ordered and end the others.
  static constexpr Duration SettleTime = std::chrono::seconds(3);

  /// Engines beyond those wanted are given back after this time: a zone where
  /// spot engines were reclaimed may have some again only for moments.
  static constexpr Duration SurplusTime = std::chrono::seconds(30);

  /// Changes of more than this time are not made up for at once.
  static constexpr Duration MaxPlanSpan = std::chrono::milliseconds(500);

  explicit CapacityPlanner(const CapacitySettings &Config) : m_Config(Config) {}

  /// No spot engines can be had in \p Zone at the moment.
  void recordUnavailable(const AvailabilityZone &Zone, TimePoint Now) {
    m_UnavailableUntil[Zone] = Now + UnavailableTime;
  }

  /// Returns the plan for what is seen now and the orders in force; without a
  /// new decision these are unchanged.
  CapacityPlan plan(const ServiceCapacity &Seen, const CapacityState &InForce,
                    TimePoint Now);

private:
  /// Engines needed at some time.
  struct Need {
    TimePoint m_At;   ///< Of the observation.
    double m_Engines; ///< For the load of then.
  };

  void recordLoad(double Busy, TimePoint Now);
  void recordListing(unsigned Regular, TimePoint Now);
  [[nodiscard]] unsigned nextTarget(unsigned Target, TimePoint Now) const;
  [[nodiscard]] bool isAvailable(const AvailabilityZone &Zone,
                                 TimePoint Now) const;
  unsigned changesAllowed(TimePoint Now);
  void planSpot(const ServiceCapacity &Seen, CapacityState &State,
                unsigned MaxChanges, TimePoint Now);
  [[nodiscard]] bool usesSpot(const ServiceCapacity &Seen) const;
  [[nodiscard]] unsigned spotInEach(const ServiceCapacity &Seen,
                                    unsigned Target) const;
  [[nodiscard]] unsigned leastRegular(const ServiceCapacity &Seen,
                                      unsigned Target) const;
  void planRegular(const ServiceCapacity &Seen, CapacityState &State,
                   unsigned Surplus) const;
  void planShortage(const ServiceCapacity &Seen, CapacityState &State,
                    TimePoint Now);

  CapacitySettings m_Config;  ///< As given.
  std::deque<Need> m_Needs;   ///< Of the shrink delay, descending.
  double m_MeanBusy = 0;      ///< Of the load.
  TimePoint m_FirstLoadAt{};  ///< Of the first sample with load.
  unsigned m_MostListed = 0;  ///< Regular engines, so far.
  TimePoint m_GrownAt{};      ///< Last growth of m_MostListed.
  TimePoint m_PlannedAt{};    ///< Last plan.
  TimePoint m_SpotRaisedAt{}; ///< Last increase of spot engines.
  TimePoint m_ShortageAt{};   ///< Last order of regular ones in their place.
  std::map<AvailabilityZone, TimePoint>
      m_UnavailableUntil; ///< Zones without spot engines.
};

} // namespace crowstep::duty

#endif // CROWSTEP_DUTY_CAPACITY_PLANNER_H
