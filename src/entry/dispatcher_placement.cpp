/// Bids, grants and releases over the links to dispatchers.
#include "entry/dispatcher_placement.h"

#include "core/log.h"

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

/// Passes on the results of a bid that was placed locally.
class DispatcherPlacement::LocalListener final : public PlacementListener {
public:
  LocalListener(DispatcherPlacement &Owner, std::uint64_t Number,
                PlacementListener &Target)
      : m_Owner(Owner), m_Number(Number), m_Target(Target) {}

  void slotGranted(const GrantedSlot &Slot) override {
    m_Target.slotGranted(Slot);
  }
  void bidRefused(RefusalReason Reason, Duration RetryAfter) override {
    m_Owner.refuse(m_Number, Reason, RetryAfter); // Destroys this object.
  }
  void slotPreempted(UpstreamId Upstream) override {
    m_Target.slotPreempted(Upstream);
  }
  void grantBecameSuspect() override { m_Target.grantBecameSuspect(); }
  void bidMoved() override { m_Target.bidMoved(); }
  [[nodiscard]] std::uint32_t callTokens() const override {
    return m_Target.callTokens();
  }

private:
  DispatcherPlacement &m_Owner; ///< Outlives this object.
  std::uint64_t m_Number;       ///< Of the bid.
  PlacementListener &m_Target;  ///< Outlives the bid.
};

DispatcherPlacement::DispatcherPlacement(DispatcherLinks &Dispatchers,
                                         LocalPlacement &Local,
                                         PauseGuard &Guard, const Clock &Time,
                                         Scheduler &Timers,
                                         std::uint64_t FirstNumber)
    : m_LocalPlacement(Local), m_DispatcherLinks(Dispatchers),
      m_PauseGuard(Guard), m_Clock(Time), m_RerouteTimer(Timers),
      m_LastNumber(FirstNumber) {
  m_DispatcherLinks.onRoutesChanged([this] { reroute(); });
  m_PauseGuard.onPause([this] { handlePause(); });
}

BidNumber DispatcherPlacement::bid(const BidTerms &Terms,
                                   PlacementListener &Listener) {
  const BidNumber Number(++m_LastNumber);
  BidState New{Terms, poolIdOf(Terms.m_Service, 0), &Listener, {}, {}, {}, {},
               {}};
  New.m_BidAt = New.m_NoOwnerSince = m_Clock.now();
  BidState &Placed =
      m_Bids.emplace(Number.value(), std::move(New)).first->second;
  route(Number.value(), Placed);
  return Number;
}

void DispatcherPlacement::withdraw(BidNumber Number) {
  const auto Found = m_Bids.find(Number.value());
  if (Found == m_Bids.end())
    return;
  const BidState &Bid = Found->second;
  if (Bid.m_LocalBid)
    m_LocalPlacement.withdraw(*Bid.m_LocalBid);
  else if (Bid.m_Link != link::LinkId())
    m_DispatcherLinks.links()
        .outbox(Bid.m_Link)
        .withdrawals.emplace_back(Number.value(), Bid.m_Pool.value());
  m_Bids.erase(Found);
}

void DispatcherPlacement::reportFirstToken(BidNumber Number, Duration Latency) {
  const auto Found = m_Bids.find(Number.value());
  if (Found == m_Bids.end())
    return;
  if (Found->second.m_LocalBid)
    m_LocalPlacement.reportFirstToken(*Found->second.m_LocalBid, Latency);
  else if (Found->second.m_Link != link::LinkId())
    m_DispatcherLinks.links()
        .outbox(Found->second.m_Link)
        .first_tokens.emplace_back(Number.value(), Found->second.m_Pool.value(),
                                   microseconds(Latency));
}

void DispatcherPlacement::release(BidNumber Number,
                                  const ReleaseSlot &Release) {
  const auto Found = m_Bids.find(Number.value());
  if (Found == m_Bids.end())
    return;
  const BidState &Bid = Found->second;
  if (Bid.m_LocalBid)
    m_LocalPlacement.release(*Bid.m_LocalBid, Release);
  else if (Bid.m_Link != link::LinkId())
    m_DispatcherLinks.links()
        .outbox(Bid.m_Link)
        .work_ends.emplace_back(Number.value(), Bid.m_Pool.value(),
                                Release.m_Upstream.value(), Release.m_Tokens,
                                microseconds(Release.m_Elapsed),
                                static_cast<std::uint8_t>(Release.m_End));
  m_Bids.erase(Found);
}

// ---- Routing ----------------------------------------------------------------

void DispatcherPlacement::reroute() {
  for (auto &[Number, Bid] : m_Bids)
    route(Number, Bid);
}

