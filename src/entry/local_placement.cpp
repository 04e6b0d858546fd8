/// Deciders that run in the entry.
#include "entry/local_placement.h"

#include <algorithm>

namespace crowstep::entry {

namespace {

Upstream withShare(Upstream Full, std::uint32_t Divisor) {
  std::visit(
      [&](auto &Kind) { Kind.m_Slots = std::max(Kind.m_Slots / Divisor, 1U); },
      Full.m_Kind);
  return Full;
}

} // namespace

LocalPlacement::LocalPlacement(LocalPlacementConfig Config,
                               const Directory &Dir, const Clock &Time,
                               Scheduler &Timers)
    : m_Config(std::move(Config)), m_Directory(Dir), m_Clock(Time),
      m_Timers(Timers), m_DeliverTimer(Timers) {}

void LocalPlacement::ensurePool(const std::string &Service) {
  std::unique_ptr<Pool> &NewPool = m_Pools[Service];
  if (NewPool == nullptr) {
    NewPool = std::make_unique<Pool>(m_Config.m_Decider, m_Timers);
    refresh(Service);
  }
}

void LocalPlacement::refresh() {
  for (const auto &[Service, PoolPtr] : m_Pools)
    refresh(Service);
}

void LocalPlacement::refresh(const std::string &Service) {
  decision::UpstreamsChanged Change;
  const std::uint32_t Divisor = std::max(m_Config.m_SlotDivisor(), 1U);
  for (const Upstream &Row : m_Directory.upstreams())
    if (Row.m_Service == Service)
      Change.m_Upstreams.push_back(withShare(Row, Divisor));
  handle(Service, decision::TableChanged{m_Directory.table()});
  handle(Service, Change);
}

void LocalPlacement::handle(const std::string &Service,
                            const decision::Event &Event) {
  Pool &Target = *m_Pools.at(Service);
  std::vector<decision::Action> Actions;
  Target.m_Decider.handle(Event, m_Clock.now(), Actions);
  for (const decision::Action &Action : Actions)
    queueAction(Action);
  const std::optional<TimePoint> Due = Target.m_Decider.nextDeadline();
  if (!Due)
    Target.m_Timer.stop();
  else
    Target.m_Timer.start(*Due - m_Clock.now(), [this, Service] {
      handle(Service, decision::Tick{});
    });
}

BidNumber LocalPlacement::bid(const BidTerms &Terms,
                              PlacementListener &Listener) {
  const BidNumber Number(++m_LastNumber);
  ensurePool(Terms.m_Service);
  m_Bids.emplace(Number.value(), BidState{Terms.m_Service, &Listener, false});
  decision::Bid Bid;
  Bid.m_Request = {m_Config.m_Self, Number.value()};
  Bid.m_Class = Terms.m_Class;
  Bid.m_Workspace = Terms.m_Workspace;
  Bid.m_PromptTokens = Terms.m_PromptTokens;
  Bid.m_MaxTokens = Terms.m_MaxTokens;
  Bid.m_DoneTokens = Terms.m_Bid.m_DoneTokens;
  Bid.m_Prefixes = Terms.m_Prefixes;
  Bid.m_Zone = m_Config.m_Zone;
  Bid.m_UntilTarget = Terms.m_Bid.m_UntilTarget;
  Bid.m_UntilLimit = Terms.m_Bid.m_UntilLimit;
  Bid.m_IsRetry = Terms.m_Bid.m_IsRetry;
  Bid.m_Avoid = Terms.m_Bid.m_Avoid;
  handle(Terms.m_Service, Bid);
  return Number;
}

void LocalPlacement::withdraw(BidNumber Bid) {
  const auto Removed = m_Bids.extract(Bid.value());
  if (!Removed.empty())
    handle(Removed.mapped().m_Service,
           decision::BidWithdrawn{{m_Config.m_Self, Bid.value()}});
}

void LocalPlacement::reportFirstToken(BidNumber Bid, Duration Latency) {
  const auto Found = m_Bids.find(Bid.value());
  if (Found != m_Bids.end())
    handle(Found->second.m_Service,
           decision::FirstToken{{m_Config.m_Self, Bid.value()}, Latency});
}

void LocalPlacement::release(BidNumber Bid, const ReleaseSlot &Release) {
  const auto Removed = m_Bids.extract(Bid.value());
  if (!Removed.empty())
    handle(Removed.mapped().m_Service,
           decision::WorkEnded{{m_Config.m_Self, Bid.value()},
                               Release.m_Upstream,
                               Release.m_End,
                               Release.m_Tokens,
                               Release.m_Elapsed});
}

bool LocalPlacement::isWaiting(BidNumber Bid) const {
  const auto Found = m_Bids.find(Bid.value());
  return Found != m_Bids.end() && !Found->second.m_HasSlot;
}

void LocalPlacement::queueAction(const decision::Action &Action) {
  m_PendingActions.push_back(Action);
  if (!m_DeliverTimer.isRunning())
    m_DeliverTimer.start(Duration::zero(), [this] { deliverActions(); });
}

void LocalPlacement::deliverActions() {
  std::deque<decision::Action> Actions;
  Actions.swap(m_PendingActions);
  for (const decision::Action &Action : Actions)
    std::visit([this](const auto &Typed) { carryOut(Typed); }, Action);
}

const Upstream *LocalPlacement::findUpstream(UpstreamId Id) const {
  const auto &All = m_Directory.upstreams();
  const auto Found = std::find_if(
      All.begin(), All.end(), [&](const auto &Row) { return Row.m_Id == Id; });
  return Found == All.end() ? nullptr : &*Found;
}

void LocalPlacement::carryOut(const decision::Grant &Action) {
  const auto Found = m_Bids.find(Action.m_Request.m_Number);
  const Upstream *Target = findUpstream(Action.m_Upstream);
  // Withdrawn, or the upstream was removed: the decider was notified then.
  if (Found == m_Bids.end() || Found->second.m_HasSlot || Target == nullptr)
    return;
  Found->second.m_HasSlot = true;
  GrantedSlot Slot;
  Slot.m_Upstream = Action.m_Upstream;
  Slot.m_Address = Target->m_Address;
  Slot.m_Priority = Action.m_Priority;
  const auto *Kind = std::get_if<Engine>(&Target->m_Kind);
  Slot.m_CanResume = Kind != nullptr && Kind->m_CanResume;
  Slot.m_ValidFor = Action.m_ValidFor;
  Found->second.m_Listener->slotGranted(Slot);
}

void LocalPlacement::carryOut(const decision::Refuse &Action) {
  const auto Removed = m_Bids.extract(Action.m_Request.m_Number);
  if (!Removed.empty())
    Removed.mapped().m_Listener->bidRefused(Action.m_Reason,
                                            Action.m_RetryAfter);
}

void LocalPlacement::carryOut(const decision::Preempt &Action) {
  const auto Found = m_Bids.find(Action.m_Request.m_Number);
  if (Found != m_Bids.end() && Found->second.m_HasSlot)
    Found->second.m_Listener->slotPreempted(Action.m_Upstream);
}

} // namespace crowstep::entry
