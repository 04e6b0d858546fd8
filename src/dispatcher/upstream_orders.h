/// Operators' orders to engines: one lease a service, taken when needed.
#ifndef CROWSTEP_DISPATCHER_UPSTREAM_ORDERS_H
#define CROWSTEP_DISPATCHER_UPSTREAM_ORDERS_H

#include "dispatcher/upstream_directory.h"
#include "lease/engine_orders.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace crowstep::dispatcher {

/// Returns the kind called \p Name ("load_model", "load_adapter",
/// "unload_model", "set_role"), or nothing.
std::optional<lease::OrderKind> orderKindOf(const std::string &Name);

class UpstreamOrders {
public:
  /// \p Holder must differ from that of every other process ever.
  UpstreamOrders(std::string Holder, const Clock &Time, Scheduler &Timers,
                 platform::TableService &Store, HttpCaller &Http,
                 Metrics &Stats, const UpstreamDirectory &Directory);

  /// Gives an order under the lease of the upstream's service. Returns false,
  /// and does nothing, where there is no such engine.
  bool order(const std::string &UpstreamName, lease::OrderKind Kind,
             const std::string &Name, lease::EngineOrders::Done OnDone);

private:
  lease::EngineOrders &ordersOf(const std::string &Service);

  std::string m_Holder;                 ///< Of all leases taken here.
  const Clock &m_Clock;                 ///< Outlives this object.
  Scheduler &m_Timers;                  ///< Outlives this object.
  platform::TableService &m_Store;      ///< Outlives this object.
  HttpCaller &m_Http;                   ///< Outlives this object.
  Metrics &m_Stats;                     ///< Outlives this object.
  const UpstreamDirectory &m_Directory; ///< Outlives this object.
  std::map<std::string, std::unique_ptr<lease::EngineOrders>>
      m_ByService; ///< Made with a service's first order.
};

} // namespace crowstep::dispatcher

#endif // CROWSTEP_DISPATCHER_UPSTREAM_ORDERS_H
