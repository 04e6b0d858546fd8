/// An HTTP/1.1 client that tells complete answers from truncated ones and
/// whether a connection may be reused. libsoup takes a close between chunks for
/// the end of the body.
#ifndef CROWSTEP_TESTS_PROCESS_RAW_CALLER_H
#define CROWSTEP_TESTS_PROCESS_RAW_CALLER_H

#include "process/caller.h"

#include <list>
#include <set>

namespace crowstep::test {

class RawCaller {
public:
  RawCaller() = default;
  ~RawCaller();
  RawCaller(const RawCaller &) = delete;
  RawCaller &operator=(const RawCaller &) = delete;

  /// Starts a call, on an idle connection if there is one and the call allows
  /// reuse; the result is filled while the main loop runs.
  std::shared_ptr<const CallResult> start(const Call &Request);

  /// Closes all connections, idle or in use; open calls end as broken.
  void cancelAll();

private:
  struct OpenRequest;
  struct Connection;

  void openConnection(const std::shared_ptr<OpenRequest> &Exchange);
  void sendRequest(const std::shared_ptr<OpenRequest> &Exchange);
  void readResponse(const std::shared_ptr<OpenRequest> &Exchange);
  void finish(const std::shared_ptr<OpenRequest> &Exchange, bool Complete);
  void startTimeout(const std::shared_ptr<OpenRequest> &Exchange,
                    Duration Limit);

  std::map<Address, std::list<std::shared_ptr<Connection>>>
      m_IdleConnections;                                 ///< By peer.
  std::set<std::shared_ptr<OpenRequest>> m_OpenRequests; ///< Not ended.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_RAW_CALLER_H
