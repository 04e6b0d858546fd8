/// The request that an upstream gets for a caller's request.
#include "gateway/upstream_request.h"

#include "gateway/forward_limits.h"

namespace crowstep::gateway {

UpstreamRequest makeUpstreamRequest(const HeaderCodec &Codec,
                                    const IncomingRequest &Request,
                                    const AdmittedRequest &Admitted,
                                    const UpstreamAttempt &Attempt) {
  AttemptFacts Facts;
  Facts.m_TimeLeft = Attempt.m_TimeLeft;
  Facts.m_Upstream = Attempt.m_Placement.m_Name;
  Facts.m_Workspace = Admitted.m_Workspace;
  Facts.m_Priority = Admitted.m_EngineRank;
  Facts.m_LastEventId = Attempt.m_LastEventId;
  UpstreamRequest Result;
  Result.m_Address = Attempt.m_Placement.m_Address;
  Result.m_Method = Request.m_Method;
  Result.m_Path = Request.m_Target;
  Result.m_Headers =
      Codec.writeRequest(endToEndHeaders(Request.m_Headers), Facts);
  Result.m_Body = Request.m_Body;
  Result.m_Repeatable = mayRunAgain(Admitted.m_Route->m_Kind);
  if (std::holds_alternative<EventStream>(Admitted.m_Route->m_Kind) &&
      Result.m_Repeatable)
    Result.m_ProcessCheck = Codec.processCheck(Attempt.m_Placement);
  Result.m_SendDeadline = Attempt.m_Deadline;
  Result.m_ConnectTimeout = ConnectTimeout;
  return Result;
}

ContentHash contentHashOf(const IncomingRequest &Request,
                          const AdmittedRequest &Admission) {
  const std::string *Host = findHeader(Request.m_Headers, "Host");
  return crowstep::contentHashOf(
      {Request.m_Method, Host == nullptr ? std::string_view() : *Host,
       Request.m_Target, Admission.m_Workspace, Request.m_Body});
}

} // namespace crowstep::gateway
