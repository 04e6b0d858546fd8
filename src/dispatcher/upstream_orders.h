/// Operators' orders to engines: one lease for each service, taken on demand.
#ifndef CROWSTEP_DISPATCHER_UPSTREAM_ORDERS_H
#define CROWSTEP_DISPATCHER_UPSTREAM_ORDERS_H

#include "dispatcher/upstream_directory.h"
#include "lease/engine_orders.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace crowstep::dispatcher {

/// Returns the kind named "load_model", "load_adapter", "unload_model" or
/// "set_role", or nothing for another name.
std::optional<lease::OrderKind> orderKindOf(const std::string &Name);

class UpstreamOrders {
public:
  /// \p Holder must be unique to this incarnation of this process.
  UpstreamOrders(std::string Holder, const Clock &Time, Scheduler &Timers,
                 platform::TableService &Store, HttpClientInterface &Http,
                 Metrics &Stats, const UpstreamDirectory &Directory);

  /// Sends an order under the lease of the upstream's service. Returns false,
  /// and does nothing, if there is no such engine. \p Name is that of a model,
  /// an adapter or a role.
  bool order(const std::string &UpstreamName, lease::OrderKind Kind,
             const std::string &Name, lease::EngineOrders::Done OnDone);

private:
  lease::EngineOrders &ordersOf(const std::string &Service);

  std::string m_Holder;                 ///< Of the leases taken here.
  const Clock &m_Clock;                 ///< Outlives this object.
  Scheduler &m_Timers;                  ///< Outlives this object.
  platform::TableService &m_Store;      ///< Outlives this object.
  HttpClientInterface &m_HttpClient;    ///< Outlives this object.
  Metrics &m_Stats;                     ///< Outlives this object.
  const UpstreamDirectory &m_Directory; ///< Outlives this object.
  std::map<std::string, std::unique_ptr<lease::EngineOrders>>
      m_ByService; ///< Created with the first order.
};

} // namespace crowstep::dispatcher

#endif // CROWSTEP_DISPATCHER_UPSTREAM_ORDERS_H
