/// Bids, grants and releases over the links to dispatchers.
#include "entry/dispatcher_placement.h"

#include <algorithm>
#include <glib.h>

namespace crowstep::entry {

namespace {

/// Delay before a bid that an owner has returned, or that has no owner, is
/// routed again. It is random so that the entries' bids don't arrive together.
constexpr Duration MinReroute = std::chrono::milliseconds(50);
constexpr Duration MaxReroute = std::chrono::milliseconds(150);

Duration jitter() {
  return Duration(g_random_int_range(static_cast<int>(MinReroute.count()),
                                     static_cast<int>(MaxReroute.count())));
}

Duration timeLeft(Duration Total, Duration Waited) {
  return std::max(Total - Waited, Duration::zero());
}

std::uint32_t millisecondsLeft(Duration Total, Duration Waited) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          timeLeft(Total, Waited))
          .count());
}

std::uint32_t microseconds(Duration Value) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Value.count(), 0, UINT32_MAX));
}

} // namespace

DispatcherPlacement::DispatcherPlacement(Fleet &Dispatchers,
                                         LocalPlacement &Local,
                                         PauseGuard &Guard, const Clock &Time,
                                         Scheduler &Timers,
                                         std::uint64_t FirstNumber)
    : m_Alone(Local), m_Fleet(Dispatchers), m_Guard(Guard), m_Clock(Time),
      m_Reroute(Timers), m_LastNumber(FirstNumber) {
  m_Fleet.onRoutes([this] { reroute(); });
  m_Guard.onPause([this] { woke(); });
}

BidNumber DispatcherPlacement::bid(const BidTerms &Terms,
                                   PlacementListener &Listener) {
  const BidNumber Number(++m_LastNumber);
  Held New{Terms, poolIdOf(Terms.m_Service, 0), &Listener, {}, {}, {}, {}, {}};
  New.m_BidAt = New.m_Homeless = m_Clock.now();
  Held &Placed = m_Held.emplace(Number.value(), std::move(New)).first->second;
  route(Number.value(), Placed);
  return Number;
}

void DispatcherPlacement::withdraw(BidNumber Number) {
  const auto Found = m_Held.find(Number.value());
  if (Found == m_Held.end())
    return;
  const Held &Bid = Found->second;
  if (Bid.m_Link != link::LinkId())
    m_Fleet.links()
        .outbox(Bid.m_Link)
        .withdrawals.emplace_back(Number.value(), Bid.m_Pool.value());
  m_Held.erase(Found);
}

void DispatcherPlacement::firstToken(BidNumber Number, Duration Latency) {
  const auto Found = m_Held.find(Number.value());
  if (Found == m_Held.end())
    return;
  if (Found->second.m_Alone)
    m_Alone.firstToken(*Found->second.m_Alone, Latency);
  else if (Found->second.m_Link != link::LinkId())
    m_Fleet.links()
        .outbox(Found->second.m_Link)
        .first_tokens.emplace_back(Number.value(), Found->second.m_Pool.value(),
                                   microseconds(Latency));
}

void DispatcherPlacement::release(BidNumber Number,
                                  const ReleaseSlot &Release) {
  const auto Found = m_Held.find(Number.value());
  if (Found == m_Held.end())
    return;
  const Held &Bid = Found->second;
  if (Bid.m_Link != link::LinkId())
    m_Fleet.links()
        .outbox(Bid.m_Link)
        .work_ends.emplace_back(Number.value(), Bid.m_Pool.value(),
                                Release.m_Upstream.value(), Release.m_Tokens,
                                microseconds(Release.m_Elapsed),
                                static_cast<std::uint8_t>(Release.m_End));
  m_Held.erase(Found);
}

// ---- Routing ----------------------------------------------------------------

void DispatcherPlacement::reroute() {
  for (auto &[Number, Bid] : m_Held)
    route(Number, Bid);
}

