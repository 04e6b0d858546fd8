/// The entry daemon: callers' and upstreams' connections of one instance.
#ifndef CROWSTEP_ENTRY_ENTRY_H
#define CROWSTEP_ENTRY_ENTRY_H

#include "core/program.h"
#include "entry/dispatcher_placement.h"
#include "entry/front.h"
#include "entry/request.h"
#include "entry/unavailable_claims.h"

#include <memory>
#include <unordered_map>

namespace crowstep::entry {

class Entry final : public Daemon {
public:
  explicit Entry(EntrySettings Chosen);

  void start() override;
  void stop(std::function<void()> Done) override;

private:
  void handle(SoupServerMessage *Message, const RawRequest &Raw);
  bool handleOwn(SoupServerMessage *Message, const RawRequest &Raw);
  void handleCall(SoupServerMessage *Message, const RawRequest &Raw);
  void refuse(SoupServerMessage *Message, const std::string &Class,
              RefusalReason Reason, Duration RetryAfter);
  void ended(std::uint64_t Number);
  void sweep();
  void checkStopped();
  void watchRight();
  [[nodiscard]] bool ready() const;

  EntrySettings m_Settings;        ///< As read.
  LoopClock m_Clock;               ///< Of this process.
  LoopScheduler m_Timers;          ///< Of this process.
  Metrics m_Metrics;               ///< Of this process.
  EntryStats m_Stats;              ///< By class.
  Directory m_Directory;           ///< Table, upstreams, workspaces.
  PauseGuard m_Guard;              ///< Notices a freeze.
  Fleet m_Fleet;                   ///< Links to dispatchers.
  link::TcpLinks m_Links;          ///< Under m_Fleet.
  DispatcherPlacement m_Placement; ///< Source of slots.
  UnavailableClaims m_Claims;      ///< Until claim homes can be asked.
  HttpUpstreamCaller m_Upstream;   ///< Streamed calls.
  HttpClient m_Http;               ///< Orders to engines.
  RequestWorld m_World;            ///< All of the above, for requests.
  Front m_Front;                   ///< Towards callers.
  std::unordered_map<std::uint64_t, std::unique_ptr<Request>>
      m_Requests;                                ///< Not ended.
  std::vector<std::unique_ptr<Request>> m_Ended; ///< To be destroyed.
  std::uint64_t m_LastRequest = 0;               ///< Key in m_Requests.
  Timer m_Sweep;                                 ///< Destroys what has ended.
  Timer m_StopCheck;                             ///< Runs while stopping.
  Timer m_RightCheck;                            ///< Logs changes of the right.
  bool m_HeldRight = false;                      ///< As last logged.
  bool m_Stopping = false;                       ///< After stop().
  std::function<void()> m_StopDone;              ///< Set by stop().
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_ENTRY_H
