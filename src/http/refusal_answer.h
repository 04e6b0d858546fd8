/// Bodies of refusals as callers receive them.
#ifndef CROWSTEP_HTTP_REFUSAL_ANSWER_H
#define CROWSTEP_HTTP_REFUSAL_ANSWER_H

#include "core/clock.h"
#include "refusal_type.h"

#include <cstdint>
#include <string>

namespace crowstep {

/// Returns {"error":{"type","code","message"}}.
std::string errorBody(RefusalReason Reason);

/// Returns the server-sent event that ends a stream that has failed.
std::string errorEvent(RefusalReason Reason);

/// Returns whole seconds for Retry-After, rounded up; 0: no header.
std::uint64_t retryAfterSeconds(Duration RetryAfter);

} // namespace crowstep

#endif // CROWSTEP_HTTP_REFUSAL_ANSWER_H
