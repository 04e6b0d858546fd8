/// Instances that forward requests to shared upstreams, with paths to cut.
#ifndef CROWSTEP_TESTS_UNIT_PATH_FLEET_H
#define CROWSTEP_TESTS_UNIT_PATH_FLEET_H

#include "gateway/digest_exchange.h"
#include "relay/call_relay.h"
#include "unit/forwarded_request_env.h"
#include "unit/simulated_links.h"
#include "unit/simulated_tables.h"
#include "unit/simulated_upstreams.h"

#include <algorithm>

namespace crowstep::test {

/// One request of a caller and what became of it.
struct PathRequest {
  std::string m_Id;                            ///< Of the attempt.
  std::size_t m_Instance = 0;                  ///< That it was sent to.
  bool m_IsRepeatable = false;                 ///< May run again.
  TimePoint m_SentAt;                          ///< By the caller.
  TimePoint m_EndedAt;                         ///< Once it has ended.
  bool m_HasEnded = false;                     ///< It was answered.
  bool m_IsLost = false;                       ///< With its instance.
  CallerRecord m_Record;                       ///< What the caller received.
  std::unique_ptr<ForwardedRequest> m_Request; ///< At the instance.

  [[nodiscard]] bool isServed() const {
    return m_Record.m_Ended || (m_Record.m_Answers.size() == 1 &&
                                m_Record.m_Answers[0].m_Status == 200);
  }
  /// Returns whether the answer states that it has not run.
  [[nodiscard]] bool isStatedNotRun() const {
    return m_Record.m_Answers.size() == 1 &&
           m_Record.m_Answers[0].m_RunState == RunState::NotRun;
  }
};

/// Returns the bytes of a stream's events.
inline std::string wholeStream() {
  std::string Result;
  for (int I = 1; I <= UpstreamWorld::EventCount; ++I)
    Result += event(I);
  return Result;
}

inline bool isWholeStream(const PathRequest &Request) {
  return Request.m_Record.m_Ended && Request.m_Record.m_Stream == wholeStream();
}

/// A directory that takes no entry.
class EmptyDirectory final : public Directory {
public:
  void start(DirectoryListener &, const PeerInstance &) override {}
  void deregister() override {}
  void listQuarantined(const ContentHash &) override {}
  void unlistQuarantined(const ContentHash &) override {}
  void registerSoftware(const std::string &, const std::string &) override {}
  void unregisterSoftware(const std::string &, const std::string &) override {}
  void setReadingRole(ReadingRole) override {}
  void confirmSoftware(const ConfirmCallback &) override {}
  void receiveUpdate(const DirectoryUpdate &) override {}
};

/// An instance as the gateway composes it, without its sockets.
struct PathInstance {
  PathInstance(UpstreamWorld &World, LinkNetwork &Net, ManualScheduler &Timers,
               const Clock &Time, PeerInstance Self, std::size_t Index)
      : m_Self(std::move(Self)), m_Balancer(m_Self.m_Zone, Index + 1),
        m_Upstreams(World, Time, Index),
        m_CrashWatch(Time, Timers, m_Balancer, m_Upstreams, m_Metrics),
        m_WaitQueue(Timers), m_Origins(instanceIdOf(m_Self.m_Name),
                                       m_Self.m_Zone, Time, Timers, m_Metrics),
        m_Relay(m_Self,
                {Time, Timers, m_Metrics, m_Balancer, m_Upstreams, m_Upstreams,
                 m_CrashWatch, m_Codec},
                linksFactory(Net, false), linksFactory(Net, true), Index + 1),
        m_Context{Time,
                  Timers,
                  m_Balancer,
                  m_Budget,
                  m_Relay.transport(),
                  m_CrashWatch,
                  m_Origins,
                  m_SoftwareHistory,
                  m_Codec,
                  m_Stats,
                  m_WaitQueue,
                  m_AnswerMemory,
                  [] { return 0.5; },
                  [] { return false; },
                  nullptr} {
    m_CrashWatch.start(m_Directory);
    setUpstreams(World.m_List);
  }

  void setUpstreams(const std::vector<Upstream> &List) {
    m_Balancer.setUpstreams(List);
    m_CrashWatch.upstreamsChanged(List);
    m_Relay.setUpstreams(List);
  }

