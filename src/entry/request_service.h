/// Serves callers: every open request of this entry, and the shutdown.
#ifndef CROWSTEP_ENTRY_REQUEST_SERVICE_H
#define CROWSTEP_ENTRY_REQUEST_SERVICE_H

#include "entry/request.h"
#include "http/front.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace crowstep::entry {

/// What the service asks of the rest of the entry.
struct ServiceRights {
  std::function<bool()> m_RightToServe; ///< New work may be taken.
  std::function<bool()> m_Draining;     ///< The balancer should look elsewhere.
};

class RequestService {
public:
  RequestService(RequestWorld World, const Directory &Known,
                 ServiceRights Rights, Metrics &Stats);

  /// Begins to serve. \throws ListenError.
  void listen(const Address &Where);

  /// Makes the series of the classes in force.
  void tableChanged() { m_Stats.prepare(m_Directory.table()); }

  /// Refuses new requests and calls \p Done when every answer is written.
  void stop(std::function<void()> Done);

private:
  bool handleOwn(Caller &From, const RawRequest &Raw);
  void handleCall(std::unique_ptr<Caller> From, const RawRequest &Raw);
  void refuse(Caller &From, const std::string &Class, RefusalReason Reason,
              Duration RetryAfter);
  void ended(std::uint64_t Number);
  void sweep();
  void checkStopped();
  [[nodiscard]] bool ready() const;

  RequestWorld m_World;         ///< For requests.
  const Directory &m_Directory; ///< Outlives this object.
  ServiceRights m_Rights;       ///< All set.
  Metrics &m_Metrics;           ///< Outlives this object.
  EntryStats m_Stats;           ///< By class.
  Front m_Front;                ///< Towards callers; outlives the requests.
  std::unordered_map<std::uint64_t, std::unique_ptr<Request>>
      m_Requests;                                ///< Not ended.
  std::vector<std::unique_ptr<Request>> m_Ended; ///< To be destroyed.
  std::uint64_t m_LastRequest = 0;               ///< Key in m_Requests.
  Timer m_Sweep;                                 ///< Destroys what has ended.
  Timer m_StopCheck;                             ///< Runs while stopping.
  bool m_Stopping = false;                       ///< After stop().
  std::function<void()> m_StopDone;              ///< Set by stop().
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_REQUEST_SERVICE_H
