/// What a refusal looks like to a caller.
#ifndef CROWSTEP_HTTP_REFUSAL_ANSWER_H
#define CROWSTEP_HTTP_REFUSAL_ANSWER_H

#include "core/clock.h"
#include "refusal_type.h"

#include <cstdint>
#include <string>

namespace crowstep {

/// Returns {"error":{"type","code","message"}}.
std::string errorBody(RefusalReason Reason);

/// Returns the event that ends a stream which is cut.
std::string errorEvent(RefusalReason Reason);

/// Returns whole seconds for Retry-After, rounded up; 0: no header.
std::uint64_t retryAfterSeconds(Duration RetryAfter);

} // namespace crowstep

#endif // CROWSTEP_HTTP_REFUSAL_ANSWER_H