  /// Exchanges digests and origins of streams with \p Peers.
  void joinDigests(LinkNetwork &Net, ManualScheduler &Timers, const Clock &Time,
                   const PeerList &Peers) {
    m_DigestSelf = m_Self;
    m_DigestSelf.m_RelayAddress = m_Self.m_Address;
    m_Digests = std::make_unique<DigestExchange>(
        m_Self,
        [this, &Net](const std::string &, link::LinkListener &Listener) {
          return std::make_unique<SimulatedLinks>(Net, m_DigestSelf, true,
                                                  Listener);
        },
        Time, Timers, m_Balancer, m_Metrics, [](const DirectoryUpdate &) {},
        nullptr, &m_Origins);
    m_Digests->setPeers(Peers);
  }

  /// Saves origins of streams of the engines' service in \p Shared.
  void archiveOrigins(SimulatedTables &Shared, ManualScheduler &Timers,
                      const Clock &Time) {
    m_Tables = Shared.client();
    m_Archive = std::make_unique<resume::OriginArchive>(
        m_Self.m_Name, *m_Tables, Time, Timers, m_Metrics);
    m_Origins.setArchive(*m_Archive);
    m_Archive->setMixedServices({"pool"});
  }

  relay::RelayLinksFactory linksFactory(LinkNetwork &Net, bool Listens) {
    return [this, &Net, Listens](const std::string &,
                                 link::LinkListener &Listener) {
      return std::make_unique<SimulatedLinks>(Net, m_Self, Listens, Listener);
    };
  }

  PeerInstance m_Self;
  balance::Balancer m_Balancer;
  balance::RetryBudget m_Budget{{0.2, 56, 10s}};
  SimulatedUpstreams m_Upstreams;
  PlainCodec m_Codec;
  Metrics m_Metrics;
  GatewayStats m_Stats{m_Metrics};
  EmptyDirectory m_Directory;
  CrashWatch m_CrashWatch;
  WaitQueue m_WaitQueue;
  AnswerMemory m_AnswerMemory;
  SoftwareHistory m_SoftwareHistory;
  std::unique_ptr<platform::TableService> m_Tables; ///< See archiveOrigins().
  std::unique_ptr<resume::OriginArchive> m_Archive; ///< Null: none is used.
  resume::OriginExchange m_Origins;
  relay::CallRelay m_Relay;
  ForwardContext m_Context;
  PeerInstance m_DigestSelf; ///< It listens for digests at its own address.
  std::unique_ptr<DigestExchange> m_Digests; ///< Null: see joinDigests().
};

/// Requests of the callers of some instances within a time, at their first
/// attempt.
struct ServedShare {
  std::size_t m_Sent = 0;
  std::size_t m_Served = 0;
  [[nodiscard]] double share() const {
    return m_Sent == 0
               ? 1
               : static_cast<double>(m_Served) / static_cast<double>(m_Sent);
  }
};

class PathFleet {
public:
  /// Makes upstreams on machines of their own: engines of the service "pool"
  /// and plain ones of the service "desk".
  PathFleet(std::size_t Instances, std::size_t Zones, std::size_t Engines,
            std::size_t Desks)
      : m_Zones(Zones) {
    for (std::size_t I = 0; I < Engines + Desks; ++I) {
      const bool IsEngine = I < Engines;
      const std::string Name = (IsEngine ? "e" : "d") + std::to_string(I);
      const auto Machine = static_cast<std::uint32_t>(0x0a000001 + I);
      m_World.m_List.push_back(
          {upstreamIdOf(Name),
           Name,
           IsEngine ? "pool" : "desk",
           {Machine, 8000},
           {"z" + std::to_string(I % Zones)},
           IsEngine ? UpstreamKind(Engine{64}) : UpstreamKind(PlainService{64}),
           false});
      m_World.m_List.back().m_Software = SoftwareVersion("1.0");
    }
    m_Table = makeTable();
    m_Peers.m_Key = "key";
    for (std::size_t I = 0; I < Instances; ++I) {
      const auto Machine = static_cast<std::uint32_t>(0x0b000001 + I);
      m_Peers.m_Instances.push_back({"i" + std::to_string(I),
                                     {Machine, 7000},
                                     {"z" + std::to_string(I % Zones)},
                                     1,
                                     {Machine, 7001}});
    }
    for (std::size_t I = 0; I < Instances; ++I)
      startInstance(I);
  }

