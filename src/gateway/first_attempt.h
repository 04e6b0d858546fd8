/// What the first attempt of a request depends on: used to place it, and to
/// explain where it would be placed.
#ifndef CROWSTEP_GATEWAY_FIRST_ATTEMPT_H
#define CROWSTEP_GATEWAY_FIRST_ATTEMPT_H

#include "gateway/forwarded_request.h"

namespace crowstep::gateway {

/// Returns how long the request may take: the route's limit or the caller's, if
/// that is shorter.
[[nodiscard]] Duration timeoutOf(const AdmittedRequest &Admitted);

/// Returns whether \p Service is one of the route's.
[[nodiscard]] bool hasService(const Route &Of, const std::string &Service);

/// Returns the query of a call that was tried nowhere and must not wait.
[[nodiscard]] balance::PlacementQuery
firstQueryOf(const AdmittedRequest &Admitted, const std::string &Service);

/// Returns whether a call may wait before its first attempt. \p IsQueued: it
/// has a place in the queue.
[[nodiscard]] bool mayWaitAtFirst(const ForwardContext &Context,
                                  const AdmittedRequest &Admitted,
                                  bool IsQueued);

/// Returns whether a call waits by prediction if its service's speeds are
/// learned.
[[nodiscard]] bool mayWaitByPrediction(const ForwardContext &Context,
                                       const balance::PlacementQuery &Query);

/// Returns whether the call may wait for \p Wait in all.
[[nodiscard]] bool isWaitAllowed(Duration Wait,
                                 const AdmittedRequest &Admitted);

/// Returns the facts by which a call waits by prediction.
[[nodiscard]] waiting::CallFacts callFactsOf(const AdmittedRequest &Admitted,
                                             const std::string &Service,
                                             TimePoint ArrivedAt);

/// Returns what a call is ordered by in the queue. \p Wait: see
/// waiting::WaitPolicy; may be null.
[[nodiscard]] WaitingCall waitingCallOf(const AdmittedRequest &Admitted,
                                        const std::string &Service,
                                        const waiting::CallWait *Wait,
                                        TimePoint Now);

/// Returns the work of a call of which \p UncachedTokens are not cached at its
/// engine. \p Context must have a wait policy.
[[nodiscard]] waiting::CallWork expectedWorkOf(const ForwardContext &Context,
                                               const AdmittedRequest &Admitted,
                                               const std::string &Service,
                                               std::uint32_t UncachedTokens);

/// Returns the key under which the origin of a stream is recorded.
[[nodiscard]] resume::StreamKey streamKeyOf(const AdmittedRequest &Admitted);

/// Returns whether the register of software versions was read and is up to
/// date.
[[nodiscard]] bool isRegisterCurrent(const ForwardContext &Context);

/// Returns the version that alone can have begun a stream which nobody knows.
[[nodiscard]] std::optional<SoftwareVersion>
soleVersionOf(const ForwardContext &Context, const AdmittedRequest &Admitted,
              const std::string &Service);

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_FIRST_ATTEMPT_H
