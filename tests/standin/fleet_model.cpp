/// Engines, callers and gateways of the simulated fleet.
#include "standin/fleet_model.h"

#include "balance/balancer.h"
#include "balance/digest_sum.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <set>

namespace crowstep::standin {

namespace {

using namespace balance;

constexpr const char *ServiceName = "model";
constexpr Duration AskAgain = std::chrono::milliseconds(20);

Duration microseconds(double Count) {
  return Duration(static_cast<Duration::rep>(Count));
}

/// A placed call.
struct Call {
  const ModelClass *m_Class;  ///< Not null.
  std::size_t m_Gateway;      ///< Index of the gateway that placed it.
  TicketId m_Ticket;          ///< Of that gateway's balancer.
  PromptSize m_Prompt;        ///< As in the placement query.
  TimePoint m_Begin;          ///< Arrival of the request.
  TimePoint m_LastEvent{};    ///< Time of the newest event.
  std::uint32_t m_Unread = 0; ///< Prompt tokens left to prefill.
  std::uint32_t m_Made = 0;   ///< Output tokens so far.
  bool m_Running = false;     ///< Placed and not ended.
  bool m_InTime = true;       ///< No event was late so far.
};

using CallPtr = std::shared_ptr<Call>;

/// One engine: a batch that runs in steps, and the calls that wait for a slot.
class ModelEngine {
public:
  ModelEngine(const FleetModel &With, UpstreamId Id)
      : m_Model(With), m_Id(Id) {}

  void add(const CallPtr &Fresh) { m_Waiting.push_back(Fresh); }
  void remove(const CallPtr &Gone) {
    std::erase(m_Waiting, Gone);
    std::erase(m_Running, Gone);
  }
  [[nodiscard]] bool idle() const { return !m_Stepping; }

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
  std::optional<Duration> begin() {
    admit();
    if (m_Running.empty())
      return std::nullopt;
    m_Stepping = true;
    std::uint32_t Left = m_Model.m_Chunk;
    m_Decoding.clear();
    for (const CallPtr &Each : m_Running) {
      if (Each->m_Unread == 0) {
        m_Decoding.push_back(Each);
        continue;
      }
      const std::uint32_t Now = std::min(Left, Each->m_Unread);
      Each->m_Unread -= Now;
      Left -= Now;
      if (Now > 0 && Each->m_Unread == 0)
        m_Decoding.push_back(Each);
    }
    return microseconds(m_Model.m_StepUs +
                        m_Model.m_SlotUs *
                            static_cast<double>(m_Running.size()) +
                        m_Model.m_ReadUs * (m_Model.m_Chunk - Left));
  }

  /// Ends the step; returns the calls that generated a token in it.
  std::vector<CallPtr> finish() {
    m_Stepping = false;
    return std::move(m_Decoding);
  }

  /// Returns how many prefill tokens here were of segments that some engine had
  /// computed before.
  [[nodiscard]] std::uint64_t readAgain() const { return m_ReadAgain; }
  [[nodiscard]] bool used() const { return m_Used; }

  /// Clears the record of segments that any engine has computed.
  static void forgetParts() { everRead().clear(); }

private:
  static std::set<std::uint64_t> &everRead() {
    static std::set<std::uint64_t> Parts;
    return Parts;
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
      const std::vector<PromptPart> &Parts = Next->m_Prompt.m_Parts;
      const std::uint32_t Kept = m_Cache.kept(m_Id, Parts);
      Next->m_Unread = std::max(1U, Next->m_Prompt.m_PromptTokens - Kept);
      for (const PromptPart &Each : Parts) {
        if (m_Cache.kept(m_Id, {Each}) == 0 &&
            !everRead().insert(Each.m_Id).second)
          m_ReadAgain += Each.m_Tokens;
        m_Cache.placed(m_Id, Each, m_Model.m_CacheTokens);
      }
      m_Running.push_back(Next);
      m_Used = true;
    }
    sortByUrgency(m_Running);
  }

