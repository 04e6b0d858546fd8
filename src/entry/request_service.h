/// Serves callers: all open requests of an entry, and its shutdown.
#ifndef CROWSTEP_ENTRY_REQUEST_SERVICE_H
#define CROWSTEP_ENTRY_REQUEST_SERVICE_H

#include "entry/request.h"
#include "http/frontend.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace crowstep::entry {

/// Conditions that the service checks.
struct ServiceConditions {
  std::function<bool()> m_HasRightToServe; ///< New work may be accepted.
  std::function<bool()> m_IsDraining;      ///< This instance is draining.
};

class RequestService {
public:
  RequestService(RequestContext Context, const Directory &Dir,
                 ServiceConditions Conditions, Metrics &Stats);

  /// Starts to serve at \p LocalAddress. \throws ListenError.
  void listen(const Address &LocalAddress);

  /// Creates the metrics of the classes in force.
  void tableChanged() { m_Stats.createSeries(m_Directory.table()); }

  /// Refuses new requests, and calls \p Done when every answer is written and
  /// its caller has closed, or has had a second to.
  void stop(std::function<void()> Done);

private:
  bool handleOwnResource(Caller &Client, const RawRequest &Raw);
  void handleRequest(std::unique_ptr<Caller> Client, const RawRequest &Raw);
  void refuse(Caller &Client, const std::string &Class, RefusalReason Reason,
              Duration RetryAfter);
  void handleRequestEnd(std::uint64_t Number);
  void destroyEndedRequests();
  void checkStopped();
  [[nodiscard]] bool isReady() const;

  RequestContext m_Context;       ///< For requests.
  const Directory &m_Directory;   ///< Outlives this object.
  ServiceConditions m_Conditions; ///< None is empty.
  Metrics &m_Metrics;             ///< Outlives this object.
  EntryStats m_Stats;             ///< By class.
  Frontend m_Frontend; ///< Callers' connections; outlives the requests.
  std::unordered_map<std::uint64_t, std::unique_ptr<Request>>
      m_Requests; ///< Not ended; by number.
  std::vector<std::unique_ptr<Request>> m_EndedRequests; ///< To be destroyed.
  std::uint64_t m_LastRequestNumber = 0; ///< Number of the last request.
  Timer m_CleanupTimer;                  ///< Destroys ended requests.
  Timer m_StopTimer;                     ///< Runs while stopping.
  bool m_Stopping = false;               ///< After stop().
  TimePoint m_LastEndAt{};               ///< Of the last request that ended.
  std::function<void()> m_OnStopped;     ///< Set by stop().
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_REQUEST_SERVICE_H
