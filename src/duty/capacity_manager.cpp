/// Orders engines.
#include "duty/capacity_manager.h"

#include "core/log.h"

#include <utility>

namespace crowstep::duty {

CapacityManager::CapacityManager(const CapacitySettings &Config,
                                 const Clock &Time,
                                 platform::TableService &Store,
                                 DutyCaller &Caller, CapacityView View,
                                 Metrics &Stats)
    : m_Config(Config), m_Clock(Time), m_Caller(Caller),
      m_View(std::move(View)), m_Metrics(Stats),
      m_StoredRow("capacity", Time, Store, Stats,
                  [this](const std::optional<std::string> &Text, RowUse Use) {
                    applyRow(Text, Use);
                  }) {}

void CapacityManager::run(std::optional<lease::FencingNumber> Fencing) {
  if (Fencing && m_StoredRow.setTerm(m_Caller.heldSince())) {
    m_Accepted.clear();
    m_RetryAt.clear();
  }
  if (!Fencing || m_Sending || !m_StoredRow.mayCall())
    return;
  if (!m_StoredRow.isKnown())
    m_StoredRow.load();
  else if (m_Clock.now() >= m_NextPlanAt)
    plan();
  else
    sendNext();
}

/// A holder that begins continues from the orders of a restored row, too: the
/// next plan raises them to what the load needs.
void CapacityManager::applyRow(const std::optional<std::string> &Text,
                               RowUse Use) {
  CapacityRow Stored = Text ? decodeCapacityRow(*Text) : CapacityRow();
  if (Use != RowUse::Keep)
    m_Row = std::move(Stored);
}

CapacityPlanner &CapacityManager::plannerOf(const std::string &Service) {
  return m_Planners.try_emplace(Service, m_Config).first->second;
}

/// New orders are written to the row before they are sent: the next holder must
/// know of engines that are not listed yet.
void CapacityManager::plan() {
  m_NextPlanAt = m_Clock.now() + PlanInterval;
  const std::vector<ServiceCapacity> Seen = m_View();
  CapacityRow NewRow = m_Row;
  for (const ServiceCapacity &Service : Seen) {
    const CapacityState Before = NewRow[Service.m_Service];
    const CapacityPlan Plan =
        plannerOf(Service.m_Service).plan(Service, Before, m_Clock.now());
    if (Plan.m_State == Before)
      continue;
    logPlan(Service.m_Service, Plan, Before);
    NewRow[Service.m_Service] = Plan.m_State;
  }
  forgetMissed(Seen);
  if (NewRow != m_Row || !m_StoredRow.isStored())
    m_StoredRow.write(encodeCapacityRow(NewRow));
}

/// Orders whose engines have not come, or were lost, are sent again.
void CapacityManager::forgetMissed(const std::vector<ServiceCapacity> &Seen) {
  for (const ServiceCapacity &Service : Seen)
    for (const ZoneCapacity &Zone : Service.m_Zones)
      for (const bool Spot : {false, true}) {
        const Subject About = {Service.m_Service, Zone.m_Zone, Spot};
        const unsigned Listed = Spot ? Zone.m_Spot : Zone.m_Regular;
        const auto Found = m_Accepted.find(About);
        if (Found == m_Accepted.end())
          continue;
        if (Listed < Found->second.m_Count &&
            m_Clock.now() - Found->second.m_At >=
                Service.m_Limits.m_BootTime + BootMargin)
          m_Accepted.erase(Found);
      }
}

void CapacityManager::sendNext() {
  for (const auto &[Service, State] : m_Row)
    for (const auto &[Zone, Orders] : State.m_Zones)
      for (const bool Spot : {true, false}) {
        const auto &Count = Spot ? Orders.m_Spot : Orders.m_Regular;
        if (!Count || !isDue({Service, Zone, Spot}, *Count))
          continue;
        send({Service, Zone, Spot, *Count});
        return;
      }
}

bool CapacityManager::isDue(const Subject &About, unsigned Count) const {
  const auto Found = m_Accepted.find(About);
  if (Found != m_Accepted.end() && Found->second.m_Count == Count)
    return false;
  const auto Retry = m_RetryAt.find(About);
  return Retry == m_RetryAt.end() || m_Clock.now() >= Retry->second;
}

void CapacityManager::send(const CapacityOrder &Order) {
  m_Sending = m_Caller.orderCapacity(
      Order,
      [this, Order, Alive = std::weak_ptr<bool>(m_Alive)](DutyOutcome Outcome) {
        if (!Alive.expired())
          handleSent(Order, Outcome);
      });
}

void CapacityManager::handleSent(const CapacityOrder &Order,
                                 DutyOutcome Outcome) {
  m_Sending = false;
  m_Metrics
      .counter("crowstep_capacity_orders_total",
               {{"outcome", std::string(nameOf(Outcome))}})
      .add();
  logEvent(LogEvent::CapacityOrdered,
           {{"service", Order.m_Service},
            {"zone", Order.m_Zone.m_Name},
            {"spot", Order.m_Spot ? "1" : "0"},
            {"count", std::to_string(Order.m_Count)},
            {"outcome", std::string(nameOf(Outcome))}});
  const Subject About = {Order.m_Service, Order.m_Zone, Order.m_Spot};
  if (Outcome == DutyOutcome::Accepted) {
    m_Accepted[About] = {Order.m_Count, m_Clock.now()};
    m_RetryAt.erase(About);
    return;
  }
  m_RetryAt[About] = m_Clock.now() + RetryDelay;
  if (Outcome == DutyOutcome::Unavailable) {
    plannerOf(Order.m_Service).recordUnavailable(Order.m_Zone, m_Clock.now());
    m_RetryAt[About] = m_Clock.now() + CapacityPlanner::UnavailableTime;
  }
}

void CapacityManager::logPlan(const std::string &Service,
                              const CapacityPlan &Plan,
                              const CapacityState &Before) {
  const auto TextOf = [](const std::optional<unsigned> &Count) {
    return Count ? std::to_string(*Count) : std::string("as started");
  };
  for (const auto &[Zone, Orders] : Plan.m_State.m_Zones) {
    const auto Found = Before.m_Zones.find(Zone);
    if (Found != Before.m_Zones.end() && Found->second == Orders)
      continue;
    logEvent(LogEvent::CapacityPlanned,
             {{"service", Service},
              {"zone", Zone.m_Name},
              {"regular", TextOf(Orders.m_Regular)},
              {"spot", TextOf(Orders.m_Spot)},
              {"target", std::to_string(Plan.m_State.m_Target)},
              {"ready", std::to_string(Plan.m_Ready)},
              {"mean_busy", std::to_string(static_cast<int>(Plan.m_MeanBusy))},
              {"need", std::to_string(static_cast<int>(Plan.m_Need))}});
  }
}

} // namespace crowstep::duty
