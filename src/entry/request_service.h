/// Serves callers: all open requests of an entry, and its shutdown.
#ifndef CROWSTEP_ENTRY_REQUEST_SERVICE_H
#define CROWSTEP_ENTRY_REQUEST_SERVICE_H

#include "entry/request.h"
#include "http/front.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace crowstep::entry {

/// Conditions that the service checks.
struct ServiceRights {
  std::function<bool()> m_RightToServe; ///< New work may be accepted.
  std::function<bool()> m_Draining;     ///< This instance is draining.
};

class RequestService {
public:
  RequestService(RequestWorld Context, const Directory &Dir,
                 ServiceRights Conditions, Metrics &Stats);

  /// Starts to serve at \p LocalAddress. \throws ListenError.
  void listen(const Address &LocalAddress);

  /// Creates the metrics of the classes in force.
  void tableChanged() { m_Stats.prepare(m_Directory.table()); }

  /// Refuses new requests, and calls \p Done when every answer is written.
  void stop(std::function<void()> Done);

private:
  bool handleOwn(Caller &Client, const RawRequest &Raw);
  void handleCall(std::unique_ptr<Caller> Client, const RawRequest &Raw);
  void refuse(Caller &Client, const std::string &Class, RefusalReason Reason,
              Duration RetryAfter);
  void ended(std::uint64_t Number);
  void sweep();
  void checkStopped();
  [[nodiscard]] bool ready() const;

  RequestWorld m_World;         ///< For requests.
  const Directory &m_Directory; ///< Outlives this object.
  ServiceRights m_Rights;       ///< None is empty.
  Metrics &m_Metrics;           ///< Outlives this object.
  EntryStats m_Stats;           ///< By class.
  Front m_Front; ///< Callers' connections; outlives the requests.
  std::unordered_map<std::uint64_t, std::unique_ptr<Request>>
      m_Requests;                                ///< Not ended; by number.
  std::vector<std::unique_ptr<Request>> m_Ended; ///< To be destroyed.
  std::uint64_t m_LastRequest = 0;  ///< Number of the last request.
  Timer m_Sweep;                    ///< Destroys ended requests.
  Timer m_StopCheck;                ///< Runs while stopping.
  bool m_Stopping = false;          ///< After stop().
  std::function<void()> m_StopDone; ///< Set by stop().
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_REQUEST_SERVICE_H
