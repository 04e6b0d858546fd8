/// Orders engines while this instance holds the lease on the duties.
#ifndef CROWSTEP_DUTY_CAPACITY_MANAGER_H
#define CROWSTEP_DUTY_CAPACITY_MANAGER_H

#include "duty/capacity_row.h"
#include "duty/duty_caller.h"
#include "duty/duty_row.h"

namespace crowstep::duty {

/// Returns the services whose engines are ordered, as this instance sees them.
using CapacityView = std::function<std::vector<ServiceCapacity>()>;

class CapacityManager {
public:
  /// Interval of plans.
  static constexpr Duration PlanInterval = std::chrono::milliseconds(500);

  /// Delay before an order is repeated that has not succeeded.
  static constexpr Duration RetryDelay = std::chrono::milliseconds(500);

  /// An order is repeated if its engines are not there this long after the time
  /// that they take to start: engines may have been lost meanwhile.
  static constexpr Duration BootMargin = std::chrono::seconds(1);

  /// Everything outlives this object.
  CapacityManager(const CapacitySettings &Config, const Clock &Time,
                  platform::TableService &Store, DutyCaller &Caller,
                  CapacityView View, Metrics &Stats);
  CapacityManager(const CapacityManager &) = delete;
  CapacityManager &operator=(const CapacityManager &) = delete;

  /// Does what is due; to be called several times a second, with the number of
  /// the lease while this instance holds it.
  void run(std::optional<lease::FencingNumber> Fencing);

private:
  /// Service, zone and kind of engines that an order is about.
  struct Subject {
    std::string m_Service;   ///< Of the engines.
    AvailabilityZone m_Zone; ///< Where they run.
    bool m_Spot = false;     ///< Kind of engines.

    // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
    auto operator<=>(const Subject &) const = default;
  };

  /// An order that the platform has accepted.
  struct Accepted {
    unsigned m_Count = 0; ///< Of engines.
    TimePoint m_At;       ///< Time of the answer.
  };

  void applyRow(const std::optional<std::string> &Text, RowUse Use);
  void plan();
  void forgetMissed(const std::vector<ServiceCapacity> &Seen);
  void sendNext();
  [[nodiscard]] bool isDue(const Subject &About, unsigned Count) const;
  void send(const CapacityOrder &Order);
  void handleSent(const CapacityOrder &Order, DutyOutcome Outcome);
  CapacityPlanner &plannerOf(const std::string &Service);
  static void logPlan(const std::string &Service, const CapacityPlan &Plan,
                      const CapacityState &Before);

  CapacitySettings m_Config; ///< As given.
  const Clock &m_Clock;      ///< Outlives this object.
  DutyCaller &m_Caller;      ///< Sends the orders.
  CapacityView m_View;       ///< Never empty.
  Metrics &m_Metrics;        ///< Outlives this object.
  DutyRow m_StoredRow;       ///< Reads and writes m_Row.
  CapacityRow m_Row;         ///< While m_StoredRow is known.
  std::map<std::string, CapacityPlanner> m_Planners; ///< By service.
  std::map<Subject, Accepted> m_Accepted; ///< Orders known to be in force.
  std::map<Subject, TimePoint> m_RetryAt; ///< Orders that failed.
  TimePoint m_NextPlanAt{};               ///< No plan before.
  bool m_Sending = false;                 ///< An order is in flight.

  /// Expires with this object: callbacks that come later do nothing.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace crowstep::duty

#endif // CROWSTEP_DUTY_CAPACITY_MANAGER_H
