/// Events and actions of the state machine of a request.
///
/// The state machine (request_core.h) does no I/O: its driver passes in one
/// event at a time with the current time, and carries out the returned actions
/// in order.
#ifndef CROWSTEP_ENTRY_REQUEST_TYPE_H
#define CROWSTEP_ENTRY_REQUEST_TYPE_H

#include "claim/claim_type.h"
#include "core/clock.h"
#include "decision/decision_type.h"
#include "refusal_type.h"
#include "upstream_type.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace crowstep::entry {

/// A slot at an upstream that a bid was granted.
struct GrantedSlot {
  UpstreamId m_Upstream;       ///< Where to send the request.
  Address m_Address;           ///< Of the upstream's HTTP server.
  std::uint8_t m_Priority = 0; ///< For the engine; 0 is the most urgent.
  bool m_CanResume = false;    ///< The upstream can resume an answer.
  Duration m_ValidFor{};       ///< Counted from receipt of the grant.
};

/// How a call to an upstream ended.
enum class CallEnd : std::uint8_t {
  Complete,         ///< A complete answer, with any status.
  ConnectFailed,    ///< No connection: nothing was sent.
  Withheld,         ///< Stopped by the last check: nothing was sent.
  Busy,             ///< The upstream reports that it did not run it.
  Draining,         ///< As Busy, because the upstream is draining.
  ClosedBeforeByte, ///< May have been sent; no byte of an answer.
  ClosedMidStream,  ///< Closed in the middle of the answer.
};

// ---- Events -----------------------------------------------------------------

/// The request was validated and may be placed.
struct Admitted {};
/// The bid was granted.
struct Granted {
  GrantedSlot m_Slot;
};
/// The grant may be older than its receipt suggests, because this process was
/// paused.
struct GrantSuspect {};
/// The bid was refused; the refusal is final.
struct BidRefused {
  RefusalReason m_Reason; ///< Never None.
  Duration m_RetryAfter;  ///< 0: a retry by the caller can't succeed.
};
/// The dispatcher orders the slot to be released at once.
struct PreemptOrdered {
  UpstreamId m_Upstream; ///< Ignored unless the call runs there.
};
/// A request for the claim, or a read of it, has returned.
struct ClaimAnswered {
  claim::ClaimOutcome m_Outcome; ///< A kept answer in it is replayed.
};
/// The write that records the end of the call has returned.
struct EndRecorded {
  bool m_Certain; ///< False: the write's outcome is unknown.
};
/// Tokens (from a service that is not an engine: the first byte) arrived.
struct TokensReceived {
  std::uint32_t m_Count; ///< 0 for bytes that hold no token.
};
/// The call to the upstream has ended.
struct CallEnded {
  CallEnd m_End;
};
/// The caller closed its connection.
struct CallerLeft {};
/// The total time limit of the class is reached.
struct LimitReached {};
/// The wait requested by WakeAfter is over.
struct WaitElapsed {};

using RequestEvent =
    std::variant<Admitted, Granted, GrantSuspect, BidRefused, PreemptOrdered,
                 ClaimAnswered, EndRecorded, TokensReceived, CallEnded,
                 CallerLeft, LimitReached, WaitElapsed>;

// ---- Actions ----------------------------------------------------------------

/// Ask the dispatcher of the pool for a slot.
struct PlaceBid {
  std::uint32_t m_DoneTokens = 0;    ///< Tokens that the caller already has.
  bool m_IsRetry = false;            ///< Counts against the retry budget.
  std::optional<UpstreamId> m_Avoid; ///< Upstream of the failed attempt.
  Duration m_UntilTarget{};          ///< Until the first token target.
  Duration m_UntilLimit{};           ///< Until the total time limit.
};
/// Withdraw the waiting bid.
struct WithdrawBid {};
/// Notify the dispatcher of the first token.
struct ReportFirstToken {
  Duration m_Latency; ///< Since the grant.
};
/// Notify the dispatcher that the slot is free.
struct ReleaseSlot {
  UpstreamId m_Upstream;   ///< Upstream of the slot.
  decision::WorkEnd m_End; ///< How the work ended.
  std::uint32_t m_Tokens;  ///< Received in this attempt.
  Duration m_Elapsed;      ///< Since the grant.
};
/// Request the claim of the key. A request uses the same attempt id for all its
/// requests of the claim.
struct RequestClaim {
  Duration m_Timeout; ///< Longest wait for the outcome.
};
/// Read the state of the claim that another attempt holds.
struct ReadClaim {};
/// Record that the call provably never ran.
struct RecordNotRun {};
/// Record the answer, or that the outcome is unknown.
struct RecordRan {
  bool m_OutcomeKnown; ///< False: "unknown" is recorded.
};
/// Send the call. The sender checks the time once more right before the first
/// byte: bytes may only be sent before m_SendDeadline, by Clock::readNow().
struct SendCall {
  GrantedSlot m_Slot;
  TimePoint m_SendDeadline;     ///< When the grant or the claim expires.
  std::uint32_t m_ResumeTokens; ///< Tokens to resume after; 0: from the start.
};
/// Close the connection of the call and order an engine to stop.
struct CancelCall {};
/// Deliver WaitElapsed after a wait.
struct WakeAfter {
  Duration m_Wait; ///< > 0.
};
/// Final answer: a refusal.
struct Refuse {
  RefusalReason m_Reason; ///< Never None.
  RunState m_State;       ///< Whether the call has run.
  Duration m_RetryAfter;  ///< 0: no Retry-After header.
};
/// Final answer: the recorded answer of the first call with the key.
struct ReplayAnswer {
  claim::KeptAnswer m_Answer;
};
/// Final answer: the upstream's answer is complete.
struct FinishAnswer {};
/// Final answer: end the answer that has begun with an error event.
struct CutAnswer {
  RefusalReason m_Reason;
};
/// Final answer: none, as the caller has closed its connection.
struct DropAnswer {};
/// Count a retry.
struct CountRetry {
  RetryReason m_Reason;
};

using RequestAction =
    std::variant<PlaceBid, WithdrawBid, ReportFirstToken, ReleaseSlot,
                 RequestClaim, ReadClaim, RecordNotRun, RecordRan, SendCall,
                 CancelCall, WakeAfter, Refuse, ReplayAnswer, FinishAnswer,
                 CutAnswer, DropAnswer, CountRetry>;

/// Properties of a request, from the table, the caller and the settings.
struct RequestTerms {
  bool m_Repeatable = true;      ///< False: run at most once, under a claim.
  bool m_Streamed = false;       ///< The answer is relayed as it arrives.
  Duration m_FirstTokenTarget{}; ///< Of the class.
  Duration m_TotalLimit{};       ///< Of the class; > 0.
  unsigned m_MaxAttempts = 4;    ///< Limit on calls to upstreams.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_REQUEST_TYPE_H
