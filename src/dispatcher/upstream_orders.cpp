/// Sends orders to engines, by service.
#include "dispatcher/upstream_orders.h"

namespace crowstep::dispatcher {

using lease::OrderKind;

std::optional<OrderKind> orderKindOf(const std::string &Name) {
  static const std::map<std::string, OrderKind> Kinds = {
      {"load_model", OrderKind::LoadModel},
      {"load_adapter", OrderKind::LoadAdapter},
      {"unload_model", OrderKind::UnloadModel},
      {"set_role", OrderKind::SetRole}};
  const auto Found = Kinds.find(Name);
  if (Found == Kinds.end())
    return std::nullopt;
  return Found->second;
}

UpstreamOrders::UpstreamOrders(std::string Holder, const Clock &Time,
                               Scheduler &Timers, platform::TableService &Store,
                               HttpClientInterface &Http, Metrics &Stats,
                               const UpstreamDirectory &Directory)
    : m_Holder(std::move(Holder)), m_Clock(Time), m_Timers(Timers),
      m_Store(Store), m_HttpClient(Http), m_Stats(Stats),
      m_Directory(Directory) {}

lease::EngineOrders &UpstreamOrders::ordersOf(const std::string &Service) {
  std::unique_ptr<lease::EngineOrders> &Slot = m_ByService[Service];
  if (Slot == nullptr) {
    lease::OrderConfig Config;
    Config.m_Lease.m_Key = "orders/" + Service;
    Config.m_Lease.m_Holder = m_Holder;
    Slot = std::make_unique<lease::EngineOrders>(
        Config, m_Clock, m_Timers, m_Store, m_HttpClient, m_Stats);
  }
  return *Slot;
}

bool UpstreamOrders::order(const std::string &UpstreamName, OrderKind Kind,
                           const std::string &Name,
                           lease::EngineOrders::Done OnDone) {
  const Upstream *Target = m_Directory.find(upstreamIdOf(UpstreamName));
  if (Target == nullptr || !std::holds_alternative<Engine>(Target->m_Kind))
    return false;
  ordersOf(Target->m_Service)
      .order({Target->m_Address, Kind, Name}, std::move(OnDone));
  return true;
}

} // namespace crowstep::dispatcher
