/// The state machine of one request, without I/O.
///
/// Invariants, for any order of events:
/// - There is exactly one final answer.
/// - At most one call is in progress.
/// - A call that is not repeatable is sent again only if the first provably
///   never ran.
/// - "Not run" is only answered if no call can have run and the claim, if it
///   was requested, has been released.
#ifndef CROWSTEP_ENTRY_REQUEST_CORE_H
#define CROWSTEP_ENTRY_REQUEST_CORE_H

#include "entry/request_type.h"

#include <vector>

namespace crowstep::entry {

/// Wait before the claim of a key is read or requested again.
inline constexpr Duration ClaimPollInterval = std::chrono::milliseconds(250);

/// Age from which no call is sent under a claim. A claim row is deleted after
/// claim::ClaimLifetime, and another attempt may then own the key. The limit is
/// a small part of that lifetime, so that clock drift can't make them overlap.
inline constexpr Duration MaxClaimAge = std::chrono::hours(1);

/// Longest time for which the answer is held back until it is recorded.
inline constexpr Duration RecordTimeout = std::chrono::seconds(1);

/// Retry-After for a caller whose claim could not be made, or for whose key a
/// call is still in progress.
inline constexpr Duration ClaimRetryAfter = std::chrono::seconds(1);

/// State machine of one request, from admission to the final answer.
class RequestCore {
public:
  RequestCore(const RequestTerms &Terms, TimePoint Now);

  /// Handles one event at the time \p Now (Clock::readNow()) and appends the
  /// resulting actions. Events that no longer apply are ignored.
  void handle(const RequestEvent &Event, TimePoint Now,
              std::vector<RequestAction> &Actions);

  /// Returns whether the final answer has been given.
  [[nodiscard]] bool isAnswered() const { return m_Answered; }

  /// Returns whether no action is outstanding any more.
  [[nodiscard]] bool isEnded() const { return m_State == State::Ended; }

private:
  enum class State : std::uint8_t {
    New,             ///< Before Admitted.
    Bidding,         ///< A bid is waiting.
    Claiming,        ///< A slot is held; the claim is requested.
    ClaimRetryWait,  ///< Outcome uncertain; will be requested again.
    WaitingForKey,   ///< Another call holds the key; will be read.
    ReadingClaim,    ///< The claim is being read.
    Calling,         ///< The call is being sent or running.
    ReleasingClaim,  ///< The claim is being released before a refusal.
    RecordingAnswer, ///< The answer is being recorded.
    Ended,           ///< Nothing is left to do.
  };

  using Actions = std::vector<RequestAction>;

  void on(const Admitted &Event, Actions &Out);
  void on(const Granted &Event, Actions &Out);
  void on(const GrantSuspect &Event, Actions &Out);
  void on(const BidRefused &Event, Actions &Out);
  void on(const PreemptOrdered &Event, Actions &Out);
  void on(const ClaimAnswered &Event, Actions &Out);
  void on(const EndRecorded &Event, Actions &Out);
  void on(const TokensReceived &Event, Actions &Out);
  void on(const CallEnded &Event, Actions &Out);
  void on(const CallerLeft &Event, Actions &Out);
  void on(const LimitReached &Event, Actions &Out);
  void on(const WaitElapsed &Event, Actions &Out);

  void placeBid(bool IsRetry, std::optional<UpstreamId> Avoid, Actions &Out);
  void sendCall(Actions &Out);
  void releaseSlot(decision::WorkEnd End, Actions &Out);
  void requestClaim(Actions &Out);
  void recordAnswer(bool OutcomeKnown, Actions &Out);
  void handleClaimOwned(Actions &Out);
  void waitForKey(Actions &Out);
  void handleNotRun(CallEnd End, Actions &Out);
  void handleMayHaveRun(CallEnd End, Actions &Out);
  void retry(RetryReason Reason, bool IsRetry, std::optional<UpstreamId> Avoid,
             Actions &Out);
  void refuse(RefusalReason Reason, Duration RetryAfter, Actions &Out);
  void giveFinalRefusal(Actions &Out);
  void stopWaitingForRecord(Actions &Out);
  void answerAfterRecord(Actions &Out);
  void finish(const RequestAction &Final, Actions &Out);
  [[nodiscard]] RunState runState() const;
  [[nodiscard]] bool isSlotStale() const;

  RequestTerms m_Terms;  ///< Constant.
  TimePoint m_ArrivedAt; ///< When the request was read; limits count from here.
  TimePoint m_Now;       ///< Time of the current event.
  State m_State = State::New;
  bool m_Answered = false;         ///< The final answer was given; never reset.
  bool m_CallerGone = false;       ///< The caller closed its connection.
  bool m_ClaimRequested = false;   ///< The row may name this attempt.
  bool m_ClaimUncertain = false;   ///< A request for it ended as uncertain.
  bool m_ClaimOwned = false;       ///< The row names this attempt.
  bool m_KeyHeldElsewhere = false; ///< The row named another attempt.
  bool m_MayHaveRun = false;       ///< A call ended that may have run.
  bool m_SlotHeld = false;         ///< A granted slot is not yet released.
  bool m_SlotSuspect = false;      ///< The process was paused since the grant.
  bool m_StreamBegun = false;      ///< The caller has bytes of the answer.
  bool m_FirstTokenReported = false; ///< For the current call.
  GrantedSlot m_Slot;                ///< Valid while m_SlotHeld.
  TimePoint m_GrantedAt;             ///< When the grant was received.
  TimePoint m_ClaimedAt;             ///< When the claim was first requested.
  unsigned m_Attempts = 0;           ///< Calls sent, without preempted ones.
  bool m_OutcomeKnown = false;       ///< As passed to RecordRan.
  std::uint32_t m_Tokens = 0;        ///< Tokens of the answer so far.
  std::uint32_t m_CallTokens = 0;    ///< Tokens of the current call.
  Refuse m_FinalRefusal{};           ///< Answered after ReleasingClaim.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_REQUEST_CORE_H
