/// JSON bodies of refusals.
#include "http/refusal_answer.h"

#include <nlohmann/json.hpp>

namespace crowstep {

namespace {

/// Returns the error type by which callers' client libraries classify errors.
std::string errorType(unsigned Status) {
  if (Status == 401)
    return "authentication_error";
  if (Status == 429)
    return "rate_limit_error";
  if (Status >= 500)
    return "service_unavailable";
  return "invalid_request_error";
}

const char *errorMessage(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::MalformedBody:
    return "The body is not valid UTF-8 JSON of this resource's form.";
  case RefusalReason::WrongContentType:
    return "The content type must be application/json.";
  case RefusalReason::BodyTooLarge:
    return "The body is over the limit.";
  case RefusalReason::HeaderTooLarge:
    return "A header is over its limit.";
  case RefusalReason::SlowCaller:
    return "The request did not arrive within its time limit.";
  case RefusalReason::UnknownClass:
    return "Crowstep-Class names no row of the table in force.";
  case RefusalReason::MissingKey:
    return "Authorization: Bearer KEY is missing.";
  case RefusalReason::UnknownKey:
    return "The key belongs to no workspace.";
  case RefusalReason::UnknownPath:
    return "There is no such resource, or it takes another class.";
  case RefusalReason::KeyRequired:
    return "Calls of this class need an Idempotency-Key.";
  case RefusalReason::KeyReused:
    return "The Idempotency-Key came with another request before.";
  case RefusalReason::KeyInProgress:
    return "The first call with this Idempotency-Key has not ended.";
  case RefusalReason::OutcomeUnknown:
    return "The call may have run; its outcome is not known.";
  case RefusalReason::AmbiguousFraming:
    return "The length of the body is not stated in one way.";
  case RefusalReason::MalformedHeader:
    return "A header that the router needs is missing or can't be read.";
  case RefusalReason::TimedOut:
    return "The time for this call is over.";
  case RefusalReason::UpstreamFailed:
    return "The upstream failed.";
  case RefusalReason::Quarantined:
  case RefusalReason::SegmentQuarantined:
    return "This request made upstreams crash and is not run for a while.";
  case RefusalReason::NoMemory:
    return "Other requests have used up the memory; another instance serves.";
  case RefusalReason::ShuttingDown:
    return "This instance is leaving; another one will serve.";
  case RefusalReason::NotInForce:
    return "This instance may not serve now; another one will.";
  default:
    return "The request can't be served now.";
  }
}

} // namespace

std::string errorBody(RefusalReason Reason) {
  const nlohmann::json Body = {{"error",
                                {{"type", errorType(httpStatusOf(Reason))},
                                 {"code", nameOf(Reason)},
                                 {"message", errorMessage(Reason)}}}};
  return Body.dump();
}

std::string errorEvent(RefusalReason Reason) {
  return "data: " + errorBody(Reason) + "\n\n";
}

std::uint64_t retryAfterSeconds(Duration RetryAfter) {
  return static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::seconds>(RetryAfter).count());
}

} // namespace crowstep
