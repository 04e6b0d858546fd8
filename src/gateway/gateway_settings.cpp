/// Reading the gateway's settings.
#include "gateway/gateway_settings.h"

#include "core/memory_plan.h"

#include <array>

namespace crowstep::gateway {

namespace {

constexpr std::int64_t MaxSeconds = 3600;
constexpr double MaxRatio = 10;
constexpr double MaxSlack = 1e6;
constexpr double MaxWeight = 1e6;

/// Fewer leave no room for callers beside the links to other instances.
constexpr std::int64_t MinDescriptors = 64;
constexpr std::int64_t MaxDescriptors = 1'000'000'000;

Duration seconds(Settings &File, const std::string &Section,
                 const std::string &Key) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      File.number(Section, Key, 0, static_cast<double>(MaxSeconds))));
}

} // namespace

GatewaySettings readGatewaySettings(Settings &File) {
  GatewaySettings Result;
  Result.m_Name = File.text("instance", "name");
  Result.m_Zone.m_Name = File.text("instance", "zone");
  Result.m_Weight = File.number("instance", "weight", 0, MaxWeight);
  Result.m_ListenAddress = File.address("gateway", "listen");
  Result.m_LinkAddress = File.address("gateway", "links");
  Result.m_RelayAddress = File.address("gateway", "relays", Address());
  Result.m_SourceAddress = File.address("gateway", "source", Address());
  Result.m_ProbeAddress = File.address("gateway", "probes");
  Result.m_ReadinessPath = File.text("gateway", "readiness_path", "/readyz");
  Result.m_GracePeriod = seconds(File, "gateway", "grace_s");
  Result.m_Descriptors = static_cast<std::size_t>(
      File.integer("gateway", "descriptors", MinDescriptors, MaxDescriptors,
                   MaxDescriptors));
  Result.m_MemoryBytes = readMemory(File, "gateway");
  Result.m_RetryBudget.m_Ratio =
      File.number("retry_budget", "ratio", 0, MaxRatio);
  Result.m_RetryBudget.m_Slack =
      File.number("retry_budget", "slack", 0, MaxSlack);
  Result.m_RetryBudget.m_Window = seconds(File, "retry_budget", "window_s");
  constexpr std::array Modes = {speed::LearnSpeed::Stated,
                                speed::LearnSpeed::Always,
                                speed::LearnSpeed::Never};
  Result.m_LearnSpeed = Modes.at(File.choice("upstreams", "learn_speed",
                                             {"stated", "always", "never"}, 0));
  Result.m_WaitsByPrediction =
      File.choice("waiting", "by_prediction", {"never", "learned"}, 0) == 1;
  Result.m_Duties = duty::readDutySettings(File);
  return Result;
}

} // namespace crowstep::gateway
