/// Configuration files and store rows for a gateway under test.
#include "process/gateway_place.h"

#include "process/process.h"

#include <arpa/inet.h>

namespace crowstep::test {

GatewayPlace gatewayPlace(const std::string &Name, const Address &Store) {
  const auto FreeAddress = [] { return Address{INADDR_LOOPBACK, freePort()}; };
  GatewayPlace Result;
  Result.m_Name = Name;
  Result.m_Listen = FreeAddress();
  Result.m_Links = FreeAddress();
  Result.m_Probes = FreeAddress();
  Result.m_Store = Store;
  return Result;
}

std::string settingsOf(const GatewayPlace &Config) {
  const auto Window =
      std::chrono::duration_cast<std::chrono::seconds>(Config.m_Retry.m_Window);
  return "[instance]\nname=" + Config.m_Name +
         "\nzone=a\nweight=1\n[gateway]\nlisten=" + toString(Config.m_Listen) +
         "\nlinks=" + toString(Config.m_Links) +
         "\nprobes=" + toString(Config.m_Probes) +
         "\nreadiness_path=/readiness\ngrace_s=" +
         std::to_string(Config.m_Grace.count()) +
         "\n[retry_budget]\nratio=" + std::to_string(Config.m_Retry.m_Ratio) +
         "\nslack=" + std::to_string(Config.m_Retry.m_Slack) +
         "\nwindow_s=" + std::to_string(Window.count()) +
         "\n[upstreams]\ndrain_ms=" + std::to_string(Config.m_Drain.count()) +
         "\n[store]\naddress=" + toString(Config.m_Store) +
         "\napply_ms=" + std::to_string(Config.m_Apply.count()) +
         "\nsettle_ms=" + std::to_string(Config.m_Settle.count()) + "\n";
}

Call readinessCall(const GatewayPlace &Config) {
  Call Result;
  Result.m_Method = "GET";
  Result.m_Where = Config.m_Probes;
  Result.m_Path = "/readiness";
  return Result;
}

std::string upstreamRow(const Address &Upstream, unsigned Slots,
                        const std::string &State) {
  return nlohmann::json{{"service", "s"},
                        {"address", toString(Upstream)},
                        {"zone", "a"},
                        {"slots", Slots},
                        {"state", State}}
      .dump();
}

} // namespace crowstep::test
