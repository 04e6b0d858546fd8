/// Reads the upstreams' sections of a settings file.
#include "standin/engine_settings.h"

#include <sstream>

using namespace std::chrono_literals;

namespace crowstep::standin {

namespace {

constexpr std::int64_t Many = 1000000;

/// Reads the shared keys; the values in \p Target are the defaults.
void readCommon(Settings &File, const std::string &Section,
                UpstreamSettings &Into) {
  Into.m_Slots = static_cast<std::size_t>(File.integer(
      Section, "slots", 1, Many, static_cast<std::int64_t>(Into.m_Slots)));
  Into.m_QueueLimit = static_cast<std::size_t>(
      File.integer(Section, "queue_limit", 0, Many,
                   static_cast<std::int64_t>(Into.m_QueueLimit)));
  Into.m_ReportLag =
      File.milliseconds(Section, "report_lag_ms", 0s, 1h, Into.m_ReportLag);
  Into.m_ClientDelay = File.milliseconds(Section, "client_delay_ms", 0s, 1min,
                                         Into.m_ClientDelay);
  Into.m_ServiceTime =
      File.milliseconds(Section, "service_ms", 0s, 1h, Into.m_ServiceTime);
  Into.m_Service = File.text(Section, "service", Into.m_Service);
}

void readNames(Settings &File, const std::string &Section,
               UpstreamSettings &Into) {
  Into.m_Name = File.text(Section, "name");
  Into.m_Listen = File.address(Section, "listen");
  File.text(Section, "zone", "");
}

Duration readMicroseconds(Settings &File, const std::string &Section,
                          const std::string &Key, Duration Default) {
  return Duration(File.integer(Section, Key, 0, Many, Default.count()));
}

void readModel(Settings &File, const std::string &Section,
               EngineSettings &Into) {
  const double TokenMs = static_cast<double>(Into.m_TokenTime.count()) / 1000.0;
  Into.m_TokenTime =
      std::chrono::round<Duration>(std::chrono::duration<double, std::milli>(
          File.number(Section, "token_ms", 0.01, 10000, TokenMs)));
  Into.m_BatchPenalty =
      File.number(Section, "batch_penalty", 0, 10, Into.m_BatchPenalty);
  Into.m_PrefillPerToken = readMicroseconds(
      File, Section, "prefill_us_per_token", Into.m_PrefillPerToken);
  Into.m_CacheBlocks = static_cast<std::size_t>(
      File.integer(Section, "cache_blocks", 0, Many,
                   static_cast<std::int64_t>(Into.m_CacheBlocks)));
  Into.m_Resumes = File.boolean(Section, "resume", Into.m_Resumes);
  Into.m_ChecksFencing = File.boolean(Section, "fencing", Into.m_ChecksFencing);
}

void readLengths(Settings &File, const std::string &Section,
                 EngineSettings &Into) {
  Into.m_MinTokens = static_cast<std::uint64_t>(
      File.integer(Section, "min_tokens", 1, Many,
                   static_cast<std::int64_t>(Into.m_MinTokens)));
  Into.m_MaxTokens = static_cast<std::uint64_t>(
      File.integer(Section, "max_tokens", 1, Many,
                   static_cast<std::int64_t>(Into.m_MaxTokens)));
  Into.m_MedianTokens =
      File.number(Section, "median_tokens", 1, Many, Into.m_MedianTokens);
  Into.m_Sigma = File.number(Section, "sigma", 0, 5, Into.m_Sigma);
  std::istringstream Models(File.text(Section, "models", ""));
  for (std::string Model; std::getline(Models, Model, ';');)
    Into.m_Models.insert(Model);
}

} // namespace

EngineSettings readEngine(Settings &File, const std::string &Section) {
  EngineSettings Result;
  for (const std::string &Part : {std::string("defaults"), Section}) {
    readCommon(File, Part, Result);
    readModel(File, Part, Result);
    readLengths(File, Part, Result);
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
