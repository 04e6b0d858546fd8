/// The deciding library between links.
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

InstanceId sessionOf(const link::Peer &Entry) {
  const std::string Text =
      Entry.m_Name + "#" + std::to_string(Entry.m_Incarnation.value());
  return InstanceId(XXH3_64bits(Text.data(), Text.size()));
}

PoolRunner::PoolRunner(PoolId Pool, std::string Service,
                       const decision::DeciderConfig &Config, const Clock &Time,
                       Scheduler &Timers, link::Links &Wire)
    : m_Pool(Pool), m_Service(std::move(Service)), m_Clock(Time), m_Links(Wire),
      m_Timer(Timers), m_Decider(Config) {}

void PoolRunner::handle(const decision::Event &What) {
  m_Decider.handle(What, m_Clock.now(), m_Actions);
  carryOut();
  armTimer();
}

void PoolRunner::setUpstreams(std::vector<Upstream> Upstreams) {
  m_Upstreams.clear();
  for (const Upstream &Each : Upstreams)
    m_Upstreams[Each.m_Id] = Each;
  handle(decision::UpstreamsChanged{std::move(Upstreams)});
}

void PoolRunner::entryLost(InstanceId Session) {
  m_Entries.erase(Session);
  handle(decision::EntryLost{Session});
}

decision::Bid PoolRunner::bidOf(const wire::Bid &In,
                                const EntrySession &From) const {
  decision::Bid Out;
  Out.m_Request = {From.m_Id, In.request()};
  Out.m_Class = ClassId(In.class_id());
  Out.m_Workspace = WorkspaceId(In.workspace());
  Out.m_PromptTokens = In.prompt_tokens();
  Out.m_MaxTokens = In.max_tokens();
  Out.m_DoneTokens = In.done_tokens();
  Out.m_Zone = From.m_Zone;
  Out.m_UntilTarget = milliseconds(In.until_target_ms());
  Out.m_UntilLimit = milliseconds(In.until_limit_ms());
  Out.m_IsRetry = In.is_retry();
  if (In.avoid() != 0)
    Out.m_Avoid = UpstreamId(In.avoid());
  if (In.prefixes() != nullptr)
    Out.m_Prefixes.assign(In.prefixes()->begin(), In.prefixes()->end());
  return Out;
}

void PoolRunner::frame(link::LinkId Link, const EntrySession &From,
                       const wire::Frame &Frame) {
  m_Entries[From.m_Id] = Link;
  const auto Mine = [&](std::uint64_t Pool) { return PoolId(Pool) == m_Pool; };
  // Ends first: they free the slots that the frame's bids ask for.
  if (Frame.work_ends() != nullptr)
    for (const wire::WorkEnd *Each : *Frame.work_ends())
      if (Mine(Each->pool()))
        handle(
            decision::WorkEnded{{From.m_Id, Each->request()},
                                UpstreamId(Each->upstream()),
                                static_cast<decision::WorkEnd>(Each->end()),
                                Each->tokens(),
                                std::chrono::microseconds(Each->elapsed_us())});
  if (Frame.withdrawals() != nullptr)
    for (const wire::Withdrawal *Each : *Frame.withdrawals())
      if (Mine(Each->pool()))
        handle(decision::BidWithdrawn{{From.m_Id, Each->request()}});
  // What already runs comes before new bids, so that a new owner knows which
  // slots are taken before it grants any.
  if (Frame.running() != nullptr)
    for (const wire::Running *Each : *Frame.running())
      if (Each->bid() != nullptr && Mine(Each->bid()->pool()))
        handle(decision::WorkRunning{bidOf(*Each->bid(), From),
                                     UpstreamId(Each->upstream()),
                                     Each->tokens()});
  if (Frame.first_tokens() != nullptr)
    for (const wire::FirstToken *Each : *Frame.first_tokens())
      if (Mine(Each->pool()))
        handle(decision::FirstToken{
            {From.m_Id, Each->request()},
            std::chrono::microseconds(Each->latency_us())});
  if (Frame.bids() != nullptr)
    for (const wire::Bid *Each : *Frame.bids())
      if (Mine(Each->pool()))
        handle(bidOf(*Each, From));
}

void PoolRunner::carryOut() {
  for (const decision::Action &Each : m_Actions)
    std::visit([this](const auto &What) { carryOut(What); }, Each);
  m_Actions.clear();
}

wire::FrameT *PoolRunner::outboxOf(const RequestId &Request) {
  const auto Found = m_Entries.find(Request.m_Entry);
  return Found == m_Entries.end() ? nullptr : &m_Links.outbox(Found->second);
}

void PoolRunner::carryOut(const decision::Grant &What) {
  wire::FrameT *Out = outboxOf(What.m_Request);
  const auto Target = m_Upstreams.find(What.m_Upstream);
  if (Out == nullptr || Target == m_Upstreams.end())
    return;
  const auto *AsEngine = std::get_if<Engine>(&Target->second.m_Kind);
  Out->grants.emplace_back(What.m_Request.m_Number, What.m_Upstream.value(),
                           Target->second.m_Address.m_Ip,
                           Target->second.m_Address.m_Port, What.m_Priority,
                           AsEngine != nullptr && AsEngine->m_CanResume,
                           roundedUpMilliseconds(What.m_ValidFor));
}

void PoolRunner::carryOut(const decision::Refuse &What) {
  if (wire::FrameT *Out = outboxOf(What.m_Request))
    Out->refusals.emplace_back(What.m_Request.m_Number,
                               roundedUpMilliseconds(What.m_RetryAfter),
                               static_cast<std::uint8_t>(What.m_Reason));
}

void PoolRunner::carryOut(const decision::Preempt &What) {
  if (wire::FrameT *Out = outboxOf(What.m_Request))
    Out->preempts.emplace_back(What.m_Request.m_Number,
                               What.m_Upstream.value());
}

void PoolRunner::carryOut(const decision::EjectionChanged &What) {
  const auto Found = m_Upstreams.find(What.m_Upstream);
  const std::string Name =
      Found == m_Upstreams.end() ? "gone" : Found->second.m_Name;
  if (What.m_Ejected)
    m_Ejected[What.m_Upstream] = Name;
  else
    m_Ejected.erase(What.m_Upstream);
  logEvent(What.m_Ejected ? LogEvent::UpstreamEjected
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
