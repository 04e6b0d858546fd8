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

Duration left(Duration Whole, Duration Waited) {
  return std::max(Whole - Waited, Duration::zero());
}

std::uint32_t millisecondsLeft(Duration Whole, Duration Waited) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(left(Whole, Waited))
          .count());
}

std::uint32_t microseconds(Duration Value) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Value.count(), 0, UINT32_MAX));
}

} // namespace

DispatcherPlacement::DispatcherPlacement(Fleet &Dispatchers,
                                         LocalPlacement &Alone,
                                         PauseGuard &Guard, const Clock &Time,
                                         Scheduler &Timers,
                                         std::uint64_t FirstNumber)
    : m_Alone(Alone), m_Fleet(Dispatchers), m_Guard(Guard), m_Clock(Time),
      m_Reroute(Timers), m_LastNumber(FirstNumber) {
  m_Fleet.onRoutes([this] { reroute(); });
  m_Guard.onPause([this] { woke(); });
}

BidNumber DispatcherPlacement::bid(const BidTerms &Terms,
                                   PlacementListener &Listener) {
  const BidNumber Number(++m_LastNumber);
  Held Fresh{Terms, poolIdOf(Terms.m_Service, 0), &Listener, {}, {}, {}, {},
             {}};
  Fresh.m_BidAt = Fresh.m_Homeless = m_Clock.now();
  Held &Each = m_Held.emplace(Number.value(), std::move(Fresh)).first->second;
  route(Number.value(), Each);
  return Number;
}

void DispatcherPlacement::withdraw(BidNumber Bid) {
  const auto Found = m_Held.find(Bid.value());
  if (Found == m_Held.end())
    return;
  const Held &Each = Found->second;
  if (Each.m_Link != link::LinkId())
    m_Fleet.links()
        .outbox(Each.m_Link)
        .withdrawals.emplace_back(Bid.value(), Each.m_Pool.value());
  m_Held.erase(Found);
}

void DispatcherPlacement::firstToken(BidNumber Bid, Duration Latency) {
  const auto Found = m_Held.find(Bid.value());
  if (Found == m_Held.end())
    return;
  if (Found->second.m_Alone)
    m_Alone.firstToken(*Found->second.m_Alone, Latency);
  else if (Found->second.m_Link != link::LinkId())
    m_Fleet.links()
        .outbox(Found->second.m_Link)
        .first_tokens.emplace_back(Bid.value(), Found->second.m_Pool.value(),
                                   microseconds(Latency));
}

void DispatcherPlacement::release(BidNumber Bid, const ReleaseSlot &How) {
  const auto Found = m_Held.find(Bid.value());
  if (Found == m_Held.end())
    return;
  const Held &Each = Found->second;
  if (Each.m_Link != link::LinkId())
    m_Fleet.links()
        .outbox(Each.m_Link)
        .work_ends.emplace_back(Bid.value(), Each.m_Pool.value(),
                                How.m_Upstream.value(), How.m_Tokens,
                                microseconds(How.m_Elapsed),
                                static_cast<std::uint8_t>(How.m_End));
  m_Held.erase(Found);
}

// ---- Routing ----------------------------------------------------------------

void DispatcherPlacement::reroute() {
  for (auto &[Number, Each] : m_Held)
    route(Number, Each);
}

void DispatcherPlacement::route(std::uint64_t Number, Held &Each) {
  if (m_Guard.suspect()) { // Bids are sent again once the sockets are read.
    rerouteSoon(PauseGuard::Settling);
    return;
  }
  const link::LinkId Owner = m_Fleet.linkToOwner(Each.m_Pool);
  if (Each.m_Alone && (Owner == link::LinkId() || !backToOwner(Each)))
    return;
  if (Owner == Each.m_Link && Owner != link::LinkId())
    return;
  if (Each.m_Link != link::LinkId()) {
    if (!Each.m_Slot) // The old owner may still think that it is one.
      m_Fleet.links()
          .outbox(Each.m_Link)
          .withdrawals.emplace_back(Number, Each.m_Pool.value());
    Each.m_Listener->bidMoved();
    Each.m_Homeless = m_Clock.now();
  }
  Each.m_Link = Owner;
  if (Owner != link::LinkId())
    send(Number, Each);
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
  for (auto &[Number, Each] : m_Held) {
    if (Each.m_Link != link::LinkId() || Each.m_Slot || Each.m_Alone ||
        m_Clock.now() - Each.m_Homeless < OwnerPatience)
      continue;
    BidTerms Terms = Each.m_Terms;
    const Duration Waited = m_Clock.now() - Each.m_BidAt;
    Terms.m_Ask.m_UntilTarget = left(Terms.m_Ask.m_UntilTarget, Waited);
    Terms.m_Ask.m_UntilLimit = left(Terms.m_Ask.m_UntilLimit, Waited);
    Each.m_Alone = m_Alone.bid(Terms, *Each.m_Listener);
  }
}

bool DispatcherPlacement::backToOwner(Held &Each) {
  // A call on a local slot ends there; the local share limits their number.
  if (!m_Alone.waits(*Each.m_Alone))
    return false;
  m_Alone.withdraw(*Each.m_Alone);
  Each.m_Alone.reset();
  return true;
}

