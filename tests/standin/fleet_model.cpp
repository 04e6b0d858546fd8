/// Engines, callers and gateways of the simulated fleet.
#include "standin/fleet_model.h"

#include "balance/balancer.h"
#include "balance/digest_sum.h"
#include "core/pair_hash.h"
#include "gateway/forward_limits.h"
#include "gateway/predicted_placement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <set>

namespace crowstep::standin {

namespace {

using namespace balance;

constexpr const char *ServiceName = "model";
constexpr Duration WaitPollInterval = std::chrono::milliseconds(20);

Duration microseconds(double Count) {
  return Duration(static_cast<Duration::rep>(Count));
}

/// A placed call.
struct Call {
  const ModelClass *m_Class;           ///< Not null.
  std::size_t m_Gateway;               ///< Index of the gateway that placed it.
  TicketId m_Ticket;                   ///< Of that gateway's balancer.
  PromptInfo m_Prompt;                 ///< As in the placement query.
  TimePoint m_ArrivedAt;               ///< Arrival of the request.
  TimePoint m_FirstEventAt{};          ///< Time of the first event.
  TimePoint m_LastEventAt{};           ///< Time of the newest event.
  std::uint32_t m_PrefillTokens = 0;   ///< Prompt tokens left to prefill.
  std::uint32_t m_GeneratedTokens = 0; ///< Output tokens so far.
  bool m_Running = false;              ///< Placed and not ended.
  bool m_InTime = true;                ///< No event was late so far.
  bool m_HadLongPause = false;         ///< A later event was late.
};

using CallPtr = std::shared_ptr<Call>;

/// A request that is placed by prediction.
struct HeldRequest {
  const ModelClass *m_Class;  ///< Not null.
  PlacementQuery m_Query;     ///< As in the placement.
  std::size_t m_Gateway;      ///< Index of the gateway that has it.
  TimePoint m_ArrivedAt;      ///< Its arrival.
  std::string m_Workspace;    ///< That sends it.
  waiting::CallWait m_Wait;   ///< Decides.
  PlacementInputs m_Inputs{}; ///< Of the last placement.
  std::unique_ptr<gateway::WaitQueue::Entry> m_Entry; ///< While it waits.
};

using HeldPtr = std::shared_ptr<HeldRequest>;

/// One engine: a batch that runs in steps, and the calls that wait for a slot.
class SimulatedEngine {
public:
  /// Its steps take \p TimeFactor of the usual time.
  SimulatedEngine(const FleetModel &Load, UpstreamId Id, double TimeFactor)
      : m_Model(Load), m_Id(Id), m_TimeFactor(TimeFactor) {}

  void setMachineSlow(bool IsSlow) { m_IsMachineSlow = IsSlow; }

  [[nodiscard]] double timeFactor() const { return m_TimeFactor; }

  /// Returns by what factor steps take longer on its machine now.
  [[nodiscard]] double machineSlowdown() const {
    return m_IsMachineSlow ? m_Model.m_SlowMachines.m_TimeFactor : 1;
  }

  /// Returns the load that its answers state.
  [[nodiscard]] LoadReport loadReport() const {
    return {static_cast<std::uint32_t>(m_Running.size()),
            static_cast<std::uint32_t>(m_Waiting.size()), m_Model.m_Slots,
            static_cast<std::uint32_t>(std::lround(100 * machineSlowdown()))};
  }

  [[nodiscard]] double takenSlotShare() const {
    return static_cast<double>(m_Running.size() + m_Waiting.size()) /
           m_Model.m_Slots;
  }

  /// Returns whether it has no prompt to prefill and half of its slots free.
  [[nodiscard]] bool hasIdleCapacity() const {
    constexpr double IdleSlotShare = 0.5;
    return m_Waiting.empty() && takenSlotShare() <= IdleSlotShare &&
           std::none_of(m_Running.begin(), m_Running.end(),
                        [](const CallPtr &Active) {
                          return Active->m_PrefillTokens > 0;
                        });
  }

  void add(const CallPtr &NewCall) { m_Waiting.push_back(NewCall); }
  void remove(const CallPtr &Ended) {
    std::erase(m_Waiting, Ended);
    std::erase(m_Running, Ended);
  }
  [[nodiscard]] bool isIdle() const { return !m_Stepping; }

  /// Removes all calls and returns them.
  std::vector<CallPtr> crash() {
    std::vector<CallPtr> Result = std::move(m_Running);
    Result.insert(Result.end(), m_Waiting.begin(), m_Waiting.end());
    m_Running.clear();
    m_Waiting.clear();
    m_Decoding.clear();
    return Result;
  }

