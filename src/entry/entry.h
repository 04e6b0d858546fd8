/// The entry daemon: callers' and upstreams' connections of one instance.
#ifndef CROWSTEP_ENTRY_ENTRY_H
#define CROWSTEP_ENTRY_ENTRY_H

#include "claim/claim_client.h"
#include "core/program.h"
#include "entry/dispatcher_placement.h"
#include "entry/request_service.h"

namespace crowstep::entry {

class Entry final : public Daemon {
public:
  explicit Entry(EntrySettings Chosen);

  void start() override;
  void stop(std::function<void()> Done) override;

private:
  LocalPlacementConfig aloneConfig();
  Placement &chosenPlacement();
  void watchRight();
  void waitForRecords(const std::function<void()> &Done);

  EntrySettings m_Settings;         ///< As read.
  LoopClock m_Clock;                ///< Of this process.
  LoopScheduler m_Timers;           ///< Of this process.
  Metrics m_Metrics;                ///< Of this process.
  Directory m_Directory;            ///< Table, upstreams, workspaces.
  PauseGuard m_Guard;               ///< Notices a freeze.
  Fleet m_Fleet;                    ///< Links to dispatchers.
  link::TcpLinks m_Links;           ///< Under m_Fleet.
  LocalPlacement m_Alone;           ///< Baselines; no dispatcher reachable.
  DispatcherPlacement m_Dispatched; ///< Bids to the pools' owners.
  claim::ClaimClient m_Claims;      ///< Through the claim homes.
  HttpUpstreamCaller m_Upstream;    ///< Streamed calls.
  HttpClient m_Http;                ///< Orders to engines.
  RequestService m_Service;         ///< Callers.
  Timer m_RightCheck;               ///< Logs changes of the right.
  Timer m_RecordCheck;              ///< Runs while a stop waits for records.
  bool m_HeldRight = false;         ///< As last logged.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_ENTRY_H