std::unique_ptr<wire::BidT>
DispatcherPlacement::wireBid(std::uint64_t Number, const Held &Each) const {
  const Duration Waited = m_Clock.now() - Each.m_BidAt;
  auto Out = std::make_unique<wire::BidT>();
  Out->request = Number;
  Out->pool = Each.m_Pool.value();
  Out->class_id = Each.m_Terms.m_Class.value();
  Out->workspace = Each.m_Terms.m_Workspace.value();
  Out->prompt_tokens = Each.m_Terms.m_PromptTokens;
  Out->max_tokens = Each.m_Terms.m_MaxTokens;
  Out->done_tokens = Each.m_Terms.m_Ask.m_DoneTokens;
  Out->until_target_ms =
      millisecondsLeft(Each.m_Terms.m_Ask.m_UntilTarget, Waited);
  Out->until_limit_ms =
      millisecondsLeft(Each.m_Terms.m_Ask.m_UntilLimit, Waited);
  Out->is_retry = Each.m_Terms.m_Ask.m_IsRetry;
  Out->avoid = Each.m_Terms.m_Ask.m_Avoid.value_or(UpstreamId()).value();
  Out->prefixes = Each.m_Terms.m_Prefixes;
  return Out;
}

void DispatcherPlacement::send(std::uint64_t Number, const Held &Each) {
  wire::FrameT &Out = m_Fleet.links().outbox(Each.m_Link);
  if (!Each.m_Slot) {
    Out.bids.push_back(wireBid(Number, Each));
    return;
  }
  auto Running = std::make_unique<wire::RunningT>();
  Running->bid = wireBid(Number, Each);
  Running->upstream = Each.m_Slot->value();
  Running->tokens = Each.m_Listener->callTokens();
  Out.running.push_back(std::move(Running));
}

// ---- Frames -----------------------------------------------------------------

void DispatcherPlacement::frame(link::LinkId Link, const wire::Frame &Frame) {
  if (Frame.grants() != nullptr)
    for (const wire::Grant *Each : *Frame.grants())
      granted(Link, *Each);
  if (Frame.refusals() != nullptr)
    for (const wire::Refusal *Each : *Frame.refusals())
      refused(Link, *Each);
  if (Frame.preempts() != nullptr)
    for (const wire::Preempt *Each : *Frame.preempts()) {
      const auto Found = m_Held.find(Each->request());
      if (Found != m_Held.end() && Found->second.m_Slot)
        Found->second.m_Listener->slotPreempted(UpstreamId(Each->upstream()));
    }
  if (Frame.not_owner() != nullptr)
    for (const wire::NotOwner *Each : *Frame.not_owner()) {
      const auto Found = m_Held.find(Each->request());
      if (Found == m_Held.end() || Found->second.m_Link != Link)
        continue;
      // The views of the owners differ until both have the same members.
      Found->second.m_Link = link::LinkId();
      Found->second.m_Homeless = m_Clock.now();
      rerouteSoon(jitter());
    }
}

void DispatcherPlacement::unused(link::LinkId Link, const wire::Grant &What,
                                 PoolId Pool) {
  m_Fleet.links().outbox(Link).work_ends.emplace_back(
      What.request(), Pool.value(), What.upstream(), 0, 0,
      static_cast<std::uint8_t>(decision::WorkEnd::Unused));
}

void DispatcherPlacement::granted(link::LinkId Link, const wire::Grant &What) {
  const auto Found = m_Held.find(What.request());
  if (Found == m_Held.end() || Found->second.m_Link != Link)
    return; // Withdrawn, ended or moved: the dispatcher was notified then.
  Held &Each = Found->second;
  if (Each.m_Slot)
    return; // Granted again after the link was restored.
  if (m_Guard.suspect()) {
    // The validity counts from the receipt, which a pause delays: an old grant
    // could be used at an upstream that has been removed since.
    unused(Link, What, Each.m_Pool);
    Each.m_Link = link::LinkId();
    rerouteSoon(PauseGuard::Settling);
    return;
  }
  Each.m_Slot = UpstreamId(What.upstream());
  GrantedSlot Slot;
  Slot.m_Upstream = UpstreamId(What.upstream());
  Slot.m_Address = {What.ip(), What.port()};
  Slot.m_Priority = What.priority();
  Slot.m_Resumes = What.resumes();
  Slot.m_ValidFor = std::chrono::milliseconds(What.valid_ms());
  Each.m_Listener->slotGranted(Slot);
}

void DispatcherPlacement::refused(link::LinkId Link,
                                  const wire::Refusal &What) {
  const auto Found = m_Held.find(What.request());
  if (Found == m_Held.end() || Found->second.m_Link != Link ||
      Found->second.m_Slot)
    return;
  auto Reason = RefusalReason::NoUpstream;
  if (What.reason() > 0 &&
      What.reason() < static_cast<std::uint8_t>(RefusalReason::Count))
    Reason = static_cast<RefusalReason>(What.reason());
  const auto Gone = m_Held.extract(Found);
  Gone.mapped().m_Listener->bidRefused(
      Reason, std::chrono::milliseconds(What.retry_after_ms()));
}

void DispatcherPlacement::woke() {
  for (auto &[Number, Each] : m_Held) {
    if (Each.m_Slot) {
      Each.m_Listener->grantSuspect();
      continue;
    }
    if (Each.m_Link != link::LinkId())
      m_Fleet.links()
          .outbox(Each.m_Link)
          .withdrawals.emplace_back(Number, Each.m_Pool.value());
    Each.m_Link = link::LinkId();
    Each.m_Homeless = m_Clock.now();
  }
  rerouteSoon(PauseGuard::Settling);
}

} // namespace crowstep::entry