  /// Starts an instance anew; its requests and links are lost.
  void startInstance(std::size_t Index) {
    if (m_Instances.size() <= Index)
      m_Instances.resize(Index + 1);
    stopInstance(Index);
    m_Instances[Index] = std::make_unique<PathInstance>(
        m_World, m_Links, m_Timers, m_Clock, m_Peers.m_Instances[Index], Index);
    PathInstance &Started = *m_Instances[Index];
    Started.m_Budget.setInstances(m_Peers.m_Instances.size(),
                                  m_Clock.now() - 10s);
    Started.m_Relay.setTable(m_Table);
    Started.m_Relay.setPeers(listedPeers());
    if (m_HasDigests)
      Started.joinDigests(m_DigestLinks, m_Timers, m_Clock, listedPeers());
    if (m_HasArchive)
      Started.archiveOrigins(m_Tables, m_Timers, m_Clock);
  }

  /// Returns the list of instances as the directory has it.
  [[nodiscard]] PeerList listedPeers() const {
    PeerList Result;
    Result.m_Key = m_Peers.m_Key;
    for (std::size_t I = 0; I < m_Peers.m_Instances.size(); ++I)
      if (!m_Unlisted.contains(I))
        Result.m_Instances.push_back(m_Peers.m_Instances[I]);
    return Result;
  }

  /// Lets all instances, and those that start later, exchange digests and
  /// origins of streams.
  void joinDigests() {
    m_HasDigests = true;
    for (const auto &Instance : m_Instances)
      Instance->joinDigests(m_DigestLinks, m_Timers, m_Clock, m_Peers);
  }

  /// Lets all instances, and those that start later, save origins of streams.
  void archiveOrigins() {
    m_HasArchive = true;
    for (const auto &Instance : m_Instances)
      Instance->archiveOrigins(m_Tables, m_Timers, m_Clock);
  }

  /// Kills an instance, with all of its requests.
  void stopInstance(std::size_t Index) {
    for (const auto &Request : m_Requests)
      if (Request->m_Instance == Index && Request->m_Request != nullptr) {
        Request->m_IsLost = !Request->m_HasEnded;
        Request->m_Request.reset();
      }
    m_Instances[Index].reset();
  }

  /// Cuts all paths of \p Count instances, of the first zone as long as it has
  /// as many.
  void cut(std::size_t Count, PathMode Mode) {
    m_World.m_Mode = Mode;
    for (std::size_t Zone = 0; Zone < m_Zones; ++Zone)
      for (std::size_t I = Zone;
           I < m_Instances.size() && m_World.m_CutInstances.size() < Count;
           I += m_Zones)
        m_World.m_CutInstances.insert(I);
    pathsChanged();
  }

  void heal() {
    m_World.m_CutInstances.clear();
    pathsChanged();
  }

  void pathsChanged() {
    for (const auto &Instance : m_Instances)
      if (Instance != nullptr)
        Instance->m_Upstreams.handlePathChange();
  }

  /// Lets each instance get one request in each \p Interval.
  void run(Duration Span, Duration Interval) {
    const TimePoint End = m_Clock.now() + Span;
    while (m_Clock.now() < End) {
      for (std::size_t I = 0; I < m_Instances.size(); ++I)
        if (m_Instances[I] != nullptr &&
            (m_Ticks + I * 7) % static_cast<std::size_t>(Interval / Step) == 0)
          sendNext(I);
      ++m_Ticks;
      advance();
    }
  }

  void advance() {
    m_Timers.advance(Step);
    destroyEnded();
  }

  /// Lets an instance read nothing from other instances until thaw().
  void freeze(std::size_t Index) {
    m_Links.m_Frozen.insert(m_Peers.m_Instances[Index].m_Name);
    m_DigestLinks.m_Frozen.insert(m_Peers.m_Instances[Index].m_Name);
  }
  void thaw(std::size_t Index) {
    m_Links.thaw(m_Peers.m_Instances[Index].m_Name);
    m_DigestLinks.thaw(m_Peers.m_Instances[Index].m_Name);
  }