void DispatcherPlacement::route(std::uint64_t Number, Held &Bid) {
  if (m_Guard.suspect()) { // Bids are sent again once the sockets are read.
    rerouteSoon(PauseGuard::Settling);
    return;
  }
  const link::LinkId Owner = m_Fleet.linkToOwner(Bid.m_Pool);
  if (Bid.m_Alone && (Owner == link::LinkId() || !backToOwner(Bid)))
    return;
  if (Owner == Bid.m_Link && Owner != link::LinkId())
    return;
  if (Bid.m_Link != link::LinkId()) {
    if (!Bid.m_Slot) // The old owner may still consider itself the owner.
      m_Fleet.links()
          .outbox(Bid.m_Link)
          .withdrawals.emplace_back(Number, Bid.m_Pool.value());
    Bid.m_Listener->bidMoved();
    Bid.m_Homeless = m_Clock.now();
  }
  Bid.m_Link = Owner;
  if (Owner != link::LinkId())
    send(Number, Bid);
  else
    rerouteSoon(jitter());
}

void DispatcherPlacement::rerouteSoon(Duration Wait) {
  if (m_Reroute.running())
    return;
  m_Reroute.start(Wait, [this] {
    reroute();
    decideAlone();
  });
}

void DispatcherPlacement::decideAlone() {
  for (auto &[Number, Bid] : m_Held) {
    if (Bid.m_Link != link::LinkId() || Bid.m_Slot || Bid.m_Alone ||
        m_Clock.now() - Bid.m_Homeless < OwnerPatience)
      continue;
    BidTerms Terms = Bid.m_Terms;
    const Duration Waited = m_Clock.now() - Bid.m_BidAt;
    Terms.m_Ask.m_UntilTarget = timeLeft(Terms.m_Ask.m_UntilTarget, Waited);
    Terms.m_Ask.m_UntilLimit = timeLeft(Terms.m_Ask.m_UntilLimit, Waited);
    Bid.m_Alone = m_Alone.bid(Terms, *Bid.m_Listener);
  }
}

bool DispatcherPlacement::backToOwner(Held &Bid) {
  // A call on a local slot ends there; the local share limits their number.
  if (!m_Alone.waits(*Bid.m_Alone))
    return false;
  m_Alone.withdraw(*Bid.m_Alone);
  Bid.m_Alone.reset();
  return true;
}

std::unique_ptr<wire::BidT>
DispatcherPlacement::wireBid(std::uint64_t Number, const Held &Bid) const {
  const Duration Waited = m_Clock.now() - Bid.m_BidAt;
  auto Out = std::make_unique<wire::BidT>();
  Out->request = Number;
  Out->pool = Bid.m_Pool.value();
  Out->class_id = Bid.m_Terms.m_Class.value();
  Out->workspace = Bid.m_Terms.m_Workspace.value();
  Out->prompt_tokens = Bid.m_Terms.m_PromptTokens;
  Out->max_tokens = Bid.m_Terms.m_MaxTokens;
  Out->done_tokens = Bid.m_Terms.m_Ask.m_DoneTokens;
  Out->until_target_ms =
      millisecondsLeft(Bid.m_Terms.m_Ask.m_UntilTarget, Waited);
  Out->until_limit_ms =
      millisecondsLeft(Bid.m_Terms.m_Ask.m_UntilLimit, Waited);
  Out->is_retry = Bid.m_Terms.m_Ask.m_IsRetry;
  Out->avoid = Bid.m_Terms.m_Ask.m_Avoid.value_or(UpstreamId()).value();
  Out->prefixes = Bid.m_Terms.m_Prefixes;
  return Out;
}

void DispatcherPlacement::send(std::uint64_t Number, const Held &Bid) {
  wire::FrameT &Out = m_Fleet.links().outbox(Bid.m_Link);
  if (!Bid.m_Slot) {
    Out.bids.push_back(wireBid(Number, Bid));
    return;
  }
  auto Running = std::make_unique<wire::RunningT>();
  Running->bid = wireBid(Number, Bid);
  Running->upstream = Bid.m_Slot->value();
  Running->tokens = Bid.m_Listener->callTokens();
  Out.running.push_back(std::move(Running));
}

// ---- Frames -----------------------------------------------------------------