  /// Begins a step; returns its duration, or nothing if there is no work.
  std::optional<Duration> beginStep() {
    admit();
    if (m_Running.empty())
      return std::nullopt;
    m_Stepping = true;
    std::uint32_t Left = m_Model.m_PrefillChunk;
    m_Decoding.clear();
    for (const CallPtr &Active : m_Running) {
      if (Active->m_PrefillTokens == 0) {
        m_Decoding.push_back(Active);
        continue;
      }
      const std::uint32_t Prefilled = std::min(Left, Active->m_PrefillTokens);
      Active->m_PrefillTokens -= Prefilled;
      Left -= Prefilled;
      if (Prefilled > 0 && Active->m_PrefillTokens == 0)
        m_Decoding.push_back(Active);
    }
    return microseconds(
        stepTimeFactor() *
        (m_Model.m_BaseStepUs +
         m_Model.m_RunningCallUs * static_cast<double>(m_Running.size()) +
         m_Model.m_PrefillTokenUs * (m_Model.m_PrefillChunk - Left)));
  }

  /// Ends the step; returns the calls that generated a token in it.
  std::vector<CallPtr> endStep() {
    m_Stepping = false;
    return std::move(m_Decoding);
  }

  /// Returns how many prefill tokens here were of segments that some engine had
  /// computed before.
  [[nodiscard]] std::uint64_t repeatedPrefillTokens() const {
    return m_RepeatedPrefillTokens;
  }
  [[nodiscard]] bool hasServed() const { return m_Used; }

  /// Clears the record of segments that any engine has computed.
  static void clearComputedSegments() { computedSegments().clear(); }

private:
  static std::set<std::uint64_t> &computedSegments() {
    static std::set<std::uint64_t> Segments;
    return Segments;
  }

  [[nodiscard]] double stepTimeFactor() const {
    const bool IsCrowded = takenSlotShare() > m_Model.m_Crowding.m_FromShare;
    return m_TimeFactor * machineSlowdown() *
           (IsCrowded ? m_Model.m_Crowding.m_TimeFactor : 1);
  }

  static void sortByUrgency(std::vector<CallPtr> &Calls) {
    std::stable_sort(Calls.begin(), Calls.end(),
                     [](const CallPtr &Left, const CallPtr &Right) {
                       return Left->m_Class->m_Urgency <
                              Right->m_Class->m_Urgency;
                     });
  }

  /// Assigns slots by urgency, and sorts running calls for prefill by urgency.
  void admit() {
    sortByUrgency(m_Waiting);
    while (!m_Waiting.empty() && m_Running.size() < m_Model.m_Slots) {
      const CallPtr Next = m_Waiting.front();
      m_Waiting.erase(m_Waiting.begin());
      const std::vector<PrefixSegment> &Segments = Next->m_Prompt.m_Segments;
      const std::uint32_t Cached = m_Cache.cachedTokens(m_Id, Segments);
      Next->m_PrefillTokens =
          std::max(1U, Next->m_Prompt.m_PromptTokens - Cached);
      for (const PrefixSegment &Segment : Segments) {
        if (m_Cache.cachedTokens(m_Id, {Segment}) == 0 &&
            !computedSegments().insert(Segment.m_Id).second)
          m_RepeatedPrefillTokens += Segment.m_Tokens;
        m_Cache.recordPlacement(m_Id, Segment, m_Model.m_CacheTokens);
      }
      m_Running.push_back(Next);
      m_Used = true;
    }
    sortByUrgency(m_Running);
  }

  const FleetModel &m_Model;                 ///< Outlives the engine.
  UpstreamId m_Id;                           ///< Of this engine.
  double m_TimeFactor;                       ///< Of its steps.
  bool m_IsMachineSlow = false;              ///< See ModelSlowMachines.
  CacheModel m_Cache;                        ///< Its prefix cache.
  std::vector<CallPtr> m_Waiting;            ///< Calls that wait for a slot.
  std::vector<CallPtr> m_Running;            ///< Calls in the batch.
  std::vector<CallPtr> m_Decoding;           ///< Generate a token in this step.
  std::uint64_t m_RepeatedPrefillTokens = 0; ///< See repeatedPrefillTokens().
  bool m_Stepping = false;                   ///< A step is running.
  bool m_Used = false;                       ///< Has run at least one call.
};

using EngineMap = std::map<UpstreamId, SimulatedEngine>;

/// The engines' true speeds, with an error that differs between gateways.
class TrueSpeeds final : public speed::SpeedView {
public:
  TrueSpeeds(const EngineMap &Engines, double MeanTimeFactor, double Error,
             std::uint64_t Gateway)
      : m_Engines(Engines), m_MeanTimeFactor(MeanTimeFactor), m_Error(Error),
        m_Gateway(Gateway) {}

