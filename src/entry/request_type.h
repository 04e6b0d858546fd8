/// Events and actions of one request's state machine.
///
/// The machine (request_core.h) does no I/O: whoever drives it hands in one
/// typed event with the time and carries out the actions in their order.
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

/// A slot at an upstream, as granted.
struct GrantedSlot {
  UpstreamId m_Upstream;       ///< Where to send the request.
  Address m_Address;           ///< Of its HTTP server.
  std::uint8_t m_Priority = 0; ///< For the engine; 0 is the most urgent.
  bool m_Resumes = false;      ///< It continues from given tokens.
  Duration m_ValidFor{};       ///< Counted from the receipt.
};

/// How a call to an upstream ended.
enum class CallEnd : std::uint8_t {
  Whole,            ///< An answer with any status arrived whole.
  ConnectFailed,    ///< No connection: nothing was sent.
  TooOld,           ///< The last check stopped it: nothing was sent.
  Busy,             ///< The upstream says that it did not run the call.
  Leaving,          ///< As Busy, because it is leaving.
  ClosedBeforeByte, ///< Sent perhaps; no byte of an answer came.
  ClosedMidStream,  ///< The answer broke off.
};

// ---- Events -----------------------------------------------------------------

/// The request was read and may be placed.
struct Admitted {};
/// The bid was granted.
struct Granted {
  GrantedSlot m_Slot; ///< Where.
};
/// The grant may be older than it looks, as this process was paused.
struct GrantSuspect {};
/// The bid was refused for good.
struct BidRefused {
  RefusalReason m_Reason; ///< Never None.
  Duration m_RetryAfter;  ///< 0: coming back can't help.
};
/// The slot must be given back at once.
struct PreemptOrdered {
  UpstreamId m_Upstream; ///< Ignored unless the call runs there.
};
/// The claim was asked for, or read, and this came of it.
struct ClaimAnswered {
  claim::ClaimOutcome m_Outcome; ///< The answer, if any, is replayed.
};
/// The end of the call was recorded, or may have been.
struct EndRecorded {
  bool m_Certain; ///< False: the write's outcome is unknown.
};
/// Tokens (for a plain service: the first byte) arrived.
struct TokensArrived {
  std::uint32_t m_Count; ///< May be 0 for a byte that is no token.
};
/// The upstream's call is over.
struct CallEnded {
  CallEnd m_End; ///< How.
};
/// The caller closed its connection.
struct CallerLeft {};
/// The class's longest wait is over.
struct LimitReached {};
/// The pause asked for by WakeAfter is over.
struct PauseOver {};

using RequestEvent =
    std::variant<Admitted, Granted, GrantSuspect, BidRefused, PreemptOrdered,
                 ClaimAnswered, EndRecorded, TokensArrived, CallEnded,
                 CallerLeft, LimitReached, PauseOver>;

// ---- Actions ----------------------------------------------------------------

/// Ask the pool's dispatcher for a slot.
struct PlaceBid {
  std::uint32_t m_DoneTokens;        ///< Tokens that the caller has.
  bool m_IsRetry;                    ///< Counts against the retry budget.
  std::optional<UpstreamId> m_Avoid; ///< Upstream that just failed it.
  Duration m_UntilTarget;            ///< Left of the first token's target.
  Duration m_UntilLimit;             ///< Left of the longest wait.
};
/// Take the bid back.
struct WithdrawBid {};
/// Tell the dispatcher that the first token came.
struct ReportFirstToken {
  Duration m_Latency; ///< Since the grant.
};
/// Tell the dispatcher that the slot is free.
struct ReleaseSlot {
  UpstreamId m_Upstream;   ///< Where it was.
  decision::WorkEnd m_End; ///< How the work ended.
  std::uint32_t m_Tokens;  ///< Generated in this attempt.
  Duration m_Elapsed;      ///< Since the grant.
};
/// Ask for the claim of the key with this request's one attempt.
struct AskClaim {
  Duration m_Limit; ///< Longest wait for the claim's outcome.
};
/// Read how the other attempt's claim stands.
struct ReadClaim {};
/// Record that the call provably never ran.
struct RecordNotRun {};
/// Keep the answer, or that its outcome is unknown.
struct RecordRan {
  bool m_OutcomeKnown; ///< False: only "unknown" is kept.
};
/// Send the call. The sender makes the last check at the moment before the
/// first byte: bytes may go out until m_SendBefore by Clock::fresh().
struct SendCall {
  GrantedSlot m_Slot;           ///< Where.
  TimePoint m_SendBefore;       ///< Of the grant and the claim.
  std::uint32_t m_ResumeTokens; ///< Tokens that the caller has.
};
/// Close the call's connection and tell the engine to stop.
struct CancelCall {};
/// Run PauseOver after this long.
struct WakeAfter {
  Duration m_Pause; ///< > 0.
};
/// Final: a refusal.
struct Refuse {
  RefusalReason m_Reason; ///< Never None.
  RunState m_State;       ///< What the caller may believe.
  Duration m_RetryAfter;  ///< 0: none.
};
/// Final: the kept answer of the key's first call.
struct ReplayAnswer {
  claim::KeptAnswer m_Answer; ///< As recorded.
};
/// Final: the answer is whole.
struct FinishAnswer {};
/// Final: the answer that began ends without its rest.
struct CutAnswer {
  RefusalReason m_Reason; ///< Why.
};
/// Final: nobody is there to be answered.
struct DropAnswer {};
/// Count a further attempt.
struct CountRetry {
  RetryReason m_Reason; ///< Why.
};

using RequestAction =
    std::variant<PlaceBid, WithdrawBid, ReportFirstToken, ReleaseSlot, AskClaim,
                 ReadClaim, RecordNotRun, RecordRan, SendCall, CancelCall,
                 WakeAfter, Refuse, ReplayAnswer, FinishAnswer, CutAnswer,
                 DropAnswer, CountRetry>;

/// What the table and the caller ask of one request.
struct RequestTerms {
  bool m_Repeatable = true;      ///< False: at most once, with a claim.
  bool m_Streamed = false;       ///< Bytes go to the caller as they come.
  Duration m_FirstTokenTarget{}; ///< Of the class.
  Duration m_TotalLimit{};       ///< Of the class; > 0.
  unsigned m_MaxAttempts = 4;    ///< Calls to upstreams, at most.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_REQUEST_TYPE_H
