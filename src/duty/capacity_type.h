/// Plain types of the engines that are ordered from the platform.
#ifndef CROWSTEP_DUTY_CAPACITY_TYPE_H
#define CROWSTEP_DUTY_CAPACITY_TYPE_H

#include "core/clock.h"
#include "duty/duty_type.h"

#include <string>
#include <vector>

namespace crowstep::duty {

/// What the platform allows for a service's engines.
struct CapacityLimits {
  unsigned m_Min = 0;     ///< In each zone, of both kinds together.
  unsigned m_Max = 0;     ///< In each zone, of both kinds together.
  Duration m_BootTime{};  ///< From an order until the engine is listed.
  double m_SpotPrice = 1; ///< Of a spot engine, as a share of a regular one's.
};

/// The engines of a service in one zone that take calls.
struct ZoneCapacity {
  AvailabilityZone m_Zone; ///< Where they run.
  double m_Price = 1;      ///< Of a regular engine, relative to other zones.
  unsigned m_Regular = 0;  ///< Listed and not draining.
  unsigned m_Spot = 0;     ///< The same, that may be reclaimed.
};

/// A service whose engines are ordered, as one instance sees it.
struct ServiceCapacity {
  std::string m_Service;             ///< Its name.
  CapacityLimits m_Limits;           ///< Set by the operators.
  double m_BusyEngines = 0;          ///< Engines that the load keeps busy.
  std::vector<ZoneCapacity> m_Zones; ///< Where engines can be ordered.
};

/// How many engines are wanted and of which kind.
struct CapacitySettings {
  /// Engines wanted for each one that the load keeps busy in the mean: bursts
  /// come faster than engines start.
  double m_Headroom = 3;

  /// Share of the engines whose loss must leave enough.
  double m_LossShare = 0.25;

  /// Largest share of spot engines: all of them in a zone can be reclaimed at
  /// once.
  double m_MaxSpotShare = 0.9;

  /// Spot engines wanted for each regular one that they replace: all of a zone
  /// can be reclaimed while others of the zones' engines are down, too.
  double m_SpotFactor = 2;

  /// Engines that may come, and go, for others in a second: each change of the
  /// list goes to all instances. Engines that the load needs aren't limited.
  double m_MaxChangesPerSecond = 100;

  /// The mean of the load is taken over about this time, and a decrease is
  /// followed after it.
  Duration m_ShrinkDelay = std::chrono::seconds(60);
};

} // namespace crowstep::duty

#endif // CROWSTEP_DUTY_CAPACITY_TYPE_H
