/// Settings of stand-in engines and plain services.
#ifndef CROWSTEP_STANDIN_ENGINE_SETTINGS_H
#define CROWSTEP_STANDIN_ENGINE_SETTINGS_H

#include "core/settings.h"

#include <set>

namespace crowstep::standin {

/// What an upstream of either kind needs.
struct UpstreamSettings {
  std::string m_Name;              ///< As in the instance list.
  Address m_Listen;                ///< Of its HTTP server.
  std::string m_Service;           ///< Service that it belongs to.
  std::size_t m_Slots = 16;        ///< Calls at once.
  std::size_t m_QueueLimit = 1000; ///< Waiting calls before "busy".
  Duration m_ReportLag{};          ///< Age of its load reports.
  Duration m_ClientDelay{};        ///< Round trip added to each call.
  Duration m_ServiceTime{};        ///< Of one call of a plain service.
};

/// What a model engine needs besides.
struct EngineSettings : UpstreamSettings {
  Duration m_TokenTime = std::chrono::milliseconds(10); ///< Step of one.
  double m_BatchPenalty = 0.02;     ///< Added share of a step, each further.
  Duration m_PrefillPerToken{};     ///< For each token that is not cached.
  std::size_t m_CacheBlocks = 4096; ///< Of 256 characters each.
  std::uint64_t m_MinTokens = 1;    ///< Shortest answer.
  double m_MedianTokens = 100;      ///< Of the log-normal lengths.
  double m_Sigma = 0.8;             ///< Of the log-normal lengths.
  std::uint64_t m_MaxTokens = 4096; ///< Longest answer.
  std::set<std::string> m_Models;   ///< Empty: any model.
  bool m_Resumes = true;            ///< Continues from given tokens.
  bool m_ChecksFencing = true;      ///< Refuses old fencing numbers.
};

/// Reads a section; what it leaves out is taken from [defaults].
EngineSettings readEngine(Settings &File, const std::string &Section);
UpstreamSettings readService(Settings &File, const std::string &Section);

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_ENGINE_SETTINGS_H
