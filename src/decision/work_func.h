/// Granted work: grant, first token, end, and the statistics it yields.
#ifndef CROWSTEP_DECISION_WORK_FUNC_H
#define CROWSTEP_DECISION_WORK_FUNC_H

#include "decision/pool_base.h"

namespace crowstep::decision {

/// Returns the output tokens that \p NewBid is expected to need still.
std::uint32_t expectedTokens(ClassState &Class, const Bid &NewBid,
                             TimePoint Now);

/// Grants a slot of \p State to a waiting request.
void grant(Pool &P, Request &Waiting, UpstreamState &State);

/// Repeats the grant of a running request.
void resendGrant(Pool &P, Request &Granted);

/// Counts a request that an earlier owner granted as running at \p State.
void adopt(Pool &P, Request &Running, UpstreamState &State);

/// Records the first token of a granted request.
void noteFirstToken(Pool &P, Request &Granted, Duration Latency);

/// Handles the end of granted work: frees its slot and forgets the request, or
/// keeps it in state AwaitingRebid.
void finish(Pool &P, Request &Granted, const WorkEnded &End);

/// Frees the slot of work whose end was not reported, and forgets it.
void abandon(Pool &P, Request &Granted);

/// Removes a waiting request from the queue and forgets it.
void dropWaiting(Pool &P, Request &Waiting);

/// Removes a waiting request from the queue, refuses it and forgets it.
void refuseWaiting(Pool &P, Request &Waiting, RefusalReason Reason,
                   Duration RetryAfter);

/// Emits the refusal of \p Id.
void refuse(Pool &P, const RequestId &Id, RefusalReason Reason,
            Duration RetryAfter);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_WORK_FUNC_H
