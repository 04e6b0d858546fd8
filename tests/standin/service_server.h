/// A stand-in plain service with an HTTP server.
#ifndef CROWSTEP_STANDIN_SERVICE_SERVER_H
#define CROWSTEP_STANDIN_SERVICE_SERVER_H

#include "standin/upstream_server.h"

namespace crowstep::standin {

/// One plain service: each call takes the same time, at most `slots` run at
/// once.
class ServiceServer {
public:
  explicit ServiceServer(UpstreamSettings Config);
  void start() { m_Server.start(); }

private:
  void work(UpstreamCall Call);
  void proceed();
  void run(const UpstreamCall &Call);
  void finished(const UpstreamCall &Call, std::size_t Record);

  UpstreamSettings m_Settings;        ///< Used by m_Server, too.
  UpstreamServer m_Server;            ///< HTTP, admission, faults, reports.
  std::deque<UpstreamCall> m_Waiting; ///< For a slot, in the order of arrival.
  std::size_t m_Running = 0;          ///< At most `slots`.
  std::uint64_t m_Calls = 0;          ///< Numbers the answers.
  double m_Factor = 1; ///< 1: normal speed; 10 makes a straggler.
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_SERVICE_SERVER_H
