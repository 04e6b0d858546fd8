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
  void handleWork(UpstreamCall Call);
  void startWaitingCalls();
  void startCall(const UpstreamCall &Call);
  void finishCall(const UpstreamCall &Call, std::size_t Record);

  UpstreamSettings m_Settings;        ///< Used by m_Server, too.
  UpstreamServer m_Server;            ///< HTTP, admission, faults, reports.
  std::deque<UpstreamCall> m_Waiting; ///< For a slot, in the order of arrival.
  std::size_t m_RunningCount = 0;     ///< At most `slots`.
  std::uint64_t m_FinishedCalls = 0;  ///< Numbers the answers.
  double m_Slowdown = 1; ///< 1: normal speed; 10 makes a straggler.
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_SERVICE_SERVER_H
