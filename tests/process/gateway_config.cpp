/// Configuration files and store rows for a gateway under test.
#include "process/gateway_config.h"

#include "process/process.h"

#include <arpa/inet.h>

namespace crowstep::test {

GatewayConfig makeGatewayConfig(const std::string &Name, const Address &Store) {
  const auto FreeAddress = [] { return Address{INADDR_LOOPBACK, freePort()}; };
  GatewayConfig Result;
  Result.m_Name = Name;
  Result.m_ListenAddress = FreeAddress();
  Result.m_LinkAddress = FreeAddress();
  Result.m_RelayAddress = FreeAddress();
  Result.m_ProbeAddress = FreeAddress();
  Result.m_StoreAddress = Store;
  return Result;
}

std::string gatewaySettingsText(const GatewayConfig &Config) {
  const auto Window = std::chrono::duration_cast<std::chrono::seconds>(
      Config.m_RetryBudget.m_Window);
  const std::string Duties =
      Config.m_DutyAddress
          ? "[duties]\naddress=" + toString(*Config.m_DutyAddress) +
                "\nlist=usage_reporting,autoscaling\ncalls_per_s=50"
                "\nlease_ms=" +
                std::to_string(Config.m_LeaseTime.count()) +
                "\nusage_window_s=" +
                std::to_string(Config.m_UsageWindow.count()) +
                "\nusage_due_s=" + std::to_string(Config.m_UsageDue.count()) +
                "\n"
          : std::string();
  return Duties + "[instance]\nname=" + Config.m_Name +
         "\nzone=a\nweight=1\n[gateway]\nlisten=" +
         toString(Config.m_ListenAddress) +
         "\nlinks=" + toString(Config.m_LinkAddress) +
         "\nrelays=" + toString(Config.m_RelayAddress) +
         "\nsource=" + toString(Config.m_SourceAddress) +
         "\nprobes=" + toString(Config.m_ProbeAddress) +
         "\nreadiness_path=/readiness\ngrace_s=" +
         std::to_string(Config.m_GracePeriod.count()) +
         "\n[retry_budget]\nratio=" +
         std::to_string(Config.m_RetryBudget.m_Ratio) +
         "\nslack=" + std::to_string(Config.m_RetryBudget.m_Slack) +
         "\nwindow_s=" + std::to_string(Window.count()) +
         "\n[upstreams]\ndrain_ms=" +
         std::to_string(Config.m_DrainTime.count()) +
         "\n[store]\naddress=" + toString(Config.m_StoreAddress) +
         "\napply_ms=" + std::to_string(Config.m_ApplyTime.count()) +
         "\nsettle_ms=" + std::to_string(Config.m_SettleTime.count()) + "\n";
}

Call readinessCall(const GatewayConfig &Config) {
  Call Result;
  Result.m_Method = "GET";
  Result.m_Address = Config.m_ProbeAddress;
  Result.m_Path = "/readiness";
  return Result;
}

std::string upstreamRow(const Address &Upstream, unsigned Slots,
                        const std::string &State, const std::string &Version) {
  return nlohmann::json{{"service", "s"}, {"address", toString(Upstream)},
                        {"zone", "a"},    {"version", Version},
                        {"slots", Slots}, {"state", State}}
      .dump();
}

} // namespace crowstep::test