  const FleetModel &m_Model;       ///< Outlives the engine.
  UpstreamId m_Id;                 ///< Of this engine.
  CacheModel m_Cache;              ///< Its prefix cache.
  std::vector<CallPtr> m_Waiting;  ///< Calls that wait for a slot.
  std::vector<CallPtr> m_Running;  ///< Calls in the batch.
  std::vector<CallPtr> m_Decoding; ///< Generate a token in this step.
  std::uint64_t m_ReadAgain = 0;   ///< See repeatedPrefillTokens().
  bool m_Stepping = false;         ///< A step is running.
  bool m_Used = false;             ///< Has run at least one call.
};

/// Event loop in virtual time.
class Play {
public:
  explicit Play(const FleetModel &What) : m_Model(What), m_Random(What.m_Seed) {
    ModelEngine::forgetParts();
    for (std::size_t I = 0; I < What.m_Engines; ++I)
      addEngine("engine-" + std::to_string(I));
    Duration Tightest{};
    for (const ModelClass &Each : What.m_Classes)
      if (Each.m_LongestPause > Duration::zero() &&
          (Tightest == Duration::zero() || Each.m_LongestPause < Tightest))
        Tightest = Each.m_LongestPause;
    for (std::size_t I = 0; I < What.m_Gateways; ++I) {
      m_Gateways.emplace_back(AvailabilityZone{"a"}, What.m_Seed * 1000 + I);
      m_Gateways.back().setUpstreams(m_List);
      m_Gateways.back().setCacheTokens(ServiceName, What.m_CacheTokens);
      m_Gateways.back().setTightestPauses({{ServiceName, Tightest}});
    }
  }

  FleetResult run() {
    for (std::size_t I = 0; I < m_Model.m_Classes.size(); ++I)
      planArrival(I);
    at(m_Model.m_DigestInterval, [this] { digests(); });
    for (const ModelCrash &Each : m_Model.m_Crashes)
      at(Each.m_At, [this, &Each] { crash(Each); });
    while (!m_Events.empty()) {
      const Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_When;
      Next.m_What();
    }
    for (const auto &[Id, Each] : m_Engines) {
      m_Result.m_ReadAgain += Each.readAgain();
      m_Result.m_EnginesUsed += Each.used() ? 1 : 0;
    }
    return std::move(m_Result);
  }

private:
  struct Event {
    TimePoint m_When;
    std::uint64_t m_Order;
    std::function<void()> m_What;
    bool operator<(const Event &Other) const {
      return std::pair(m_When, m_Order) >
             std::pair(Other.m_When, Other.m_Order);
    }
  };

  void at(Duration In, std::function<void()> What) {
    m_Events.push({m_Now + In, ++m_Order, std::move(What)});
  }

  [[nodiscard]] bool over() const { return m_Now - Start > m_Model.m_Length; }

  double rateOf(std::size_t Class) const {
    double Result = m_Model.m_Classes[Class].m_PerSecond;
    for (const ModelBurst &Each : m_Model.m_Bursts)
      if (Each.m_Class == Class && m_Now - Start >= Each.m_From &&
          m_Now - Start < Each.m_To)
        Result *= Each.m_Factor;
    return Result;
  }

  void addEngine(const std::string &Name) {
    m_List.push_back({upstreamIdOf(Name),
                      Name,
                      ServiceName,
                      Address{},
                      {"a"},
                      Engine{m_Model.m_Slots, {}, true, true},
                      false});
    m_Engines.emplace(m_List.back().m_Id,
                      ModelEngine(m_Model, m_List.back().m_Id));
  }

  void tellGateways() {
    for (Balancer &Each : m_Gateways)
      Each.setUpstreams(m_List);
  }

  void crash(const ModelCrash &Which) {
    const auto Count = static_cast<std::size_t>(
        Which.m_Share * static_cast<double>(m_List.size()));
    std::shuffle(m_List.begin(), m_List.end(), m_Random);
    for (std::size_t I = 0; I < Count; ++I) {
      for (const CallPtr &Each : m_Engines.at(m_List.back().m_Id).crash()) {
        ++m_Result.m_Classes[Each->m_Class->m_Name].m_Lost;
        end(Each, CallOutcome::Failed);
      }
      m_List.pop_back();
    }
    tellGateways();
    at(Which.m_For, [this, Count] {
      for (std::size_t I = 0; I < Count; ++I)
        addEngine("later-" + std::to_string(m_Engines.size()));
      tellGateways();
    });
  }