void DispatcherPlacement::route(std::uint64_t Number, BidState &Bid) {
  if (m_PauseGuard
          .isInputSuspect()) { // Bids are sent again once the sockets are read.
    scheduleReroute(PauseGuard::SettleTime);
    return;
  }
  const link::LinkId Owner = m_DispatcherLinks.linkToOwner(Bid.m_Pool);
  if (Bid.m_LocalBid && (Owner == link::LinkId() || !returnToOwner(Bid)))
    return;
  if (Owner == Bid.m_Link && Owner != link::LinkId())
    return;
  if (Bid.m_Link != link::LinkId()) {
    if (!Bid.m_GrantedUpstream) // The old owner may still consider itself the
                                // owner.
      m_DispatcherLinks.links()
          .outbox(Bid.m_Link)
          .withdrawals.emplace_back(Number, Bid.m_Pool.value());
    Bid.m_Listener->bidMoved();
    Bid.m_NoOwnerSince = m_Clock.now();
  }
  Bid.m_Link = Owner;
  if (Owner != link::LinkId())
    sendToOwner(Number, Bid);
  else
    scheduleReroute(jitter());
}

void DispatcherPlacement::scheduleReroute(Duration Wait) {
  if (m_RerouteTimer.isRunning())
    return;
  m_RerouteTimer.start(Wait, [this] {
    reroute();
    placeLocally();
  });
}

void DispatcherPlacement::placeLocally() {
  for (auto &[Number, Bid] : m_Bids) {
    if (Bid.m_Link != link::LinkId() || Bid.m_GrantedUpstream ||
        Bid.m_LocalBid || m_Clock.now() - Bid.m_NoOwnerSince < OwnerTimeout)
      continue;
    BidTerms Terms = Bid.m_Terms;
    const Duration Waited = m_Clock.now() - Bid.m_BidAt;
    Terms.m_Bid.m_UntilTarget = timeLeft(Terms.m_Bid.m_UntilTarget, Waited);
    Terms.m_Bid.m_UntilLimit = timeLeft(Terms.m_Bid.m_UntilLimit, Waited);
    Bid.m_LocalListener =
        std::make_unique<LocalListener>(*this, Number, *Bid.m_Listener);
    Bid.m_LocalBid = m_LocalPlacement.bid(Terms, *Bid.m_LocalListener);
  }
}

bool DispatcherPlacement::returnToOwner(BidState &Bid) {
  // A call on a local slot ends there; the local share limits their number.
  if (!m_LocalPlacement.isWaiting(*Bid.m_LocalBid))
    return false;
  m_LocalPlacement.withdraw(*Bid.m_LocalBid);
  Bid.m_LocalBid.reset();
  return true;
}

std::unique_ptr<wire::BidT>
DispatcherPlacement::makeWireBid(std::uint64_t Number,
                                 const BidState &Bid) const {
  const Duration Waited = m_Clock.now() - Bid.m_BidAt;
  auto Out = std::make_unique<wire::BidT>();
  Out->request = Number;
  Out->pool = Bid.m_Pool.value();
  Out->class_id = Bid.m_Terms.m_Class.value();
  Out->workspace = Bid.m_Terms.m_Workspace.value();
  Out->prompt_tokens = Bid.m_Terms.m_PromptTokens;
  Out->max_tokens = Bid.m_Terms.m_MaxTokens;
  Out->done_tokens = Bid.m_Terms.m_Bid.m_DoneTokens;
  Out->until_target_ms =
      millisecondsLeft(Bid.m_Terms.m_Bid.m_UntilTarget, Waited);
  Out->until_limit_ms =
      millisecondsLeft(Bid.m_Terms.m_Bid.m_UntilLimit, Waited);
  Out->is_retry = Bid.m_Terms.m_Bid.m_IsRetry;
  Out->avoid = Bid.m_Terms.m_Bid.m_Avoid.value_or(UpstreamId()).value();
  Out->prefixes = Bid.m_Terms.m_Prefixes;
  return Out;
}

void DispatcherPlacement::sendToOwner(std::uint64_t Number,
                                      const BidState &Bid) {
  wire::FrameT &Out = m_DispatcherLinks.links().outbox(Bid.m_Link);
  if (!Bid.m_GrantedUpstream) {
    Out.bids.push_back(makeWireBid(Number, Bid));
    return;
  }
  auto Running = std::make_unique<wire::RunningT>();
  Running->bid = makeWireBid(Number, Bid);
  Running->upstream = Bid.m_GrantedUpstream->value();
  Running->tokens = Bid.m_Listener->callTokens();
  Out.running.push_back(std::move(Running));
}

// ---- Frames -----------------------------------------------------------------