  [[nodiscard]] bool isActive(PoolId) const override { return true; }

  [[nodiscard]] double speedOf(UpstreamId Upstream, TimePoint) const override {
    constexpr std::uint64_t Steps = 1001;
    const double Draw =
        static_cast<double>(pairHash(m_Gateway, Upstream.value()) % Steps) /
        (Steps - 1);
    return trueSpeedOf(Upstream) * (1 + m_Error * (2 * Draw - 1));
  }

  [[nodiscard]] int speedClassOf(UpstreamId Upstream) const override {
    constexpr double ClassStep = 1.5;
    return static_cast<int>(
        std::lround(std::log(trueSpeedOf(Upstream)) / std::log(ClassStep)));
  }

  [[nodiscard]] double usableShareOf(UpstreamId, TimePoint) const override {
    return 1;
  }

  [[nodiscard]] double machineSlowdownOf(UpstreamId Upstream,
                                         TimePoint) const override {
    return m_Engines.at(Upstream).machineSlowdown();
  }

private:
  [[nodiscard]] double trueSpeedOf(UpstreamId Upstream) const {
    return m_MeanTimeFactor / m_Engines.at(Upstream).timeFactor();
  }

  const EngineMap &m_Engines; ///< Outlives the view.
  double m_MeanTimeFactor;    ///< Of all engines, geometric.
  double m_Error;             ///< See FleetModel::m_SpeedError.
  std::uint64_t m_Gateway;    ///< Index of the gateway that asks.
};

/// Event loop in virtual time.
class FleetSimulation final : public Scheduler {
public:
  explicit FleetSimulation(const FleetModel &Load)
      : m_Model(Load), m_Random(Load.m_Seed), m_MachineRandom(Load.m_Seed) {
    SimulatedEngine::clearComputedSegments();
    for (std::size_t I = 0; I < Load.m_Engines; ++I)
      addEngine("engine-" + std::to_string(I));
    Duration MinPause{};
    for (const ModelClass &Class : Load.m_Classes)
      if (Class.m_MaxPause > Duration::zero() &&
          (MinPause == Duration::zero() || Class.m_MaxPause < MinPause))
        MinPause = Class.m_MaxPause;
    for (std::size_t I = 0; I < Load.m_Gateways; ++I) {
      m_Gateways.emplace_back(AvailabilityZone{"a"}, Load.m_Seed * 1000 + I);
      m_Gateways.back().setUpstreams(m_Listed);
      m_Gateways.back().setCacheCapacity(ServiceName, Load.m_CacheTokens);
      m_Gateways.back().setMinPauses({{ServiceName, MinPause}});
    }
    m_WorkspaceLoads.resize(Load.m_Gateways);
    for (std::size_t I = 0; I < Load.m_Gateways; ++I)
      m_WaitQueues.push_back(std::make_unique<gateway::WaitQueue>(*this));
    setSpeeds();
  }

  FleetResult run() {
    for (std::size_t I = 0; I < m_Model.m_Classes.size(); ++I)
      planArrival(I);
    schedule(m_Model.m_DigestInterval, [this] { sendDigests(); });
    for (const ModelCrash &Loss : m_Model.m_Crashes)
      schedule(Loss.m_At, [this, &Loss] { crashEngines(Loss); });
    if (m_Model.m_SlowMachines.m_Share > 0)
      for (auto &[Id, Simulated] : m_Engines)
        startMachine(Simulated);
    for (const Upstream &Target : m_Listed)
      m_Result.m_EngineTimeFactors.push_back(
          m_Engines.at(Target.m_Id).timeFactor());
    if (m_Model.m_SnapshotInterval > Duration::zero())
      takeSnapshots();
    while (!m_Events.empty()) {
      const Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_DueAt;
      Next.m_Job();
    }
    for (const auto &[Id, Simulated] : m_Engines) {
      m_Result.m_RepeatedPrefillTokens += Simulated.repeatedPrefillTokens();
      m_Result.m_EnginesUsed += Simulated.hasServed() ? 1 : 0;
    }
    return std::move(m_Result);
  }

private:
  struct Event {
    TimePoint m_DueAt;
    std::uint64_t m_Order;
    std::function<void()> m_Job;
    bool operator<(const Event &Other) const {
      return std::pair(m_DueAt, m_Order) >
             std::pair(Other.m_DueAt, Other.m_Order);
    }
  };

