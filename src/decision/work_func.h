/// Work from its grant to its end, and what is learned from it.
#ifndef CROWSTEP_DECISION_WORK_FUNC_H
#define CROWSTEP_DECISION_WORK_FUNC_H

#include "decision/pool_base.h"

namespace crowstep::decision {

/// Returns the output tokens that \p For is expected still to take.
std::uint32_t expectedTokens(ClassState &Class, const Bid &NewBid,
                             TimePoint Now);

/// Gives \p Where's slot to a waiting request and says so.
void grant(Pool &P, Request &Waiting, Serving &State);

/// Says again where a granted request runs.
void grantAgain(Pool &P, Request &Granted);

/// Counts a request as running at \p Where without a grant of ours.
void adopt(Pool &P, Request &Running, Serving &State);

/// Notes that a granted request's first token came.
void noteFirstToken(Pool &P, Request &Granted, Duration Latency);

/// Takes in how granted work ended, frees its slot and forgets the request,
/// or keeps it as returning.
void finish(Pool &P, Request &Granted, const WorkEnded &End);

/// Frees the slot of work of which no end was reported, and forgets it.
void abandon(Pool &P, Request &Granted);

/// Takes a waiting request out of the queue and forgets it.
void dropWaiting(Pool &P, Request &Waiting);

/// Takes a waiting request out of the queue, refuses and forgets it.
void refuseWaiting(Pool &P, Request &Waiting, RefusalReason Reason,
                   Duration RetryAfter);

/// Says that \p Id is refused.
void refuse(Pool &P, const RequestId &Id, RefusalReason Reason,
            Duration RetryAfter);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_WORK_FUNC_H
