/// State machine of a request: the claim of a call that is not repeatable.
#include "entry/request_core.h"

#include <algorithm>

namespace crowstep::entry {

namespace {

using decision::WorkEnd;

} // namespace

void RequestCore::askClaim(Actions &Out) {
  // During an outage of the table service, the slot must not be held for longer
  // than the grant is valid, nor the caller wait beyond the limit.
  const Duration TimeLeft = m_Terms.m_TotalLimit - (m_Now - m_Begin);
  const Duration Timeout =
      m_SlotHeld ? std::min(m_Slot.m_ValidFor, TimeLeft) : TimeLeft;
  Out.emplace_back(AskClaim{std::max(Timeout, Duration::zero())});
}

void RequestCore::on(const ClaimAnswered &Event, Actions &Out) {
  const bool Requested = m_State == State::Claiming;
  if (!Requested && m_State != State::KeyRead)
    return;
  switch (Event.m_Outcome.m_Status) {
  case claim::ClaimStatus::Owned:
    claimOwned(Out);
    return;
  case claim::ClaimStatus::Ran:
    release(WorkEnd::Unused, Out);
    m_ClaimAsked = false;
    finish(ReplayAnswer{Event.m_Outcome.m_Answer}, Out);
    return;
  case claim::ClaimStatus::InProgress:
    keyHeldElsewhere(Out);
    return;
  case claim::ClaimStatus::OtherBody:
    release(WorkEnd::Unused, Out);
    m_ClaimAsked = false;
    refuse(RefusalReason::KeyReused, Duration::zero(), Out);
    return;
  case claim::ClaimStatus::Done:
    if (!Requested) // The other call provably never ran: the key is free.
      bid(false, std::nullopt, Out);
    return;
  case claim::ClaimStatus::Unavailable:
    if (!Requested) {
      keyHeldElsewhere(Out);
      return;
    }
    // Nothing was written now, but an earlier request of this attempt with an
    // uncertain outcome may have been.
    m_ClaimAsked = m_ClaimMayStand;
    release(WorkEnd::Unused, Out);
    refuse(RefusalReason::ClaimUnavailable, ClaimRetryAfter, Out);
    return;
  case claim::ClaimStatus::Uncertain:
    // The row may name this attempt; another request with the same attempt id
    // finds out. Nothing is sent before, and the slot is released meanwhile.
    release(WorkEnd::Unused, Out);
    m_ClaimMayStand = m_ClaimMayStand || Requested;
    m_State = Requested ? State::ClaimPause : State::KeyWait;
    Out.emplace_back(WakeAfter{ClaimPoll});
    return;
  }
}

void RequestCore::claimOwned(Actions &Out) {
  m_ClaimOwned = true;
  m_OtherHolds = false; // The other attempt has released the key.
  if (m_CallerGone) {
    release(WorkEnd::Unused, Out);
    refuse(RefusalReason::CallerGone, Duration::zero(), Out);
    return;
  }
  if (!m_SlotHeld || slotStale()) {
    release(WorkEnd::Unused, Out);
    retry(RetryReason::GrantExpired, false, std::nullopt, Out);
    return;
  }
  send(Out);
}

void RequestCore::keyHeldElsewhere(Actions &Out) {
  // The slot can't be used while another call holds the key.
  release(WorkEnd::Unused, Out);
  m_OtherHolds = true;
  m_ClaimAsked = false;
  if (m_CallerGone) {
    finish(DropAnswer{}, Out);
    return;
  }
  m_State = State::KeyWait;
  Out.emplace_back(WakeAfter{ClaimPoll});
}

void RequestCore::on(const PauseOver &, Actions &Out) {
  if (m_State == State::KeyWait) {
    m_State = State::KeyRead;
    Out.emplace_back(ReadClaim{});
  } else if (m_State == State::ClaimPause) {
    m_State = State::Claiming;
    askClaim(Out);
  } else if (m_State == State::Keeping) {
    answerRan(Out);
  }
}

} // namespace crowstep::entry