  /// Sends a request of kind \p Number % 3: a call that may run once, one that
  /// may run again, or a stream that may resume.
  PathRequest &send(std::size_t Instance, unsigned Number,
                    const std::string &Body = {}, const HeaderList &More = {}) {
    static constexpr std::array<const char *, 3> Paths = {"/hold/", "/check/",
                                                          "/guide/"};
    const unsigned Kind = Number % Paths.size();
    auto Made = std::make_unique<PathRequest>();
    PathRequest &Result = *Made;
    Result.m_Id = "r" + std::to_string(m_Requests.size());
    Result.m_Instance = Instance;
    Result.m_IsRepeatable = Kind != 0;
    Result.m_SentAt = m_Clock.now();
    IncomingRequest Incoming{"POST",
                             Paths.at(Kind) + std::string("x"),
                             {{"Host", "h"}, {"Call-Id", Result.m_Id}},
                             Body.empty() ? "body " + Result.m_Id : Body};
    if (Kind == 2)
      Incoming.m_Headers.push_back({"Call-Prompt", "100"});
    Incoming.m_Headers.insert(Incoming.m_Headers.end(), More.begin(),
                              More.end());
    if (findHeader(More, "Call-Time-Ms") == nullptr)
      Incoming.m_Headers.push_back({"Call-Time-Ms", "4000"});
    PathInstance &At = *m_Instances.at(Instance);
    auto Admission = admit(Incoming, m_Table, At.m_Codec);
    Result.m_Request = std::make_unique<ForwardedRequest>(
        At.m_Context, Incoming, std::get<AdmittedRequest>(Admission),
        std::make_unique<FakeCaller>(Result.m_Record), [this, &Result] {
          Result.m_HasEnded = true;
          Result.m_EndedAt = m_Clock.now();
          m_Ended.push_back(&Result);
        });
    m_Requests.push_back(std::move(Made));
    Result.m_Request->start();
    return Result;
  }

  /// Returns how the requests that were sent from \p Since on and have ended
  /// fared at the instances with cut paths, or at the others.
  [[nodiscard]] ServedShare served(bool AtCut, TimePoint Since) const {
    ServedShare Result;
    for (const auto &Request : m_Requests) {
      if (Request->m_SentAt < Since || !Request->m_HasEnded ||
          m_World.m_CutInstances.contains(Request->m_Instance) != AtCut)
        continue;
      ++Result.m_Sent;
      Result.m_Served += Request->isServed() ? 1 : 0;
    }
    return Result;
  }

  /// Returns the 99th percentile of the time of served plain calls that were
  /// sent from \p Since on.
  [[nodiscard]] Duration plainCallTime(bool AtCut, TimePoint Since) const {
    std::vector<Duration> Times;
    for (const auto &Request : m_Requests)
      if (Request->m_SentAt >= Since && Request->m_Record.m_Stream.empty() &&
          Request->isServed() &&
          m_World.m_CutInstances.contains(Request->m_Instance) == AtCut)
        Times.push_back(Request->m_EndedAt - Request->m_SentAt);
    std::ranges::sort(Times);
    return Times.empty() ? Duration::zero() : Times[Times.size() * 99 / 100];
  }

  /// Returns the value of a counter of one instance.
  [[nodiscard]] double counterOf(std::size_t Instance,
                                 const std::string &Name) const {
    return static_cast<double>(
        m_Instances.at(Instance)->m_Metrics.counter(Name).value());
  }

  /// Returns how many calls each instance has carried.
  [[nodiscard]] std::vector<double> carriedCalls() const {
    std::vector<double> Result;
    for (std::size_t I = 0; I < m_Instances.size(); ++I)
      Result.push_back(counterOf(I, "crowstep_carried_calls_total"));
    return Result;
  }

  /// Returns how many calls were started through other instances.
  [[nodiscard]] std::size_t relayedCalls() const {
    double Result = 0;
    for (std::size_t I = 0; I < m_Instances.size(); ++I)
      Result += counterOf(I, "crowstep_relayed_calls_total");
    return static_cast<std::size_t>(Result);
  }

  [[nodiscard]] std::size_t probeCount() const {
    std::size_t Result = 0;
    for (const auto &Instance : m_Instances)
      Result += Instance->m_Upstreams.m_ProbeCount;
    return Result;
  }