  void planArrival(std::size_t Class) {
    constexpr double UsPerSecond = 1e6;
    std::exponential_distribution<double> Gap(rateOf(Class));
    at(microseconds(Gap(m_Random) * UsPerSecond), [this, Class] {
      if (over())
        return;
      arrive(m_Model.m_Classes[Class]);
      planArrival(Class);
    });
  }

  PromptSize promptFor(const ModelClass &Which) {
    const auto Name = std::hash<std::string>()(Which.m_Name);
    PromptSize Result;
    std::uint64_t Depth = 0;
    for (const ModelPart &Each : Which.m_Shared)
      Result.m_Parts.push_back(
          {Name + (++Depth << 32U) + m_Random() % Each.m_Count, Each.m_Tokens});
    // From 0.5 to 1.5 times the mean.
    const auto Own = static_cast<std::uint32_t>(
        Which.m_OwnTokens / 2 + m_Random() % (Which.m_OwnTokens + 1));
    Result.m_Parts.push_back({++m_LastOwn, Own});
    for (const PromptPart &Each : Result.m_Parts)
      Result.m_PromptTokens += Each.m_Tokens;
    Result.m_MaxOutput = Which.m_Output;
    Result.m_ExpectedOutput = Which.m_Output;
    return Result;
  }

  void arrive(const ModelClass &Which) {
    ++m_Result.m_Classes[Which.m_Name].m_Asked;
    PlacementQuery Query;
    Query.m_Service = ServiceName;
    Query.m_Urgency = Which.m_Urgency;
    Query.m_Target = Which.m_Target;
    Query.m_LongestPause = Which.m_LongestPause;
    Query.m_Prompt = promptFor(Which);
    Query.m_MayWait = m_Model.m_WaitShare > 0;
    ask(Which, Query, m_Random() % m_Gateways.size(), m_Now);
  }

  void ask(const ModelClass &Which, const PlacementQuery &Query,
           std::size_t Gateway, TimePoint Begin) {
    const PlacementResult Answer = m_Gateways[Gateway].place(Query, m_Now);
    const bool Patient =
        m_Now - Begin <
        microseconds(m_Model.m_WaitShare *
                     static_cast<double>(Which.m_Target.count()));
    if (std::holds_alternative<MustWait>(Answer) && Patient) {
      at(AskAgain, [this, &Which, Query, Gateway, Begin] {
        ask(Which, Query, Gateway, Begin);
      });
      return;
    }
    if (std::holds_alternative<MustWait>(Answer)) {
      PlacementQuery Last = Query;
      Last.m_MayWait = false;
      Last.m_WaitedInVain = true;
      ask(Which, Last, Gateway, Begin);
      return;
    }
    const auto *Where = std::get_if<Placed>(&Answer);
    if (Where == nullptr) {
      ++m_Result.m_Classes[Which.m_Name].m_Refused;
      return;
    }
    auto Fresh = std::make_shared<Call>();
    Fresh->m_Class = &Which;
    Fresh->m_Gateway = Gateway;
    Fresh->m_Ticket = Where->m_Ticket;
    Fresh->m_Prompt = Query.m_Prompt;
    Fresh->m_Begin = Begin;
    Fresh->m_Running = true;
    const UpstreamId Engine = Where->m_Upstream;
    m_Engines.at(Engine).add(Fresh);
    step(Engine);
    at(Which.m_Deadline - (m_Now - Begin),
       [this, Fresh, Engine] { deadline(Fresh, Engine); });
  }

  void deadline(const CallPtr &Which, UpstreamId Engine) {
    if (!Which->m_Running)
      return;
    ++m_Result.m_Classes[Which->m_Class->m_Name].m_Unfinished;
    m_Engines.at(Engine).remove(Which);
    end(Which, CallOutcome::Dropped);
  }

