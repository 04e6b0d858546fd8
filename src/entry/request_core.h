/// The state machine of one request, without I/O.
///
/// It promises, whatever the order of events: one final answer; at most one
/// call on its way at a time; for a call that may not be repeated no second
/// call unless the first provably never ran; "not run" only where no call can
/// have run and the claim, if it was asked for, is given back.
#ifndef CROWSTEP_ENTRY_REQUEST_CORE_H
#define CROWSTEP_ENTRY_REQUEST_CORE_H

#include "entry/request_type.h"

#include <vector>

namespace crowstep::entry {

/// Waits between two looks at the claim of a key that another call holds.
inline constexpr Duration ClaimPoll = std::chrono::milliseconds(250);

/// Age at which a claim is no longer sent under. A claim row is forgotten
/// after claim::ClaimLifetime and another attempt could then own the key; a
/// small part of that leaves no overlap whatever the clocks' drift.
inline constexpr Duration MaxClaimAge = std::chrono::hours(1);

/// Longest wait for the record of a call that ran, with its answer at hand.
inline constexpr Duration KeepPatience = std::chrono::seconds(1);

/// After this long a caller whose claim could not be made, or whose key's
/// first call goes on, may come back.
inline constexpr Duration ClaimRetryAfter = std::chrono::seconds(1);

/// One request from admission to its final answer.
class RequestCore {
public:
  RequestCore(const RequestTerms &Terms, TimePoint Now);

  /// Takes one event at the time \p Now (Clock::fresh()) and appends what is
  /// to be done. Events that no longer matter are ignored.
  void handle(const RequestEvent &What, TimePoint Now,
              std::vector<RequestAction> &Actions);

  /// Returns whether the final answer is given.
  [[nodiscard]] bool answered() const { return m_Answered; }

  /// Returns whether nothing is left to do.
  [[nodiscard]] bool ended() const { return m_State == State::Ended; }

private:
  enum class State : std::uint8_t {
    New,        ///< Before Admitted.
    Bidding,    ///< A bid waits at the dispatcher.
    Claiming,   ///< A slot is held; the claim was asked for.
    ClaimPause, ///< The claim's outcome is uncertain; asked again soon.
    KeyWait,    ///< Another call holds the key; looked at again soon.
    KeyRead,    ///< The other call's claim is being read.
    Calling,    ///< The call is on its way or running.
    GivingBack, ///< The claim is being given back, then m_Final is said.
    Keeping,    ///< The answer is being recorded.
    Ended,      ///< Nothing left.
  };

  using Actions = std::vector<RequestAction>;

  void on(const Admitted &What, Actions &Out);
  void on(const Granted &What, Actions &Out);
  void on(const GrantSuspect &What, Actions &Out);
  void on(const BidRefused &What, Actions &Out);
  void on(const PreemptOrdered &What, Actions &Out);
  void on(const ClaimAnswered &What, Actions &Out);
  void on(const EndRecorded &What, Actions &Out);
  void on(const TokensArrived &What, Actions &Out);
  void on(const CallEnded &What, Actions &Out);
  void on(const CallerLeft &What, Actions &Out);
  void on(const LimitReached &What, Actions &Out);
  void on(const PauseOver &What, Actions &Out);

  void bid(bool IsRetry, std::optional<UpstreamId> Avoid, Actions &Out);
  void send(Actions &Out);
  void release(decision::WorkEnd End, Actions &Out);
  void askClaim(Actions &Out);
  void keep(bool OutcomeKnown, Actions &Out);
  void claimOwned(Actions &Out);
  void keyHeldElsewhere(Actions &Out);
  void neverRan(CallEnd How, Actions &Out);
  void mayHaveRun(CallEnd How, Actions &Out);
  void retry(RetryReason Why, bool IsRetry, std::optional<UpstreamId> Avoid,
             Actions &Out);
  void refuse(RefusalReason Why, Duration RetryAfter, Actions &Out);
  void sayFinal(Actions &Out);
  void giveUpRecord(Actions &Out);
  void answerRan(Actions &Out);
  void finish(const RequestAction &Final, Actions &Out);
  [[nodiscard]] RunState runState() const;
  [[nodiscard]] bool slotStale() const;

  RequestTerms m_Terms;           ///< Never change.
  TimePoint m_Begin;              ///< When the request was read.
  TimePoint m_Now;                ///< Of the present event.
  State m_State = State::New;     ///< See above.
  bool m_Answered = false;        ///< The final answer is given; never unset.
  bool m_CallerGone = false;      ///< Nobody to answer.
  bool m_ClaimAsked = false;      ///< The claim row may name this attempt.
  bool m_ClaimMayStand = false;   ///< An ask ended without certainty.
  bool m_ClaimOwned = false;      ///< It does.
  bool m_OtherHolds = false;      ///< Another attempt was seen in the row.
  bool m_MayHaveRun = false;      ///< A call ended without proof of not run.
  bool m_SlotHeld = false;        ///< A grant is not yet released.
  bool m_SlotSuspect = false;     ///< The grant came through a pause.
  bool m_StreamBegun = false;     ///< The caller has bytes of the answer.
  bool m_FirstToken = false;      ///< Reported for the present call.
  GrantedSlot m_Slot;             ///< Valid while m_SlotHeld.
  TimePoint m_GrantedAt;          ///< Receipt of the grant.
  TimePoint m_ClaimedAt;          ///< When the claim was first asked for.
  unsigned m_Attempts = 0;        ///< Calls sent.
  bool m_OutcomeKnown = false;    ///< What RecordRan keeps.
  std::uint32_t m_Tokens = 0;     ///< Tokens that the caller has or will get.
  std::uint32_t m_CallTokens = 0; ///< Of the present call.
  Refuse m_Final{};               ///< Said after GivingBack.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_REQUEST_CORE_H