  /// Returns how often the request has begun to run.
  [[nodiscard]] std::size_t runsOf(const PathRequest &Request) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_World.m_Runs, [&](const UpstreamRun &Run) {
          return Run.m_Request == Request.m_Id;
        }));
  }

  /// Returns how many calls the upstream called \p Name has begun to run.
  [[nodiscard]] std::size_t runsAt(const std::string &Name) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_World.m_Runs, [&](const UpstreamRun &Run) {
          return Run.m_Upstream == Name;
        }));
  }

  /// Checks that no stream has a gap, or an event twice.
  void checkStreams() const {
    std::size_t Wrong = 0;
    for (const auto &Request : m_Requests) {
      const std::string &Stream = Request->m_Record.m_Stream;
      Wrong += wholeStream().starts_with(Stream) &&
                       (!Request->m_Record.m_Ended || Stream == wholeStream())
                   ? 0
                   : 1;
    }
    BOOST_TEST(Wrong == 0U);
  }

  /// Checks that no call that may run once ran twice, and that none ran whose
  /// answer states that it has not.
  void checkRuns() const {
    std::map<std::string, std::size_t> Runs;
    for (const UpstreamRun &Run : m_World.m_Runs)
      ++Runs[Run.m_Request];
    std::size_t Twice = 0;
    std::size_t RunThoughDenied = 0;
    for (const auto &Request : m_Requests) {
      if (Request->m_IsRepeatable)
        continue;
      const std::size_t Count = Runs[Request->m_Id];
      Twice += Count > 1 ? 1 : 0;
      RunThoughDenied += Request->isStatedNotRun() && Count > 0 ? 1 : 0;
    }
    BOOST_TEST(Twice == 0U);
    BOOST_TEST(RunThoughDenied == 0U);
  }

  static constexpr Duration Step = 1ms; ///< Of the simulation.

  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  UpstreamWorld m_World{m_Timers};
  LinkNetwork m_Links{m_Timers};
  LinkNetwork m_DigestLinks{m_Timers};
  SimulatedTables m_Tables{m_Timers};
  bool m_HasDigests = false; ///< See joinDigests().
  bool m_HasArchive = false; ///< See archiveOrigins().
  std::size_t m_Zones;
  RouteTablePtr m_Table;
  PeerList m_Peers;                 ///< All instances.
  std::set<std::size_t> m_Unlisted; ///< Of these, not in the directory.
  std::vector<std::unique_ptr<PathInstance>> m_Instances; ///< Null: killed.
  std::vector<std::unique_ptr<PathRequest>> m_Requests;   ///< All, in order.

private:
  static RouteTablePtr makeTable() {
    RouteTableData Data;
    const auto Add = [&](const char *Prefix, const char *Service,
                         const RouteKind &Kind, Duration Target) {
      Route Added;
      Added.m_Name = Prefix;
      Added.m_Host = "h";
      Added.m_Prefix = Prefix;
      Added.m_Kind = Kind;
      Added.m_Timeout = 4s;
      Added.m_Target = Target;
      Added.m_Services = {{Service, 1}};
      Added.m_MaxAttempts = 3;
      Data.m_Routes.push_back(Added);
    };
    Add("/hold/", "desk", PlainCall{false}, 150ms);
    Add("/check/", "desk", PlainCall{true}, 150ms);
    Add("/guide/", "pool", EventStream{true, 250ms}, 600ms);
    return std::make_shared<RouteTable>(std::move(Data));
  }

  /// Lets the kinds of an instance's requests alternate.
  void sendNext(std::size_t Instance) {
    const unsigned Number = m_Sent++;
    send(Instance, Number + Number / static_cast<unsigned>(m_Instances.size()));
  }

  /// A request may not be destroyed while it is on the call stack.
  void destroyEnded() {
    for (PathRequest *Request : m_Ended)
      Request->m_Request.reset();
    m_Ended.clear();
  }

  std::size_t m_Ticks = 0;            ///< Steps so far.
  unsigned m_Sent = 0;                ///< Requests of run() so far.
  std::vector<PathRequest *> m_Ended; ///< Since the last step.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_PATH_FLEET_H
