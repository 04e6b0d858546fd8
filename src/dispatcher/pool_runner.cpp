/// Translates between frames and the Decider's events and actions.
#include "dispatcher/pool_runner.h"

#include "core/log.h"

#include <xxhash.h>

namespace crowstep::dispatcher {

using decision::RequestId;

namespace {

Duration milliseconds(std::uint32_t Count) {
  return std::chrono::milliseconds(Count);
}

std::uint32_t roundedUpMilliseconds(Duration Value) {
  return static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(Value).count());
}

} // namespace

InstanceId sessionIdOf(const link::Peer &Entry) {
  const std::string Text =
      Entry.m_Name + "#" + std::to_string(Entry.m_Incarnation.value());
  return InstanceId(XXH3_64bits(Text.data(), Text.size()));
}

PoolRunner::PoolRunner(PoolId Pool, std::string Service,
                       const decision::DeciderConfig &Config, const Clock &Time,
                       Scheduler &Timers, link::Links &Wire)
    : m_Pool(Pool), m_Service(std::move(Service)), m_Clock(Time), m_Links(Wire),
      m_Timer(Timers), m_Decider(Config) {}

void PoolRunner::handle(const decision::Event &Event) {
  m_Decider.handle(Event, m_Clock.now(), m_Actions);
  carryOut();
  armTimer();
}

void PoolRunner::setUpstreams(std::vector<Upstream> Upstreams) {
  m_Upstreams.clear();
  for (const Upstream &Info : Upstreams)
    m_Upstreams[Info.m_Id] = Info;
  handle(decision::UpstreamsChanged{std::move(Upstreams)});
}

void PoolRunner::entryLost(InstanceId Session) {
  m_EntryLinks.erase(Session);
  handle(decision::EntryLost{Session});
}

decision::Bid PoolRunner::decodeBid(const wire::Bid &In,
                                    const EntrySession &Sender) const {
  decision::Bid Out;
  Out.m_Request = {Sender.m_Id, In.request()};
  Out.m_Class = ClassId(In.class_id());
  Out.m_Workspace = WorkspaceId(In.workspace());
  Out.m_PromptTokens = In.prompt_tokens();
  Out.m_MaxTokens = In.max_tokens();
  Out.m_DoneTokens = In.done_tokens();
  Out.m_Zone = Sender.m_Zone;
  Out.m_UntilTarget = milliseconds(In.until_target_ms());
  Out.m_UntilLimit = milliseconds(In.until_limit_ms());
  Out.m_IsRetry = In.is_retry();
  if (In.avoid() != 0)
    Out.m_Avoid = UpstreamId(In.avoid());
  if (In.prefixes() != nullptr)
    Out.m_Prefixes.assign(In.prefixes()->begin(), In.prefixes()->end());
  return Out;
}

void PoolRunner::handleFrame(link::LinkId Link, const EntrySession &Sender,
                             const wire::Frame &Frame) {
  m_EntryLinks[Sender.m_Id] = Link;
  const auto IsOwnPool = [&](std::uint64_t Pool) {
    return PoolId(Pool) == m_Pool;
  };
  // Ends come first: they free slots that the bids of the frame may take.
  if (Frame.work_ends() != nullptr)
    for (const wire::WorkEnd *End : *Frame.work_ends())
      if (IsOwnPool(End->pool()))
        handle(
            decision::WorkEnded{{Sender.m_Id, End->request()},
                                UpstreamId(End->upstream()),
                                static_cast<decision::WorkEnd>(End->end()),
                                End->tokens(),
                                std::chrono::microseconds(End->elapsed_us())});
  if (Frame.withdrawals() != nullptr)
    for (const wire::Withdrawal *Withdrawal : *Frame.withdrawals())
      if (IsOwnPool(Withdrawal->pool()))
        handle(decision::BidWithdrawn{{Sender.m_Id, Withdrawal->request()}});
  // Running requests come before new bids, so that a new owner of the pool
  // knows which slots are taken before it grants any.
  if (Frame.running() != nullptr)
    for (const wire::Running *Running : *Frame.running())
      if (Running->bid() != nullptr && IsOwnPool(Running->bid()->pool()))
        handle(decision::WorkRunning{decodeBid(*Running->bid(), Sender),
                                     UpstreamId(Running->upstream()),
                                     Running->tokens()});
  if (Frame.first_tokens() != nullptr)
    for (const wire::FirstToken *First : *Frame.first_tokens())
      if (IsOwnPool(First->pool()))
        handle(decision::FirstToken{
            {Sender.m_Id, First->request()},
            std::chrono::microseconds(First->latency_us())});
  if (Frame.bids() != nullptr)
    for (const wire::Bid *Bid : *Frame.bids())
      if (IsOwnPool(Bid->pool()))
        handle(decodeBid(*Bid, Sender));
}

void PoolRunner::carryOut() {
  for (const decision::Action &Action : m_Actions)
    std::visit([this](const auto &Details) { carryOut(Details); }, Action);
  m_Actions.clear();
}

wire::FrameT *PoolRunner::outboxOf(const RequestId &Request) {
  const auto Found = m_EntryLinks.find(Request.m_Entry);
  return Found == m_EntryLinks.end() ? nullptr : &m_Links.outbox(Found->second);
}

void PoolRunner::carryOut(const decision::Grant &Grant) {
  wire::FrameT *Out = outboxOf(Grant.m_Request);
  const auto Target = m_Upstreams.find(Grant.m_Upstream);
  if (Out == nullptr || Target == m_Upstreams.end())
    return;
  const auto *EngineInfo = std::get_if<Engine>(&Target->second.m_Kind);
  Out->grants.emplace_back(Grant.m_Request.m_Number, Grant.m_Upstream.value(),
                           Target->second.m_Address.m_Ip,
                           Target->second.m_Address.m_Port, Grant.m_Priority,
                           EngineInfo != nullptr && EngineInfo->m_CanResume,
                           roundedUpMilliseconds(Grant.m_ValidFor));
}

void PoolRunner::carryOut(const decision::Refuse &Refusal) {
  if (wire::FrameT *Out = outboxOf(Refusal.m_Request))
    Out->refusals.emplace_back(Refusal.m_Request.m_Number,
                               roundedUpMilliseconds(Refusal.m_RetryAfter),
                               static_cast<std::uint8_t>(Refusal.m_Reason));
}

void PoolRunner::carryOut(const decision::Preempt &Preemption) {
  if (wire::FrameT *Out = outboxOf(Preemption.m_Request))
    Out->preempts.emplace_back(Preemption.m_Request.m_Number,
                               Preemption.m_Upstream.value());
}

void PoolRunner::carryOut(const decision::EjectionChanged &Change) {
  const auto Found = m_Upstreams.find(Change.m_Upstream);
  const std::string Name =
      Found == m_Upstreams.end() ? "gone" : Found->second.m_Name;
  if (Change.m_Ejected)
    m_Ejected[Change.m_Upstream] = Name;
  else
    m_Ejected.erase(Change.m_Upstream);
  logEvent(Change.m_Ejected ? LogEvent::UpstreamEjected
                            : LogEvent::UpstreamRestored,
           {{"upstream", Name}});
}

void PoolRunner::armTimer() {
  const std::optional<TimePoint> Due = m_Decider.nextDeadline();
  if (!Due) {
    m_Timer.stop();
    return;
  }
  m_Timer.start(*Due - m_Clock.now(), [this] { handle(decision::Tick{}); });
}

} // namespace crowstep::dispatcher
