/// Settings of stand-in engines and plain services.
#ifndef CROWSTEP_STANDIN_ENGINE_SETTINGS_H
#define CROWSTEP_STANDIN_ENGINE_SETTINGS_H

#include "core/settings.h"

#include <set>

namespace crowstep::standin {

/// Settings that engines and plain services share.
struct UpstreamSettings {
  std::string m_Name;              ///< As in the instance list.
  Address m_Listen;                ///< Address of its HTTP server.
  std::string m_Service;           ///< Service that it belongs to.
  std::size_t m_Slots = 16;        ///< Calls that run at once.
  std::size_t m_QueueLimit = 1000; ///< Waiting calls; more get "busy".
  Duration m_ReportLag{};          ///< Age of the load reports it gives.
  Duration m_ClientDelay{};        ///< Added to each call as round trip.
  Duration m_ServiceTime{};        ///< Duration of a plain service's call.
};

/// Further settings of a model engine.
struct EngineSettings : UpstreamSettings {
  Duration m_TokenTime =
      std::chrono::milliseconds(10); ///< Step of one sequence.
  double m_BatchPenalty = 0.02;      ///< Share of a step that each further
                                     ///< sequence adds.
  Duration m_PrefillPerToken{};      ///< For each uncached token.
  std::size_t m_CacheBlocks = 4096;  ///< Of 256 characters each.
  std::uint64_t m_MinTokens = 1;     ///< Shortest answer.
  double m_MedianTokens = 100;       ///< Of the log-normal answer lengths.
  double m_Sigma = 0.8;              ///< Of the log-normal answer lengths.
  std::uint64_t m_MaxTokens = 4096;  ///< Longest answer.
  std::set<std::string> m_Models;    ///< Loaded models; empty: any.
  bool m_CanResume = true;           ///< Can resume a stream.
  bool m_ChecksFencing = true; ///< Rejects orders with old fencing numbers.
};

/// Reads a section; keys that it omits are taken from [defaults].
EngineSettings readEngine(Settings &File, const std::string &Section);
UpstreamSettings readService(Settings &File, const std::string &Section);

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_ENGINE_SETTINGS_H