  void schedule(Duration Delay, std::function<void()> Job) {
    m_Events.push({m_Now + Delay, ++m_Order, std::move(Job)});
  }

  TimerId runAfter(Duration Delay, std::function<void()> Job) override {
    const TimerId Result(++m_LastTimer);
    m_Timers.insert(Result);
    schedule(Delay, [this, Result, Job = std::move(Job)] {
      if (m_Timers.erase(Result) > 0)
        Job();
    });
    return Result;
  }

  void cancel(TimerId Timer) override { m_Timers.erase(Timer); }

  [[nodiscard]] bool isOver() const {
    return m_Now - Start > m_Model.m_ArrivalPeriod;
  }

  double rateOf(std::size_t Class) const {
    double Result = m_Model.m_Classes[Class].m_ArrivalRate;
    for (const ModelBurst &Burst : m_Model.m_Bursts)
      if (Burst.m_ClassIndex == Class && m_Now - Start >= Burst.m_Start &&
          m_Now - Start < Burst.m_End)
        Result *= Burst.m_RateFactor;
    return Result;
  }

  /// Returns the time factor of the engine with this index: engines of all
  /// groups alternate, so that the hash of a name says nothing about its group.
  [[nodiscard]] double timeFactorOf(std::size_t Index) const {
    constexpr std::uint64_t Steps = 10000;
    constexpr std::uint64_t GroupSeed = 77;
    auto Draw = static_cast<double>(pairHash(GroupSeed, Index) % Steps) / Steps;
    for (const ModelSpeedGroup &Group : m_Model.m_SpeedGroups) {
      if (Draw < Group.m_Share)
        return Group.m_TimeFactor;
      Draw -= Group.m_Share;
    }
    return 1;
  }

  void setSpeeds() {
    for (Balancer &Gateway : m_Gateways)
      Gateway.speeds().setMode(m_Model.m_Speeds == ModelSpeeds::Learned
                                   ? speed::LearnSpeed::Stated
                                   : speed::LearnSpeed::Never);
    if (m_Model.m_Speeds != ModelSpeeds::True)
      return;
    double LogSum = 0;
    for (const auto &[Id, Simulated] : m_Engines)
      LogSum += std::log(Simulated.timeFactor());
    const double Mean =
        std::exp(LogSum / static_cast<double>(m_Engines.size()));
    for (std::size_t I = 0; I < m_Gateways.size(); ++I) {
      m_TrueSpeeds.push_back(std::make_unique<TrueSpeeds>(
          m_Engines, Mean, m_Model.m_SpeedError, I));
      m_Gateways[I].setSpeedView(m_TrueSpeeds.back().get());
    }
  }

  /// Draws the state of a machine and lets it alternate from then on.
  void startMachine(SimulatedEngine &Target) {
    const bool IsSlow = std::uniform_real_distribution<>()(m_MachineRandom) <
                        m_Model.m_SlowMachines.m_Share;
    alternateMachine(Target, IsSlow);
  }

  void alternateMachine(SimulatedEngine &Target, bool IsSlow) {
    const ModelSlowMachines &Slow = m_Model.m_SlowMachines;
    Target.setMachineSlow(IsSlow);
    const double MeanUs = static_cast<double>(Slow.m_MeanSpan.count()) *
                          (IsSlow ? 1 : (1 - Slow.m_Share) / Slow.m_Share);
    const double SpanUs =
        MeanUs * std::uniform_real_distribution<>(0.5, 1.5)(m_MachineRandom);
    if (!isOver())
      schedule(microseconds(SpanUs),
               [this, &Target, IsSlow] { alternateMachine(Target, !IsSlow); });
  }

  void takeSnapshots() {
    ModelSnapshot Result;
    Result.m_SensitiveEngines =
        m_Gateways.front().latencySensitiveEngineCount(ServiceName);
    for (const Upstream &Target : m_Listed)
      Result.m_SlotShares.push_back(m_Engines.at(Target.m_Id).takenSlotShare());
    m_Result.m_Snapshots.push_back(std::move(Result));
    if (!isOver())
      schedule(m_Model.m_SnapshotInterval, [this] { takeSnapshots(); });
  }

