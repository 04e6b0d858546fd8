/// Gateways under test, all with the same settings.
#include "process/gateway_fleet.h"

#include <algorithm>

namespace crowstep::test {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

Json routeJson(const std::string &Kind) {
  return {
      {"name", Kind},      {"host", "h.example"}, {"prefix", "/" + Kind + "/"},
      {"routeKind", Kind}, {"timeoutMs", 2000},   {"targetLatencyMs", 200},
      {"priority", 0},     {"service", "s"},      {"maxAttempts", 2}};
}

/// Returns a route whose streams may be resumed.
Json streamRoute() {
  Json Result = routeJson("streaming");
  Result["timeoutMs"] = 4000;
  Result["maxAttempts"] = 3;
  Result["resumable"] = true;
  Result["gapAimMs"] = 250;
  return Result;
}

} // namespace

void addSignatureHeaders(SoupServerMessage *Message) {
  SoupMessageHeaders *Headers =
      soup_server_message_get_response_headers(Message);
  soup_message_headers_replace(Headers, "X-Attempt-Id",
                               requestHeader(Message, "X-Attempt-Id").c_str());
  soup_message_headers_replace(Headers, "X-Server-Signature", "s");
}

GatewayFleet::GatewayFleet(std::size_t Count, const Json &Scaling)
    : m_Duties(m_Clock, GatewayConfig().m_LeaseTime) {
  const Address StoreAddress = freeAddress();
  const Address DutyAddress = freeAddress();
  m_Store.listen(StoreAddress);
  m_Duties.listen(DutyAddress);
  Json Service = {{"name", "s"}};
  if (!Scaling.is_null())
    Service["scaling"] = Scaling;
  const Json Table = {
      {"version", 1},
      {"routes",
       {routeJson("idempotent"), routeJson("non_idempotent"), streamRoute()}},
      {"services", Json::array({Service})},
      {"tenants", {{{"name", "w"}, {"apiKeys", {"key-1"}}}}}};
  m_Store.put("op", "config", Table.dump());
  for (std::size_t I = 0; I < Count; ++I) {
    m_Configs.push_back(
        makeGatewayConfig("edge-" + std::to_string(I), StoreAddress));
    m_Configs.back().m_DrainTime = 1200ms;
    m_Configs.back().m_SourceAddress = {
        INADDR_LOOPBACK + 1 + static_cast<std::uint32_t>(I), 0};
    m_Configs.back().m_DutyAddress = DutyAddress;
  }
}

bool GatewayFleet::startAll() {
  for (const GatewayConfig &Config : m_Configs)
    m_Processes.push_back(
        std::make_unique<Process>(m_Folder, "crowstep-gateway", Config.m_Name,
                                  gatewaySettingsText(Config), m_Limits));
  for (const GatewayConfig &Config : m_Configs)
    if (!runUntil(
            [&] {
              return m_Caller.call(readinessCall(Config)).m_Status == 200;
            },
            10s))
      return false;
  return true;
}

void GatewayFleet::killAll() { m_Processes.clear(); }

void GatewayFleet::restart(std::size_t Gateway) {
  const GatewayConfig &Config = m_Configs.at(Gateway);
  // Until the process has ended, its addresses are in use.
  m_Processes.at(Gateway)->kill();
  m_Processes.at(Gateway) =
      std::make_unique<Process>(m_Folder, "crowstep-gateway", Config.m_Name,
                                gatewaySettingsText(Config), m_Limits);
}

std::size_t GatewayFleet::numberOf(const std::string &Name) const {
  const auto Found = std::find_if(
      m_Configs.begin(), m_Configs.end(),
      [&](const GatewayConfig &Config) { return Config.m_Name == Name; });
  return static_cast<std::size_t>(Found - m_Configs.begin());
}

Call GatewayFleet::request(std::size_t Gateway, const std::string &Path,
                           const std::string &Body) {
  Call Result;
  Result.m_Address = m_Configs[Gateway % m_Configs.size()].m_ListenAddress;
  Result.m_Path = Path;
  Result.m_Body = Body;
  Result.m_Headers = {{"Host", "h.example"},
                      {"X-Attempt-Id", "a" + std::to_string(++m_RequestCount)},
                      {"X-Key", "key-1"}};
  return Result;
}

} // namespace crowstep::test
