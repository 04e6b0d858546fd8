/// State machine of a request: the claim of a call that is not repeatable.
#include "entry/request_core.h"

#include <algorithm>

namespace crowstep::entry {

namespace {

using decision::WorkEnd;

} // namespace

void RequestCore::requestClaim(Actions &Out) {
  // During an outage of the table service, the slot must not be held for longer
  // than the grant is valid, nor the caller wait beyond the limit.
  const Duration TimeLeft = m_Terms.m_TotalLimit - (m_Now - m_ArrivedAt);
  const Duration Timeout =
      m_SlotHeld ? std::min(m_Slot.m_ValidFor, TimeLeft) : TimeLeft;
  Out.emplace_back(RequestClaim{std::max(Timeout, Duration::zero())});
}

void RequestCore::on(const ClaimAnswered &Event, Actions &Out) {
  const bool Requested = m_State == State::Claiming;
  if (!Requested && m_State != State::ReadingClaim)
    return;
  switch (Event.m_Outcome.m_Status) {
  case claim::ClaimStatus::Owned:
    handleClaimOwned(Out);
    return;
  case claim::ClaimStatus::Ran:
    releaseSlot(WorkEnd::Unused, Out);
    m_ClaimRequested = false;
    finish(ReplayAnswer{Event.m_Outcome.m_Answer}, Out);
    return;
  case claim::ClaimStatus::InProgress:
    waitForKey(Out);
    return;
  case claim::ClaimStatus::OtherBody:
    releaseSlot(WorkEnd::Unused, Out);
    m_ClaimRequested = false;
    refuse(RefusalReason::KeyReused, Duration::zero(), Out);
    return;
  case claim::ClaimStatus::Done:
    if (!Requested) // The other call provably never ran: the key is free.
      placeBid(false, std::nullopt, Out);
    return;
  case claim::ClaimStatus::Unavailable:
    if (!Requested) {
      waitForKey(Out);
      return;
    }
    // Nothing was written now, but an earlier request of this attempt with an
    // uncertain outcome may have been.
    m_ClaimRequested = m_ClaimUncertain;
    releaseSlot(WorkEnd::Unused, Out);
    refuse(RefusalReason::ClaimUnavailable, ClaimRetryAfter, Out);
    return;
  case claim::ClaimStatus::Uncertain:
    // The row may name this attempt; another request with the same attempt id
    // finds out. Nothing is sent before, and the slot is released meanwhile.
    releaseSlot(WorkEnd::Unused, Out);
    m_ClaimUncertain = m_ClaimUncertain || Requested;
    m_State = Requested ? State::ClaimRetryWait : State::WaitingForKey;
    Out.emplace_back(WakeAfter{ClaimPollInterval});
    return;
  }
}

void RequestCore::handleClaimOwned(Actions &Out) {
  m_ClaimOwned = true;
  m_KeyHeldElsewhere = false; // The other attempt has released the key.
  if (m_CallerGone) {
    releaseSlot(WorkEnd::Unused, Out);
    refuse(RefusalReason::CallerGone, Duration::zero(), Out);
    return;
  }
  if (!m_SlotHeld || isSlotStale()) {
    releaseSlot(WorkEnd::Unused, Out);
    retry(RetryReason::GrantExpired, false, std::nullopt, Out);
    return;
  }
  sendCall(Out);
}

void RequestCore::waitForKey(Actions &Out) {
  // The slot can't be used while another call holds the key.
  releaseSlot(WorkEnd::Unused, Out);
  m_KeyHeldElsewhere = true;
  m_ClaimRequested = false;
  if (m_CallerGone) {
    finish(DropAnswer{}, Out);
    return;
  }
  m_State = State::WaitingForKey;
  Out.emplace_back(WakeAfter{ClaimPollInterval});
}

void RequestCore::on(const WaitElapsed &, Actions &Out) {
  if (m_State == State::WaitingForKey) {
    m_State = State::ReadingClaim;
    Out.emplace_back(ReadClaim{});
  } else if (m_State == State::ClaimRetryWait) {
    m_State = State::Claiming;
    requestClaim(Out);
  } else if (m_State == State::RecordingAnswer) {
    answerAfterRecord(Out);
  }
}

} // namespace crowstep::entry
