/// The request that an upstream gets for a caller's request.
#ifndef CROWSTEP_GATEWAY_UPSTREAM_REQUEST_H
#define CROWSTEP_GATEWAY_UPSTREAM_REQUEST_H

#include "balance/balance_type.h"
#include "gateway/admission.h"
#include "http/upstream_call.h"

namespace crowstep::gateway {

/// What differs between the attempts of a request.
struct UpstreamAttempt {
  balance::Placed m_Placement;                ///< Where it is sent.
  TimePoint m_Deadline;                       ///< Of the request.
  Duration m_TimeLeft{};                      ///< Until m_Deadline.
  std::optional<std::uint64_t> m_LastEventId; ///< A stream goes on after it.
};

/// Returns the request without a last check before its first byte. The version
/// of a stream that may be resumed is that of the process that gets it, so this
/// is checked where a process may start under the name of another one.
UpstreamRequest makeUpstreamRequest(const HeaderCodec &Codec,
                                    const IncomingRequest &Request,
                                    const AdmittedRequest &Admitted,
                                    const UpstreamAttempt &Attempt);

/// Returns the hash that is equal in all attempts of a caller.
ContentHash contentHashOf(const IncomingRequest &Request,
                          const AdmittedRequest &Admission);

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_UPSTREAM_REQUEST_H
