/// Deciders that run in the entry.
#include "entry/local_placement.h"

#include <algorithm>

namespace crowstep::entry {

namespace {

Upstream withShare(Upstream Whole, std::uint32_t Divisor) {
  std::visit(
      [&](auto &Kind) { Kind.m_Slots = std::max(Kind.m_Slots / Divisor, 1U); },
      Whole.m_Kind);
  return Whole;
}

} // namespace

LocalPlacement::LocalPlacement(LocalPlacementConfig Config,
                               const Directory &Known, const Clock &Time,
                               Scheduler &Timers)
    : m_Config(std::move(Config)), m_Directory(Known), m_Clock(Time),
      m_Timers(Timers), m_Deliver(Timers) {}

void LocalPlacement::ensurePool(const std::string &Service) {
  std::unique_ptr<Pool> &Each = m_Pools[Service];
  if (Each == nullptr) {
    Each = std::make_unique<Pool>(m_Config.m_Policy, m_Timers);
    refresh(Service);
  }
}

void LocalPlacement::refresh() {
  for (const auto &[Service, Each] : m_Pools)
    refresh(Service);
}

void LocalPlacement::refresh(const std::string &Service) {
  decision::UpstreamsChanged Change;
  const std::uint32_t Divisor = std::max(m_Config.m_Divisor(), 1U);
  for (const Upstream &Each : m_Directory.upstreams())
    if (Each.m_Service == Service)
      Change.m_Upstreams.push_back(withShare(Each, Divisor));
  handle(Service, decision::TableChanged{m_Directory.table()});
  handle(Service, Change);
}

void LocalPlacement::handle(const std::string &Service,
                            const decision::Event &What) {
  Pool &Each = *m_Pools.at(Service);
  std::vector<decision::Action> Actions;
  Each.m_Decider.handle(What, m_Clock.now(), Actions);
  for (const decision::Action &Action : Actions)
    later(Action);
  const std::optional<TimePoint> Due = Each.m_Decider.nextDeadline();
  if (!Due)
    Each.m_Timer.stop();
  else
    Each.m_Timer.start(*Due - m_Clock.now(),
                       [this, Service] { handle(Service, decision::Tick{}); });
}

BidNumber LocalPlacement::bid(const BidTerms &Terms,
                              PlacementListener &Listener) {
  const BidNumber Number(++m_LastNumber);
  ensurePool(Terms.m_Service);
  m_Held.emplace(Number.value(), Held{Terms.m_Service, &Listener, false});
  decision::Bid Bid;
  Bid.m_Request = {m_Config.m_Self, Number.value()};
  Bid.m_Class = Terms.m_Class;
  Bid.m_Workspace = Terms.m_Workspace;
  Bid.m_PromptTokens = Terms.m_PromptTokens;
  Bid.m_MaxTokens = Terms.m_MaxTokens;
  Bid.m_DoneTokens = Terms.m_Ask.m_DoneTokens;
  Bid.m_Prefixes = Terms.m_Prefixes;
  Bid.m_Zone = m_Config.m_Zone;
  Bid.m_UntilTarget = Terms.m_Ask.m_UntilTarget;
  Bid.m_UntilLimit = Terms.m_Ask.m_UntilLimit;
  Bid.m_IsRetry = Terms.m_Ask.m_IsRetry;
  Bid.m_Avoid = Terms.m_Ask.m_Avoid;
  handle(Terms.m_Service, Bid);
  return Number;
}

void LocalPlacement::withdraw(BidNumber Bid) {
  const auto Gone = m_Held.extract(Bid.value());
  if (!Gone.empty())
    handle(Gone.mapped().m_Service,
           decision::BidWithdrawn{{m_Config.m_Self, Bid.value()}});
}

void LocalPlacement::firstToken(BidNumber Bid, Duration Latency) {
  const auto Found = m_Held.find(Bid.value());
  if (Found != m_Held.end())
    handle(Found->second.m_Service,
           decision::FirstToken{{m_Config.m_Self, Bid.value()}, Latency});
}

void LocalPlacement::release(BidNumber Bid, const ReleaseSlot &How) {
  const auto Gone = m_Held.extract(Bid.value());
  if (!Gone.empty())
    handle(Gone.mapped().m_Service,
           decision::WorkEnded{{m_Config.m_Self, Bid.value()},
                               How.m_Upstream,
                               How.m_End,
                               How.m_Tokens,
                               How.m_Elapsed});
}

bool LocalPlacement::waits(BidNumber Bid) const {
  const auto Found = m_Held.find(Bid.value());
  return Found != m_Held.end() && !Found->second.m_Granted;
}

void LocalPlacement::later(const decision::Action &What) {
  m_Due.push_back(What);
  if (!m_Deliver.running())
    m_Deliver.start(Duration::zero(), [this] { deliver(); });
}

void LocalPlacement::deliver() {
  std::deque<decision::Action> Now;
  Now.swap(m_Due);
  for (const decision::Action &Each : Now)
    std::visit([this](const auto &What) { carryOut(What); }, Each);
}

const Upstream *LocalPlacement::upstream(UpstreamId Id) const {
  const auto &All = m_Directory.upstreams();
  const auto Found = std::find_if(
      All.begin(), All.end(), [&](const auto &Row) { return Row.m_Id == Id; });
  return Found == All.end() ? nullptr : &*Found;
}

void LocalPlacement::carryOut(const decision::Grant &What) {
  const auto Found = m_Held.find(What.m_Request.m_Number);
  const Upstream *Target = upstream(What.m_Upstream);
  // Withdrawn, or the upstream was removed: the decider was notified then.
  if (Found == m_Held.end() || Found->second.m_Granted || Target == nullptr)
    return;
  Found->second.m_Granted = true;
  GrantedSlot Slot;
  Slot.m_Upstream = What.m_Upstream;
  Slot.m_Address = Target->m_Address;
  Slot.m_Priority = What.m_Priority;
  const auto *Kind = std::get_if<Engine>(&Target->m_Kind);
  Slot.m_Resumes = Kind != nullptr && Kind->m_CanResume;
  Slot.m_ValidFor = What.m_ValidFor;
  Found->second.m_Listener->slotGranted(Slot);
}

void LocalPlacement::carryOut(const decision::Refuse &What) {
  const auto Gone = m_Held.extract(What.m_Request.m_Number);
  if (!Gone.empty())
    Gone.mapped().m_Listener->bidRefused(What.m_Reason, What.m_RetryAfter);
}

void LocalPlacement::carryOut(const decision::Preempt &What) {
  const auto Found = m_Held.find(What.m_Request.m_Number);
  if (Found != m_Held.end() && Found->second.m_Granted)
    Found->second.m_Listener->slotPreempted(What.m_Upstream);
}

} // namespace crowstep::entry