  void end(const CallPtr &Which, CallOutcome How) {
    Which->m_Running = false;
    m_Gateways[Which->m_Gateway].ended(Which->m_Ticket, How, m_Now);
  }

  void step(UpstreamId Engine) {
    ModelEngine &Which = m_Engines.at(Engine);
    if (!Which.idle())
      return;
    if (const auto Length = Which.begin())
      at(*Length, [this, Engine] { stepped(Engine); });
  }

  void stepped(UpstreamId Engine) {
    for (const CallPtr &Each : m_Engines.at(Engine).finish())
      if (Each->m_Running)
        token(Each, Engine);
    step(Engine);
  }

  void token(const CallPtr &Which, UpstreamId Engine) {
    const ModelClass &Class = *Which->m_Class;
    ++Which->m_Made;
    const bool Last = Which->m_Made >= Class.m_Output;
    if (Which->m_Made % m_Model.m_Stride != 1 % m_Model.m_Stride && !Last)
      return;
    if (Which->m_Made == 1) {
      m_Gateways[Which->m_Gateway].answered(Which->m_Ticket, m_Now);
      Which->m_InTime = m_Now - Which->m_Begin <= Class.m_Target;
    } else if (m_Now - Which->m_LastEvent > Class.m_LongestPause) {
      Which->m_InTime = false;
    }
    Which->m_LastEvent = m_Now;
    if (!Last)
      return;
    ModelResult &Counts = m_Result.m_Classes[Class.m_Name];
    ++(Which->m_InTime ? Counts.m_InTime : Counts.m_Late);
    m_Engines.at(Engine).remove(Which);
    end(Which, CallOutcome::Served);
  }

  [[nodiscard]] std::size_t zoneOf(std::size_t Gateway) const {
    return Gateway % m_Model.m_Zones;
  }

  void digests() {
    m_Sums.resize(m_Model.m_Zones);
    for (std::size_t From = 0; From < m_Gateways.size(); ++From) {
      const LoadDigest Said = m_Gateways[From].takeDigest(m_Now);
      m_Sums[zoneOf(From)].take(InstanceId(From + 1), Said, m_Now);
      for (std::size_t To = 0; To < m_Gateways.size(); ++To)
        if (To != From && zoneOf(To) == zoneOf(From))
          m_Gateways[To].peerSaid(InstanceId(From + 1), Said, m_Now);
    }
    if (m_Model.m_Zones > 1 && ++m_Ticks % 2 == 0)
      zoneSums();
    if (!over())
      at(m_Model.m_DigestInterval, [this] { digests(); });
  }

  void zoneSums() {
    for (std::size_t From = 0; From < m_Model.m_Zones; ++From) {
      const LoadDigest Sum = m_Sums[From].takeSum(m_Now);
      for (std::size_t To = 0; To < m_Gateways.size(); ++To)
        if (zoneOf(To) != From)
          m_Gateways[To].peerSaid(InstanceId(m_Gateways.size() + 1 + From), Sum,
                                  m_Now);
    }
  }

  static constexpr TimePoint Start{std::chrono::seconds(1000)};

  const FleetModel &m_Model;           ///< Outlives the simulation.
  std::mt19937_64 m_Random;            ///< For arrivals, prompts and crashes.
  TimePoint m_Now = Start;             ///< Virtual time.
  std::priority_queue<Event> m_Events; ///< Earliest first.
  std::uint64_t m_Order = 0;           ///< Orders events of equal times.
  std::uint64_t m_LastOwn = 1;         ///< Id of the last unique segment.
  std::vector<Balancer> m_Gateways;    ///< By index.
  std::vector<DigestSum> m_Sums;       ///< By zone.
  unsigned m_Ticks = 0;                ///< Digest intervals so far.
  std::vector<Upstream> m_List;        ///< Listed engines.
  std::map<UpstreamId, ModelEngine> m_Engines; ///< Lost engines included.
  FleetResult m_Result;                        ///< Counts so far.
};

} // namespace

FleetResult play(const FleetModel &What) { return Play(What).run(); }

} // namespace crowstep::standin