  /// Returns whether a quarter of the engines has idle capacity.
  [[nodiscard]] bool isCapacityIdle() const {
    constexpr std::size_t IdleFraction = 4;
    const auto Idle = std::count_if(
        m_Listed.begin(), m_Listed.end(), [this](const Upstream &Target) {
          return m_Engines.at(Target.m_Id).hasIdleCapacity();
        });
    return static_cast<std::size_t>(Idle) * IdleFraction >= m_Listed.size();
  }

  /// Returns where the outcome of a request that arrived at \p ArrivedAt
  /// counts.
  ModelResult &resultOf(const ModelClass &Class, TimePoint ArrivedAt) {
    return ArrivedAt - Start < m_Model.m_CountFrom
               ? m_Uncounted
               : m_Result.m_Classes[Class.m_Name];
  }

  void addEngine(const std::string &Name) {
    m_Listed.push_back({upstreamIdOf(Name),
                        Name,
                        ServiceName,
                        Address{},
                        {"a"},
                        Engine{m_Model.m_Slots, {}, true, true},
                        false});
    m_Engines.emplace(m_Listed.back().m_Id,
                      SimulatedEngine(m_Model, m_Listed.back().m_Id,
                                      timeFactorOf(m_Engines.size())));
  }

  void updateGateways() {
    for (Balancer &Gateway : m_Gateways)
      Gateway.setUpstreams(m_Listed);
  }

  void crashEngines(const ModelCrash &Loss) {
    const auto Count = static_cast<std::size_t>(
        Loss.m_EngineShare * static_cast<double>(m_Listed.size()));
    std::shuffle(m_Listed.begin(), m_Listed.end(), m_Random);
    for (std::size_t I = 0; I < Count; ++I) {
      for (const CallPtr &Affected :
           m_Engines.at(m_Listed.back().m_Id).crash()) {
        ++resultOf(*Affected->m_Class, Affected->m_ArrivedAt).m_Lost;
        endCall(Affected, CallOutcome::Failed);
      }
      m_Listed.pop_back();
    }
    updateGateways();
    schedule(Loss.m_OutageTime, [this, Count] {
      for (std::size_t I = 0; I < Count; ++I)
        addEngine("later-" + std::to_string(m_Engines.size()));
      updateGateways();
    });
  }

  void planArrival(std::size_t Class) {
    constexpr double UsPerSecond = 1e6;
    std::exponential_distribution<double> Gap(rateOf(Class));
    schedule(microseconds(Gap(m_Random) * UsPerSecond), [this, Class] {
      if (isOver())
        return;
      startRequest(m_Model.m_Classes[Class]);
      planArrival(Class);
    });
  }

  PromptInfo promptFor(const ModelClass &Class) {
    const auto Name = std::hash<std::string>()(Class.m_Name);
    PromptInfo Result;
    std::uint64_t Depth = 0;
    for (const ModelSegment &Shared : Class.m_SharedSegments)
      Result.m_Segments.push_back(
          {Name + (++Depth << 32U) + m_Random() % Shared.m_VariantCount,
           Shared.m_Tokens});
    // From 0.5 to 1.5 times the mean.
    const auto UniqueTokens =
        static_cast<std::uint32_t>(Class.m_MeanUniqueTokens / 2 +
                                   m_Random() % (Class.m_MeanUniqueTokens + 1));
    Result.m_Segments.push_back({++m_LastUniqueSegment, UniqueTokens});
    for (const PrefixSegment &Segment : Result.m_Segments)
      Result.m_PromptTokens += Segment.m_Tokens;
    Result.m_MaxOutputTokens = Class.m_OutputTokens;
    Result.m_ExpectedOutputTokens = Class.m_OutputTokens;
    return Result;
  }

  void startRequest(const ModelClass &Class) {
    ++resultOf(Class, m_Now).m_Requests;
    PlacementQuery Query;
    Query.m_Service = ServiceName;
    Query.m_Urgency = Class.m_Urgency;
    Query.m_LatencyTarget = Class.m_LatencyTarget;
    Query.m_MaxPause = Class.m_MaxPause;
    Query.m_Prompt = promptFor(Class);
    Query.m_MayWait = m_Model.m_MaxWaitShare > 0;
    const std::size_t Gateway = chooseGateway();
    if (m_Model.m_WaitsByPrediction &&
        !m_Gateways[Gateway].isLatencySensitive(Query))
      hold(Class, Query, Gateway);
    else
      place(Class, Query, Gateway, m_Now);
  }

