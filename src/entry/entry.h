/// The entry daemon: relays callers' requests to upstreams.
#ifndef CROWSTEP_ENTRY_ENTRY_H
#define CROWSTEP_ENTRY_ENTRY_H

#include "claim/claim_client.h"
#include "core/program.h"
#include "entry/dispatcher_placement.h"
#include "entry/request_service.h"

namespace crowstep::entry {

class Entry final : public Daemon {
public:
  explicit Entry(EntrySettings Config);

  void start() override;
  void stop(std::function<void()> Done) override;

private:
  LocalPlacementConfig localPlacementConfig();
  Placement &configuredPlacement();
  void logRightChanges();
  void waitForRecords(const std::function<void()> &Done);

  EntrySettings m_Settings;          ///< As read at start.
  LoopClock m_Clock;                 ///< Clock of the event loop.
  LoopScheduler m_Timers;            ///< Timers of the event loop.
  Metrics m_Metrics;                 ///< Served at /metrics.
  Directory m_Directory;             ///< Table, upstreams, workspaces.
  PauseGuard m_PauseGuard;           ///< Detects pauses.
  DispatcherLinks m_DispatcherLinks; ///< State of the dispatchers.
  link::TcpLinks m_Links;            ///< Connections to dispatchers.
  LocalPlacement m_LocalPlacement;   ///< For baselines and without dispatchers.
  DispatcherPlacement m_DispatcherPlacement; ///< Bids to the owners of pools.
  claim::ClaimClient m_Claims;         ///< Claims through the claim homes.
  BrokenAnswerStats m_BrokenAnswers;   ///< Handles of m_Metrics.
  HttpUpstreamClient m_UpstreamClient; ///< Calls to upstreams.
  HttpClient m_HttpClient;             ///< Orders to cancel calls.
  RequestService m_Service;            ///< Serves callers.
  Timer m_RightTimer;                  ///< Checks the right to serve.
  Timer m_RecordTimer;                 ///< Runs while stop() waits for records.
  bool m_LoggedRight = false;          ///< As last logged.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_ENTRY_H