void DispatcherPlacement::frame(link::LinkId Link, const wire::Frame &Frame) {
  if (Frame.grants() != nullptr)
    for (const wire::Grant *Grant : *Frame.grants())
      granted(Link, *Grant);
  if (Frame.refusals() != nullptr)
    for (const wire::Refusal *Refusal : *Frame.refusals())
      refused(Link, *Refusal);
  if (Frame.preempts() != nullptr)
    for (const wire::Preempt *Preempt : *Frame.preempts()) {
      const auto Found = m_Held.find(Preempt->request());
      if (Found != m_Held.end() && Found->second.m_Slot)
        Found->second.m_Listener->slotPreempted(
            UpstreamId(Preempt->upstream()));
    }
  if (Frame.not_owner() != nullptr)
    for (const wire::NotOwner *NotOwner : *Frame.not_owner()) {
      const auto Found = m_Held.find(NotOwner->request());
      if (Found == m_Held.end() || Found->second.m_Link != Link)
        continue;
      // The views of the owners differ until both have the same members.
      Found->second.m_Link = link::LinkId();
      Found->second.m_Homeless = m_Clock.now();
      rerouteSoon(jitter());
    }
}

void DispatcherPlacement::unused(link::LinkId Link, const wire::Grant &Grant,
                                 PoolId Pool) {
  m_Fleet.links().outbox(Link).work_ends.emplace_back(
      Grant.request(), Pool.value(), Grant.upstream(), 0, 0,
      static_cast<std::uint8_t>(decision::WorkEnd::Unused));
}

void DispatcherPlacement::granted(link::LinkId Link, const wire::Grant &Grant) {
  const auto Found = m_Held.find(Grant.request());
  if (Found == m_Held.end() || Found->second.m_Link != Link)
    return; // Withdrawn, ended or moved: the dispatcher was notified then.
  Held &Bid = Found->second;
  if (Bid.m_Slot)
    return; // Granted again after the link was restored.
  if (m_Guard.suspect()) {
    // The validity counts from the receipt, which a pause delays: an old grant
    // could be used at an upstream that has been removed since.
    unused(Link, Grant, Bid.m_Pool);
    Bid.m_Link = link::LinkId();
    rerouteSoon(PauseGuard::Settling);
    return;
  }
  Bid.m_Slot = UpstreamId(Grant.upstream());
  GrantedSlot Slot;
  Slot.m_Upstream = UpstreamId(Grant.upstream());
  Slot.m_Address = {Grant.ip(), Grant.port()};
  Slot.m_Priority = Grant.priority();
  Slot.m_Resumes = Grant.resumes();
  Slot.m_ValidFor = std::chrono::milliseconds(Grant.valid_ms());
  Bid.m_Listener->slotGranted(Slot);
}

void DispatcherPlacement::refused(link::LinkId Link,
                                  const wire::Refusal &Refusal) {
  const auto Found = m_Held.find(Refusal.request());
  if (Found == m_Held.end() || Found->second.m_Link != Link ||
      Found->second.m_Slot)
    return;
  auto Reason = RefusalReason::NoUpstream;
  if (Refusal.reason() > 0 &&
      Refusal.reason() < static_cast<std::uint8_t>(RefusalReason::Count))
    Reason = static_cast<RefusalReason>(Refusal.reason());
  const auto Removed = m_Held.extract(Found);
  Removed.mapped().m_Listener->bidRefused(
      Reason, std::chrono::milliseconds(Refusal.retry_after_ms()));
}

void DispatcherPlacement::woke() {
  for (auto &[Number, Bid] : m_Held) {
    if (Bid.m_Slot) {
      Bid.m_Listener->grantSuspect();
      continue;
    }
    if (Bid.m_Link != link::LinkId())
      m_Fleet.links()
          .outbox(Bid.m_Link)
          .withdrawals.emplace_back(Number, Bid.m_Pool.value());
    Bid.m_Link = link::LinkId();
    Bid.m_Homeless = m_Clock.now();
  }
  rerouteSoon(PauseGuard::Settling);
}

} // namespace crowstep::entry