  std::size_t chooseGateway() {
    if (m_Model.m_FirstGatewayShare > 0 &&
        std::uniform_real_distribution<>()(m_Random) <
            m_Model.m_FirstGatewayShare)
      return 0;
    return m_Random() % m_Gateways.size();
  }

  // ---- Waiting by prediction ------------------------------------------------

  void hold(const ModelClass &Class, const PlacementQuery &Query,
            std::size_t Gateway) {
    waiting::CallFacts Facts;
    Facts.m_Pool = poolIdOf(ServiceName, 0);
    Facts.m_Urgency = Class.m_Urgency;
    Facts.m_ArrivedAt = m_Now;
    Facts.m_Target = Class.m_LatencyTarget;
    Facts.m_Patience =
        waiting::patienceOf(Class.m_LatencyTarget, Class.m_MaxPause);
    Facts.m_Deadline = Class.m_Deadline;
    // Not drawn, so that the same requests arrive without it.
    constexpr std::uint64_t WorkspaceSeed = 5;
    const std::string Workspace =
        Class.m_WorkspacePrefix +
        std::to_string(pairHash(WorkspaceSeed, m_LastUniqueSegment) %
                       Class.m_Workspaces);
    m_WorkspaceLoads[Gateway].recordArrival(Facts.m_Pool, Workspace, m_Now);
    attempt(HeldPtr(new HeldRequest{
        &Class, Query, Gateway, m_Now, Workspace,
        waiting::CallWait(m_Gateways[Gateway].backlog(), Facts)}));
  }

  void attempt(const HeldPtr &Target) {
    const ModelClass &Class = *Target->m_Class;
    Balancer &At = m_Gateways[Target->m_Gateway];
    gateway::WaitQueue &Queue = *m_WaitQueues[Target->m_Gateway];
    const gateway::WaitingCall Call = {Class.m_Urgency, Target->m_Workspace,
                                       poolIdOf(ServiceName, 0),
                                       !Target->m_Wait.canBeInTime(m_Now)};
    const bool HasQueued = Target->m_Entry != nullptr;
    const bool MayPreempt =
        (m_Now - Target->m_ArrivedAt) * gateway::MaxWaitDenominator >
        Class.m_LatencyTarget * gateway::MaxWaitNumerator;
    const PlacementResult Answer = gateway::placeByPrediction(
        {At, Queue, m_WorkspaceLoads[Target->m_Gateway]}, Target->m_Wait,
        Target->m_Query, Call, HasQueued, MayPreempt, m_Now);
    if (const auto *Placement = std::get_if<Placed>(&Answer)) {
      Target->m_Entry.reset();
      Target->m_Wait.handlePlaced(m_Now);
      startCall(Class, Target->m_Query, Target->m_Gateway, Target->m_ArrivedAt,
                *Placement);
      return;
    }
    const auto *Wait = std::get_if<MustWait>(&Answer);
    if (Wait != nullptr && (HasQueued || !Queue.isFull())) {
      Target->m_Inputs = Wait->m_Inputs;
      const waiting::CallWork Work = {
          At.timeToFirstEvent(ServiceName, Target->m_Inputs.m_UncachedTokens),
          At.backlog().outputTime(poolIdOf(ServiceName, 0), Class.m_Urgency)};
      if (Target->m_Wait.handleNoRoom(Work, m_Now) ==
          waiting::WaitVerdict::Wait) {
        if (!HasQueued)
          Target->m_Entry =
              Queue.enqueue(Call, [this, Target] { attempt(Target); });
        if (Call.m_IsLate)
          Target->m_Entry->setLate();
        return;
      }
    }
    countRefusal(Class, Target->m_ArrivedAt);
    Target->m_Entry.reset();
  }

  // ---- Calls ----------------------------------------------------------------

  void place(const ModelClass &Class, const PlacementQuery &Query,
             std::size_t Gateway, TimePoint ArrivedAt) {
    const PlacementResult Answer = m_Gateways[Gateway].place(Query, m_Now);
    const bool KeepsWaiting =
        m_Now - ArrivedAt <
        microseconds(m_Model.m_MaxWaitShare *
                     static_cast<double>(Class.m_LatencyTarget.count()));
    if (std::holds_alternative<MustWait>(Answer) && KeepsWaiting) {
      schedule(WaitPollInterval, [this, &Class, Query, Gateway, ArrivedAt] {
        place(Class, Query, Gateway, ArrivedAt);
      });
      return;
    }
    if (std::holds_alternative<MustWait>(Answer)) {
      PlacementQuery Final = Query;
      Final.m_MayWait = false;
      Final.m_WaitTimedOut = true;
      place(Class, Final, Gateway, ArrivedAt);
      return;
    }
    if (const auto *Placement = std::get_if<Placed>(&Answer))
      startCall(Class, Query, Gateway, ArrivedAt, *Placement);
    else
      countRefusal(Class, ArrivedAt);
  }

