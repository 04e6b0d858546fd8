/// Settings and rows around a gateway under test.
#include "process/gateway_place.h"

#include "process/process.h"

#include <arpa/inet.h>

namespace crowstep::test {

GatewayPlace gatewayPlace(const std::string &Name, const Address &Store) {
  const auto Free = [] { return Address{INADDR_LOOPBACK, freePort()}; };
  GatewayPlace Result;
  Result.m_Name = Name;
  Result.m_Listen = Free();
  Result.m_Links = Free();
  Result.m_Probes = Free();
  Result.m_Store = Store;
  return Result;
}

std::string settingsOf(const GatewayPlace &Where) {
  const auto Window =
      std::chrono::duration_cast<std::chrono::seconds>(Where.m_Retry.m_Window);
  return "[instance]\nname=" + Where.m_Name +
         "\nzone=a\nweight=1\n[gateway]\nlisten=" + toString(Where.m_Listen) +
         "\nlinks=" + toString(Where.m_Links) +
         "\nprobes=" + toString(Where.m_Probes) +
         "\nreadiness_path=/readiness\ngrace_s=" +
         std::to_string(Where.m_Grace.count()) +
         "\n[retry_budget]\nratio=" + std::to_string(Where.m_Retry.m_Ratio) +
         "\nslack=" + std::to_string(Where.m_Retry.m_Slack) +
         "\nwindow_s=" + std::to_string(Window.count()) +
         "\n[upstreams]\ndrain_ms=" + std::to_string(Where.m_Drain.count()) +
         "\n[store]\naddress=" + toString(Where.m_Store) +
         "\napply_ms=" + std::to_string(Where.m_Apply.count()) +
         "\nsettle_ms=" + std::to_string(Where.m_Settle.count()) + "\n";
}

Call readinessCall(const GatewayPlace &Where) {
  Call Result;
  Result.m_Method = "GET";
  Result.m_Where = Where.m_Probes;
  Result.m_Path = "/readiness";
  return Result;
}

std::string upstreamRow(const Address &Where, unsigned Slots,
                        const std::string &State) {
  return nlohmann::json{{"service", "s"},
                        {"address", toString(Where)},
                        {"zone", "a"},
                        {"slots", Slots},
                        {"state", State}}
      .dump();
}

} // namespace crowstep::test
