/// A stand-in plain service behind HTTP.
#ifndef CROWSTEP_STANDIN_SERVICE_SERVER_H
#define CROWSTEP_STANDIN_SERVICE_SERVER_H

#include "standin/upstream_server.h"

namespace crowstep::standin {

/// One plain service: every call takes the same time, `slots` at once.
class ServiceServer {
public:
  explicit ServiceServer(UpstreamSettings With);
  void start() { m_Server.start(); }

private:
  void work(UpstreamCall Call);
  void proceed();
  void run(const UpstreamCall &Call);
  void finished(const UpstreamCall &Call, std::size_t Record);

  UpstreamSettings m_Settings;        ///< As read at the start.
  UpstreamServer m_Server;            ///< HTTP side.
  std::deque<UpstreamCall> m_Waiting; ///< In the order of arrival.
  std::size_t m_Running = 0;          ///< At most `slots`.
  std::uint64_t m_Calls = 0;          ///< Calls that ran.
  double m_Factor = 1;                ///< 10 makes a straggler.
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_SERVICE_SERVER_H