  void countRefusal(const ModelClass &Class, TimePoint ArrivedAt) {
    ModelResult &Counts = resultOf(Class, ArrivedAt);
    ++Counts.m_Refused;
    Counts.m_RefusedAmidIdle += isCapacityIdle() ? 1 : 0;
    const Duration Held = m_Now - ArrivedAt;
    if (Held == Duration::zero())
      return;
    ++Counts.m_Held;
    Counts.m_HeldTime += Held;
    Counts.m_LongestHeld = std::max(Counts.m_LongestHeld, Held);
  }

  void startCall(const ModelClass &Class, const PlacementQuery &Query,
                 std::size_t Gateway, TimePoint ArrivedAt,
                 const Placed &Placement) {
    auto NewCall = std::make_shared<Call>();
    NewCall->m_Class = &Class;
    NewCall->m_Gateway = Gateway;
    NewCall->m_Ticket = Placement.m_Ticket;
    NewCall->m_Prompt = Query.m_Prompt;
    NewCall->m_ArrivedAt = ArrivedAt;
    NewCall->m_Running = true;
    const UpstreamId Engine = Placement.m_Upstream;
    m_Result.m_ChoiceHash = pairHash(m_Result.m_ChoiceHash, Engine.value());
    m_Engines.at(Engine).add(NewCall);
    startStep(Engine);
    schedule(Class.m_Deadline - (m_Now - ArrivedAt),
             [this, NewCall, Engine] { handleDeadline(NewCall, Engine); });
    if (m_Model.m_CallersGiveUp)
      schedule(waiting::patienceOf(Class.m_LatencyTarget, Class.m_MaxPause) -
                   (m_Now - ArrivedAt),
               [this, NewCall, Engine] { handleImpatience(NewCall, Engine); });
  }

  void handleImpatience(const CallPtr &Target, UpstreamId Engine) {
    if (!Target->m_Running || Target->m_GeneratedTokens > 0)
      return;
    ++resultOf(*Target->m_Class, Target->m_ArrivedAt).m_GivenUp;
    m_Engines.at(Engine).remove(Target);
    endCall(Target, CallOutcome::Dropped);
  }

  void handleDeadline(const CallPtr &Target, UpstreamId Engine) {
    if (!Target->m_Running)
      return;
    ++resultOf(*Target->m_Class, Target->m_ArrivedAt).m_Unfinished;
    m_Engines.at(Engine).remove(Target);
    endCall(Target, CallOutcome::Dropped);
  }

  void endCall(const CallPtr &Target, CallOutcome Outcome) {
    Target->m_Running = false;
    m_Gateways[Target->m_Gateway].recordCallEnd(Target->m_Ticket, Outcome,
                                                m_Now);
  }

  void startStep(UpstreamId Engine) {
    SimulatedEngine &Target = m_Engines.at(Engine);
    if (!Target.isIdle())
      return;
    if (const auto Length = Target.beginStep())
      schedule(*Length, [this, Engine] { finishStep(Engine); });
  }

  void finishStep(UpstreamId Engine) {
    for (const CallPtr &Affected : m_Engines.at(Engine).endStep())
      if (Affected->m_Running)
        addToken(Affected, Engine);
    startStep(Engine);
  }

  /// The load comes with the headers of the answer.
  void reportFirstEvent(const CallPtr &Target, UpstreamId Engine) {
    Balancer &Gateway = m_Gateways[Target->m_Gateway];
    if (m_Model.m_StatesPace)
      Gateway.recordLoadReport(Target->m_Ticket,
                               m_Engines.at(Engine).loadReport(), m_Now);
    Gateway.recordFirstEvent(Target->m_Ticket, m_Now);
  }