void DispatcherPlacement::handleFrame(link::LinkId Link,
                                      const wire::Frame &Frame) {
  if (Frame.grants() != nullptr)
    for (const wire::Grant *Grant : *Frame.grants())
      handleGrant(Link, *Grant);
  if (Frame.refusals() != nullptr)
    for (const wire::Refusal *Refusal : *Frame.refusals())
      handleRefusal(Link, *Refusal);
  if (Frame.preempts() != nullptr)
    for (const wire::Preempt *Preempt : *Frame.preempts()) {
      const auto Found = m_Bids.find(Preempt->request());
      if (Found != m_Bids.end() && Found->second.m_GrantedUpstream)
        Found->second.m_Listener->slotPreempted(
            UpstreamId(Preempt->upstream()));
    }
  if (Frame.not_owner() != nullptr)
    for (const wire::NotOwner *NotOwner : *Frame.not_owner()) {
      const auto Found = m_Bids.find(NotOwner->request());
      if (Found == m_Bids.end() || Found->second.m_Link != Link)
        continue;
      // The views of the owners differ until both have the same members.
      Found->second.m_Link = link::LinkId();
      Found->second.m_NoOwnerSince = m_Clock.now();
      scheduleReroute(jitter());
    }
}

void DispatcherPlacement::returnGrant(link::LinkId Link,
                                      const wire::Grant &Grant, PoolId Pool) {
  m_DispatcherLinks.links().outbox(Link).work_ends.emplace_back(
      Grant.request(), Pool.value(), Grant.upstream(), 0, 0,
      static_cast<std::uint8_t>(decision::WorkEnd::Unused));
}

void DispatcherPlacement::handleGrant(link::LinkId Link,
                                      const wire::Grant &Grant) {
  const auto Found = m_Bids.find(Grant.request());
  if (Found == m_Bids.end() || Found->second.m_Link != Link)
    return; // Withdrawn, ended or moved: the dispatcher was notified then.
  BidState &Bid = Found->second;
  if (Bid.m_GrantedUpstream)
    return; // Granted again after the link was restored.
  if (m_PauseGuard.isInputSuspect()) {
    // The validity counts from the receipt, which a pause delays: an old grant
    // could be used at an upstream that has been removed since.
    returnGrant(Link, Grant, Bid.m_Pool);
    Bid.m_Link = link::LinkId();
    scheduleReroute(PauseGuard::SettleTime);
    return;
  }
  Bid.m_GrantedUpstream = UpstreamId(Grant.upstream());
  GrantedSlot Slot;
  Slot.m_Upstream = UpstreamId(Grant.upstream());
  Slot.m_Address = {Grant.ip(), Grant.port()};
  Slot.m_Priority = Grant.priority();
  Slot.m_CanResume = Grant.resumes();
  Slot.m_ValidFor = std::chrono::milliseconds(Grant.valid_ms());
  Bid.m_Listener->slotGranted(Slot);
}

void DispatcherPlacement::handleRefusal(link::LinkId Link,
                                        const wire::Refusal &Refusal) {
  const auto Found = m_Bids.find(Refusal.request());
  if (Found == m_Bids.end() || Found->second.m_Link != Link ||
      Found->second.m_GrantedUpstream)
    return;
  auto Reason = RefusalReason::NoUpstream;
  if (Refusal.reason() > 0 &&
      Refusal.reason() < static_cast<std::uint8_t>(RefusalReason::Count))
    Reason = static_cast<RefusalReason>(Refusal.reason());
  refuse(Refusal.request(), Reason,
         std::chrono::milliseconds(Refusal.retry_after_ms()));
}

void DispatcherPlacement::refuse(std::uint64_t Number, RefusalReason Reason,
                                 Duration RetryAfter) {
  const auto Removed = m_Bids.extract(Number);
  if (!Removed.empty())
    Removed.mapped().m_Listener->bidRefused(Reason, RetryAfter);
}

void DispatcherPlacement::handlePause() {
  logEvent(LogEvent::EntryPaused, {{"bids", std::to_string(m_Bids.size())}});
  for (auto &[Number, Bid] : m_Bids) {
    const bool IsGrantedLocally =
        Bid.m_LocalBid && !m_LocalPlacement.isWaiting(*Bid.m_LocalBid);
    if (Bid.m_GrantedUpstream || IsGrantedLocally) {
      Bid.m_Listener->grantBecameSuspect();
      continue;
    }
    if (Bid.m_Link != link::LinkId())
      m_DispatcherLinks.links()
          .outbox(Bid.m_Link)
          .withdrawals.emplace_back(Number, Bid.m_Pool.value());
    Bid.m_Link = link::LinkId();
    Bid.m_NoOwnerSince = m_Clock.now();
  }
  scheduleReroute(PauseGuard::SettleTime);
}

} // namespace crowstep::entry
