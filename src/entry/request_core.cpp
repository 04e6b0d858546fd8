/// State machine of a request: placement, calls and final answers.
#include "entry/request_core.h"

#include <algorithm>

namespace crowstep::entry {

namespace {

using decision::WorkEnd;

WorkEnd workEndOf(CallEnd End) {
  switch (End) {
  case CallEnd::Complete:
    return WorkEnd::Finished;
  case CallEnd::ConnectFailed:
    return WorkEnd::ConnectFailed;
  case CallEnd::Withheld:
    return WorkEnd::Unused;
  case CallEnd::Busy:
    return WorkEnd::UpstreamRefused;
  case CallEnd::Draining:
    return WorkEnd::UpstreamDraining;
  case CallEnd::ClosedBeforeByte:
  case CallEnd::ClosedMidStream:
    return WorkEnd::Failed;
  }
  return WorkEnd::Failed;
}

RetryReason retryReasonOf(CallEnd End) {
  switch (End) {
  case CallEnd::ConnectFailed:
    return RetryReason::ConnectFailed;
  case CallEnd::Withheld:
    return RetryReason::GrantExpired;
  case CallEnd::Busy:
    return RetryReason::UpstreamRefused;
  case CallEnd::Draining:
    return RetryReason::UpstreamDraining;
  case CallEnd::ClosedMidStream:
    return RetryReason::ClosedMidStream;
  case CallEnd::Complete:
  case CallEnd::ClosedBeforeByte:
    return RetryReason::ClosedBeforeByte;
  }
  return RetryReason::ClosedBeforeByte;
}

} // namespace

RequestCore::RequestCore(const RequestTerms &Terms, TimePoint Now)
    : m_Terms(Terms), m_ArrivedAt(Now), m_Now(Now) {}

void RequestCore::handle(const RequestEvent &Event, TimePoint Now,
                         Actions &Out) {
  m_Now = Now;
  if (m_State == State::Ended)
    return;
  std::visit([&](const auto &Typed) { on(Typed, Out); }, Event);
}

// ---- Placement --------------------------------------------------------------

void RequestCore::on(const Admitted &, Actions &Out) {
  if (m_State == State::New)
    placeBid(false, std::nullopt, Out);
}

void RequestCore::placeBid(bool IsRetry, std::optional<UpstreamId> Avoid,
                           Actions &Out) {
  m_State = State::Bidding;
  const Duration Waited = m_Now - m_ArrivedAt;
  const auto Left = [&](Duration Whole) {
    return std::max(Whole - Waited, Duration::zero());
  };
  Out.emplace_back(PlaceBid{m_Tokens, IsRetry, Avoid,
                            Left(m_Terms.m_FirstTokenTarget),
                            Left(m_Terms.m_TotalLimit)});
}

void RequestCore::on(const Granted &Event, Actions &Out) {
  if (m_State != State::Bidding)
    return;
  m_Slot = Event.m_Slot;
  m_SlotHeld = true;
  m_SlotSuspect = false;
  m_GrantedAt = m_Now;
  if (m_Tokens > 0 && !m_Slot.m_CanResume) {
    if (m_StreamBegun) {
      // The engine would start from the beginning, but the tokens that were
      // relayed can't be taken back: the caller would get them twice.
      releaseSlot(WorkEnd::Unused, Out);
      refuse(RefusalReason::UpstreamFailed, Duration::zero(), Out);
      return;
    }
    m_Tokens = 0;
  }
  if (m_Terms.m_Repeatable || m_ClaimOwned) {
    sendCall(Out);
    return;
  }
  m_State = State::Claiming;
  if (!m_ClaimRequested)
    m_ClaimedAt = m_Now;
  m_ClaimRequested = true;
  requestClaim(Out);
}

void RequestCore::on(const GrantSuspect &, Actions &) {
  // After a pause the process reads an old grant from its socket as if it were
  // new. The flag is checked again before the grant is used.
  m_SlotSuspect = true;
}

void RequestCore::on(const BidRefused &Event, Actions &Out) {
  if (m_State == State::Bidding)
    refuse(Event.m_Reason, Event.m_RetryAfter, Out);
}

bool RequestCore::isSlotStale() const {
  return m_SlotSuspect || m_Now - m_GrantedAt >= m_Slot.m_ValidFor;
}

void RequestCore::releaseSlot(WorkEnd End, Actions &Out) {
  if (!m_SlotHeld)
    return;
  m_SlotHeld = false;
  Out.emplace_back(
      ReleaseSlot{m_Slot.m_Upstream, End, m_CallTokens, m_Now - m_GrantedAt});
  m_CallTokens = 0;
}

// ---- Calling ----------------------------------------------------------------

void RequestCore::sendCall(Actions &Out) {
  m_State = State::Calling;
  m_FirstTokenReported = false;
  m_CallTokens = 0;
  ++m_Attempts;
  TimePoint SendDeadline = m_GrantedAt + m_Slot.m_ValidFor;
  if (!m_Terms.m_Repeatable)
    SendDeadline = std::min(SendDeadline, m_ClaimedAt + MaxClaimAge);
  Out.emplace_back(SendCall{m_Slot, SendDeadline, m_Tokens});
}

void RequestCore::on(const TokensReceived &Event, Actions &Out) {
  if (m_State != State::Calling)
    return;
  m_StreamBegun |= m_Terms.m_Streamed;
  if (!m_FirstTokenReported) {
    m_FirstTokenReported = true;
    Out.emplace_back(ReportFirstToken{m_Now - m_GrantedAt});
  }
  m_Tokens += Event.m_Count;
  m_CallTokens += Event.m_Count;
}

void RequestCore::on(const CallEnded &Event, Actions &Out) {
  if (m_State != State::Calling)
    return;
  releaseSlot(workEndOf(Event.m_End), Out);
  switch (Event.m_End) {
  case CallEnd::Complete:
    if (m_Terms.m_Repeatable) {
      finish(FinishAnswer{}, Out);
      return;
    }
    recordAnswer(true, Out);
    return;
  case CallEnd::ConnectFailed:
  case CallEnd::Withheld:
  case CallEnd::Busy:
  case CallEnd::Draining:
    handleNotRun(Event.m_End, Out);
    return;
  case CallEnd::ClosedBeforeByte:
  case CallEnd::ClosedMidStream:
    handleMayHaveRun(Event.m_End, Out);
    return;
  }
}

void RequestCore::handleNotRun(CallEnd End, Actions &Out) {
  if (m_CallerGone || m_Answered) {
    refuse(RefusalReason::CallerGone, Duration::zero(), Out);
    return;
  }
  const bool Fault = End != CallEnd::Withheld;
  retry(retryReasonOf(End), Fault,
        Fault ? std::optional(m_Slot.m_Upstream) : std::nullopt, Out);
}

void RequestCore::handleMayHaveRun(CallEnd End, Actions &Out) {
  m_MayHaveRun = true;
  if (m_Terms.m_Repeatable) {
    retry(retryReasonOf(End), true, m_Slot.m_Upstream, Out);
    return;
  }
  // Not sent again: a second call could reserve two seats. The claim stays with
  // this attempt, and further requests with the key are answered "unknown".
  recordAnswer(false, Out);
}

void RequestCore::recordAnswer(bool OutcomeKnown, Actions &Out) {
  m_State = State::RecordingAnswer;
  m_OutcomeKnown = OutcomeKnown;
  Out.emplace_back(RecordRan{OutcomeKnown});
  // An outage of the table service must not delay the answer for longer. Until
  // the record is written, further requests with the key are answered "in
  // progress".
  Out.emplace_back(WakeAfter{RecordTimeout});
}

void RequestCore::retry(RetryReason Reason, bool IsRetry,
                        std::optional<UpstreamId> Avoid, Actions &Out) {
  const bool TimeLeft =
      m_Tokens > 0 || m_Now - m_ArrivedAt < m_Terms.m_TotalLimit;
  if (m_Attempts >= m_Terms.m_MaxAttempts || !TimeLeft) {
    refuse(RefusalReason::UpstreamFailed, Duration::zero(), Out);
    return;
  }
  Out.emplace_back(CountRetry{Reason});
  placeBid(IsRetry, Avoid, Out);
}

void RequestCore::on(const PreemptOrdered &Event, Actions &Out) {
  if (!m_SlotHeld || m_Slot.m_Upstream != Event.m_Upstream)
    return;
  if (m_State == State::Claiming || m_State == State::ClaimRetryWait) {
    m_SlotSuspect = true;
    return;
  }
  // A call that is not repeatable is never cancelled, as it would no longer be
  // known whether it ran.
  if (m_State != State::Calling || !m_Terms.m_Repeatable)
    return;
  m_MayHaveRun = true;
  Out.emplace_back(CancelCall{});
  releaseSlot(WorkEnd::Preempted, Out);
  Out.emplace_back(CountRetry{RetryReason::Preempted});
  --m_Attempts; // Preemption does not use up an attempt.
  placeBid(false, std::nullopt, Out);
}

// ---- Ending -----------------------------------------------------------------

void RequestCore::on(const CallerLeft &, Actions &Out) {
  if (m_CallerGone)
    return;
  m_CallerGone = true;
  switch (m_State) {
  case State::New:
  case State::WaitingForKey:
  case State::ReadingClaim:
    finish(DropAnswer{}, Out);
    return;
  case State::Bidding:
    Out.emplace_back(WithdrawBid{});
    refuse(RefusalReason::CallerGone, Duration::zero(), Out);
    return;
  case State::Calling:
    // A call that is not repeatable runs to its end, and its answer is recorded
    // for further requests with the key. Only repeatable calls are cancelled.
    if (!m_Terms.m_Repeatable)
      return;
    Out.emplace_back(CancelCall{});
    releaseSlot(WorkEnd::Cancelled, Out);
    finish(DropAnswer{}, Out);
    return;
  case State::Claiming:
  case State::ClaimRetryWait:
  case State::ReleasingClaim:
  case State::RecordingAnswer:
  case State::Ended:
    return; // The state of the claim must be settled first.
  }
}

void RequestCore::on(const LimitReached &, Actions &Out) {
  switch (m_State) {
  case State::New:
  case State::Bidding:
    if (m_StreamBegun)
      return; // Preempted or resumed: the rest is still waited for.
    Out.emplace_back(WithdrawBid{});
    refuse(RefusalReason::TargetUnreachable, Duration::zero(), Out);
    return;
  case State::ClaimRetryWait:
    releaseSlot(WorkEnd::Unused, Out);
    refuse(RefusalReason::ClaimUnavailable, ClaimRetryAfter, Out);
    stopWaitingForRecord(Out);
    return;
  case State::ReleasingClaim:
    stopWaitingForRecord(Out);
    return;
  case State::WaitingForKey:
  case State::ReadingClaim:
    refuse(RefusalReason::KeyInProgress, ClaimRetryAfter, Out);
    return;
  case State::Calling:
    if (m_FirstTokenReported || m_StreamBegun || m_Answered || m_CallerGone)
      return; // An answer that has begun runs to its end.
    if (!m_Terms.m_Repeatable) {
      // The call goes on and its answer is recorded, but the caller does not
      // wait for it.
      m_Answered = true;
      Out.emplace_back(Refuse{RefusalReason::OutcomeUnknown, RunState::Unknown,
                              ClaimRetryAfter});
      return;
    }
    m_MayHaveRun = true;
    Out.emplace_back(CancelCall{});
    releaseSlot(WorkEnd::Cancelled, Out);
    refuse(RefusalReason::TargetUnreachable, Duration::zero(), Out);
    return;
  case State::Claiming:
  case State::RecordingAnswer:
  case State::Ended:
    return; // These states end without the limit.
  }
}

RunState RequestCore::runState() const {
  return m_MayHaveRun || m_KeyHeldElsewhere ? RunState::Unknown
                                            : RunState::NotRun;
}

void RequestCore::refuse(RefusalReason Reason, Duration RetryAfter,
                         Actions &Out) {
  m_FinalRefusal = Refuse{Reason, runState(), RetryAfter};
  if (m_ClaimRequested) {
    // "Not run" is only answered once the claim is released. Otherwise a
    // request with the same key would find the claim taken and be answered
    // that the call may have run.
    m_State = State::ReleasingClaim;
    Out.emplace_back(RecordNotRun{});
    return;
  }
  giveFinalRefusal(Out);
}

void RequestCore::stopWaitingForRecord(Actions &Out) {
  // The caller does not wait for the table service any longer. The claim client
  // keeps retrying the write of the record.
  m_FinalRefusal.m_State = RunState::Unknown;
  giveFinalRefusal(Out);
}

void RequestCore::giveFinalRefusal(Actions &Out) {
  if (m_CallerGone)
    finish(DropAnswer{}, Out);
  else if (m_StreamBegun)
    finish(CutAnswer{m_FinalRefusal.m_Reason}, Out);
  else
    finish(m_FinalRefusal, Out);
}

void RequestCore::on(const EndRecorded &Event, Actions &Out) {
  if (m_State == State::RecordingAnswer) {
    answerAfterRecord(Out);
  } else if (m_State == State::ReleasingClaim) {
    if (!Event.m_Certain)
      m_FinalRefusal.m_State = RunState::Unknown;
    giveFinalRefusal(Out);
  }
}

void RequestCore::answerAfterRecord(Actions &Out) {
  if (m_OutcomeKnown)
    finish(FinishAnswer{}, Out);
  else if (m_StreamBegun)
    finish(CutAnswer{RefusalReason::UpstreamFailed}, Out);
  else
    finish(Refuse{RefusalReason::UpstreamFailed, RunState::Unknown, {}}, Out);
}

void RequestCore::finish(const RequestAction &Final, Actions &Out) {
  m_State = State::Ended;
  if (m_Answered)
    return;
  m_Answered = true;
  Out.push_back(m_CallerGone ? RequestAction(DropAnswer{}) : Final);
}

} // namespace crowstep::entry