  void addToken(const CallPtr &Target, UpstreamId Engine) {
    const ModelClass &Class = *Target->m_Class;
    ++Target->m_GeneratedTokens;
    const bool Last = Target->m_GeneratedTokens >= Class.m_OutputTokens;
    if (Target->m_GeneratedTokens % m_Model.m_TokensPerEvent !=
            1 % m_Model.m_TokensPerEvent &&
        !Last)
      return;
    m_Gateways[Target->m_Gateway].recordEvent(Target->m_Ticket, m_Now);
    if (Target->m_GeneratedTokens == 1) {
      reportFirstEvent(Target, Engine);
      Target->m_FirstEventAt = m_Now;
      Target->m_InTime = m_Now - Target->m_ArrivedAt <= Class.m_LatencyTarget;
    } else if (m_Now - Target->m_LastEventAt > Class.m_MaxPause) {
      Target->m_InTime = false;
      Target->m_HadLongPause = true;
    }
    Target->m_LastEventAt = m_Now;
    if (!Last)
      return;
    ModelResult &Counts = resultOf(Class, Target->m_ArrivedAt);
    Counts.m_PauseTooLong += Target->m_HadLongPause ? 1 : 0;
    ++(Target->m_InTime ? Counts.m_InTime : Counts.m_Late);
    m_Engines.at(Engine).remove(Target);
    if (m_Model.m_WaitsByPrediction)
      m_Gateways[Target->m_Gateway].backlog().recordOutput(
          poolIdOf(ServiceName, 0), Class.m_Urgency,
          m_Now - Target->m_FirstEventAt);
    endCall(Target, CallOutcome::Served);
  }

  [[nodiscard]] std::size_t zoneOf(std::size_t Gateway) const {
    return Gateway % m_Model.m_Zones;
  }

  bool isDigestLost() {
    return m_Model.m_DigestLoss > 0 &&
           std::uniform_real_distribution<>()(m_Random) < m_Model.m_DigestLoss;
  }

  void sendDigests() {
    m_ZoneSums.resize(m_Model.m_Zones);
    for (std::size_t From = 0; From < m_Gateways.size(); ++From) {
      const LoadDigest Digest = m_Gateways[From].takeDigest(m_Now);
      m_ZoneSums[zoneOf(From)].add(InstanceId(From + 1), Digest, m_Now);
      for (std::size_t To = 0; To < m_Gateways.size(); ++To)
        if (To != From && zoneOf(To) == zoneOf(From) && !isDigestLost())
          m_Gateways[To].applyPeerDigest(InstanceId(From + 1), Digest, m_Now);
    }
    if (m_Model.m_Zones > 1 && ++m_DigestIntervals % 2 == 0)
      sendZoneSums();
    if (!isOver())
      schedule(m_Model.m_DigestInterval, [this] { sendDigests(); });
  }

  void sendZoneSums() {
    for (std::size_t From = 0; From < m_Model.m_Zones; ++From) {
      const LoadDigest Sum = m_ZoneSums[From].takeSum(m_Now);
      for (std::size_t To = 0; To < m_Gateways.size(); ++To)
        if (zoneOf(To) != From && !isDigestLost())
          m_Gateways[To].applyPeerDigest(
              InstanceId(m_Gateways.size() + 1 + From), Sum, m_Now);
    }
  }

  static constexpr TimePoint Start{std::chrono::seconds(1000)};

  const FleetModel &m_Model;             ///< Outlives the simulation.
  std::mt19937_64 m_Random;              ///< For arrivals, prompts and crashes.
  std::mt19937_64 m_MachineRandom;       ///< For the states of machines.
  TimePoint m_Now = Start;               ///< Virtual time.
  std::priority_queue<Event> m_Events;   ///< Earliest first.
  std::uint64_t m_Order = 0;             ///< Orders events of equal times.
  std::uint64_t m_LastUniqueSegment = 1; ///< Id of the last unique segment.
  std::vector<Balancer> m_Gateways;      ///< By index.
  std::set<TimerId> m_Timers;            ///< Set and not yet run.
  std::uint64_t m_LastTimer = 0;         ///< Ids start at 1.
  std::vector<std::unique_ptr<gateway::WaitQueue>>
      m_WaitQueues;                                      ///< By gateway.
  std::vector<waiting::WorkspaceLoads> m_WorkspaceLoads; ///< By gateway.
  std::vector<DigestSum> m_ZoneSums;                     ///< By zone.
  unsigned m_DigestIntervals = 0; ///< Digest intervals so far.
  std::vector<Upstream> m_Listed; ///< Listed engines.
  EngineMap m_Engines;            ///< Lost engines included.
  std::vector<std::unique_ptr<TrueSpeeds>> m_TrueSpeeds; ///< By gateway.
  FleetResult m_Result;                                  ///< Counts so far.
  ModelResult m_Uncounted; ///< Of requests before m_CountFrom.
};

} // namespace

FleetResult simulate(const FleetModel &Load) {
  return FleetSimulation(Load).run();
}

} // namespace crowstep::standin
