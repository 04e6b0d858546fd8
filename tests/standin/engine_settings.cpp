/// Reads the upstreams' sections of a settings file.
#include "standin/engine_settings.h"

#include <sstream>

using namespace std::chrono_literals;

namespace crowstep::standin {

namespace {

constexpr std::int64_t MaxValue = 1000000;

/// Reads the shared keys; the values in \p Target are the defaults.
void readCommon(Settings &File, const std::string &Section,
                UpstreamSettings &Target) {
  Target.m_Slots = static_cast<std::size_t>(
      File.integer(Section, "slots", 1, MaxValue,
                   static_cast<std::int64_t>(Target.m_Slots)));
  Target.m_QueueLimit = static_cast<std::size_t>(
      File.integer(Section, "queue_limit", 0, MaxValue,
                   static_cast<std::int64_t>(Target.m_QueueLimit)));
  Target.m_ReportLag =
      File.milliseconds(Section, "report_lag_ms", 0s, 1h, Target.m_ReportLag);
  Target.m_ClientDelay = File.milliseconds(Section, "client_delay_ms", 0s, 1min,
                                           Target.m_ClientDelay);
  Target.m_ServiceTime =
      File.milliseconds(Section, "service_ms", 0s, 1h, Target.m_ServiceTime);
  Target.m_Service = File.text(Section, "service", Target.m_Service);
}

void readNames(Settings &File, const std::string &Section,
               UpstreamSettings &Target) {
  Target.m_Name = File.text(Section, "name");
  Target.m_Listen = File.address(Section, "listen");
  File.text(Section, "zone", "");
}

Duration readMicroseconds(Settings &File, const std::string &Section,
                          const std::string &Key, Duration Default) {
  return Duration(File.integer(Section, Key, 0, MaxValue, Default.count()));
}

void readModel(Settings &File, const std::string &Section,
               EngineSettings &Target) {
  const double TokenMs =
      static_cast<double>(Target.m_TokenTime.count()) / 1000.0;
  Target.m_TokenTime =
      std::chrono::round<Duration>(std::chrono::duration<double, std::milli>(
          File.number(Section, "token_ms", 0.01, 10000, TokenMs)));
  Target.m_BatchPenalty =
      File.number(Section, "batch_penalty", 0, 10, Target.m_BatchPenalty);
  Target.m_PrefillPerToken = readMicroseconds(
      File, Section, "prefill_us_per_token", Target.m_PrefillPerToken);
  Target.m_CacheBlocks = static_cast<std::size_t>(
      File.integer(Section, "cache_blocks", 0, MaxValue,
                   static_cast<std::int64_t>(Target.m_CacheBlocks)));
  Target.m_CanResume = File.boolean(Section, "resume", Target.m_CanResume);
  Target.m_ChecksFencing =
      File.boolean(Section, "fencing", Target.m_ChecksFencing);
}

void readLengths(Settings &File, const std::string &Section,
                 EngineSettings &Target) {
  Target.m_MinTokens = static_cast<std::uint64_t>(
      File.integer(Section, "min_tokens", 1, MaxValue,
                   static_cast<std::int64_t>(Target.m_MinTokens)));
  Target.m_MaxTokens = static_cast<std::uint64_t>(
      File.integer(Section, "max_tokens", 1, MaxValue,
                   static_cast<std::int64_t>(Target.m_MaxTokens)));
  Target.m_MedianTokens =
      File.number(Section, "median_tokens", 1, MaxValue, Target.m_MedianTokens);
  Target.m_Sigma = File.number(Section, "sigma", 0, 5, Target.m_Sigma);
  std::istringstream Models(File.text(Section, "models", ""));
  for (std::string Model; std::getline(Models, Model, ';');)
    Target.m_Models.insert(Model);
}

} // namespace

EngineSettings readEngine(Settings &File, const std::string &Section) {
  EngineSettings Result;
  for (const std::string &Source : {std::string("defaults"), Section}) {
    readCommon(File, Source, Result);
    readModel(File, Source, Result);
    readLengths(File, Source, Result);
  }
  readNames(File, Section, Result);
  return Result;
}

UpstreamSettings readService(Settings &File, const std::string &Section) {
  UpstreamSettings Result;
  readCommon(File, "defaults", Result);
  readCommon(File, Section, Result);
  readNames(File, Section, Result);
  return Result;
}

} // namespace crowstep::standin
