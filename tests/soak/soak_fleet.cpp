/// The fleet, its load and its readiness probes.
#include "soak/soak_fleet.h"

#include "core/error.h"

#include <arpa/inet.h>
#include <filesystem>
#include <utility>

namespace crowstep::soak {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

/// Service must have recovered this long after the last fault: of the requests
/// of a window, more than this share must be served.
constexpr Duration RecoveryLimit = 12s;
constexpr double RecoveredShare = 0.95;
constexpr Duration RecoveryWindow = 1500ms;

constexpr Duration LoadStep = 20ms;

/// Interval of the crashing request, time from its start at an upstream to the
/// crash, and time that the crashed upstream's row stays in the store.
constexpr Duration CrashingInterval = 300ms;
constexpr Duration CrashTime = 30ms;
constexpr Duration CrashedRowTime = 500ms;

/// Tolerance for delays of the driver, which checks by its own clock and shares
/// the machine with the processes under test.
constexpr std::chrono::milliseconds DriverSlack{500};

/// The routes in every table; each table has one more of its own.
struct RouteRow {
  Kind m_Kind;        ///< For the checks.
  const char *m_Path; ///< Prefix of paths.
  const char *m_Name; ///< The table's routeKind.
  int m_TimeoutMs;    ///< Time-out of a request.
  bool m_Resumable;   ///< Streams only.
};
constexpr std::array Routes = {
    RouteRow{Kind::Once, "/once/", "non_idempotent", 2000, false},
    RouteRow{Kind::Again, "/again/", "idempotent", 2000, false},
    RouteRow{Kind::Stream, "/stream/", "streaming", 4000, false},
    RouteRow{Kind::Resumable, "/restream/", "streaming", 4000, true},
};

Json routeJson(const std::string &Path, const std::string &Name, int TimeoutMs,
               bool Resumable) {
  Json Result = {{"name", Path},           {"host", "h.example"},
                 {"prefix", Path},         {"routeKind", Name},
                 {"timeoutMs", TimeoutMs}, {"targetLatencyMs", 200},
                 {"priority", 0},          {"service", "s"},
                 {"maxAttempts", 3},       {"anonymous", true}};
  if (Name == "streaming") {
    Result["gapAimMs"] = 300;
    Result["resumable"] = Resumable;
  }
  return Result;
}

std::string tablePath(unsigned Version) {
  return "/table-" + std::to_string(Version) + "/";
}

Address loopback(std::uint16_t Port) { return {INADDR_LOOPBACK, Port}; }

} // namespace

SoakFleet::SoakFleet(const FleetPlan &Plan)
    : m_Plan(Plan), m_Random(Plan.m_Seed),
      m_StoreAt(loopback(test::freePort())), m_Calm(isCalm(Plan.m_Seed)) {
  m_Store.listen(m_StoreAt);
  putTable();
  // Elements must not move: upstreams' callbacks refer to them.
  m_Seats.reserve(static_cast<std::size_t>(Plan.m_Upstreams));
  for (int I = 0; I < Plan.m_Upstreams; ++I) {
    Seat Upstream;
    Upstream.m_Number = I;
    Upstream.m_Real = loopback(test::freePort());
    Upstream.m_Way = std::make_unique<test::Relay>(Upstream.m_Real);
    m_Seats.push_back(std::move(Upstream));
    startUpstream(m_Seats.back());
  }
  for (int I = 0; I < Plan.m_Gateways; ++I) {
    Place Gateway;
    Gateway.m_Number = I;
    Gateway.m_ToStore = std::make_unique<test::Relay>(m_StoreAt);
    Gateway.m_At = test::gatewayPlace("gateway-" + std::to_string(I),
                                      Gateway.m_ToStore->address());
    Gateway.m_At.m_Drain = DrainBound;
    Gateway.m_At.m_Settle = SettleBound - DriverSlack;
    Gateway.m_At.m_Retry = {RetryRatio, RetrySlack, RetryWindow};
    m_Places.push_back(std::move(Gateway));
  }
}

SoakFleet::~SoakFleet() = default;

void SoakFleet::startGateway(Place &Gateway) {
  ++Gateway.m_Lifetime;
  Gateway.m_Stopping = false;
  Gateway.m_Frozen = false;
  Gateway.m_StartedAt = m_Clock.now();
  Gateway.m_Process = std::make_unique<test::Process>(
      m_Folder, "crowstep-gateway", Gateway.m_At.m_Name,
      settingsOf(Gateway.m_At));
}

bool SoakFleet::start() {
  for (Place &Gateway : m_Places)
    startGateway(Gateway);
  return test::runUntil(
      [this] {
        return std::all_of(m_Places.begin(), m_Places.end(),
                           [this](Place &Gateway) { return poll(Gateway); });
      },
      15s);
}

/// Probes readiness once, waits for the answer and returns whether the gateway
/// is ready.
bool SoakFleet::poll(Place &Gateway) {
  test::Call Probe = readinessCall(Gateway.m_At);
  Probe.m_Limit = 500ms;
  Gateway.m_TakesCalls = m_Probe.call(Probe).m_Status == 200;
  return Gateway.m_TakesCalls;
}

void SoakFleet::startUpstream(Seat &Upstream) {
  const std::string Name = "u-" + std::to_string(Upstream.m_Number) + "-" +
                           std::to_string(++Upstream.m_Lifetime);
  Upstream.m_Upstream = std::make_unique<SoakUpstream>(
      Name, Upstream.m_Real, m_Ledger, m_Clock, m_Random(),
      [this, &Upstream, Name] {
        later(CrashTime, [this, &Upstream, Name] {
          if (Upstream.m_Upstream != nullptr &&
              Upstream.m_Upstream->name() == Name)
            crash(Upstream);
        });
      });
  list(Upstream, "ready");
}

void SoakFleet::list(const Seat &Upstream, const std::string &State) {
  m_Store.put("servers", Upstream.m_Upstream->name(),
              State.empty()
                  ? ""
                  : test::upstreamRow(Upstream.m_Way->address(), 64, State));
}

void SoakFleet::putTable() {
  ++m_TableVersion;
  Json Table = {{"version", m_TableVersion},
                {"routes", Json::array()},
                {"services", {{{"name", "s"}}}}};
  for (const RouteRow &Route : Routes)
    Table["routes"].push_back(routeJson(Route.m_Path, Route.m_Name,
                                        Route.m_TimeoutMs, Route.m_Resumable));
  Table["routes"].push_back(
      routeJson(tablePath(m_TableVersion), "idempotent", 2000, false));
  m_Store.put("op", "config", Table.dump());
  m_Ledger.tableChanged(m_TableVersion, m_Clock.fresh());
}

// Load

void SoakFleet::callOnce() {
  std::vector<Place *> Ready;
  for (Place &Gateway : m_Places)
    if (Gateway.m_TakesCalls)
      Ready.push_back(&Gateway);
  if (Ready.empty())
    return;
  Place &Gateway = *Ready.at(m_Random() % Ready.size());
  const std::string Id = "call-" + std::to_string(++m_LastCall);
  constexpr std::uint64_t TableProbeEvery = 8;
  const RouteRow &Route = Routes.at(m_Random() % Routes.size());
  Asked Record;
  Record.m_Kind = Route.m_Kind;
  Record.m_Gateway = Gateway.m_Number;
  Record.m_Lifetime = Gateway.m_Lifetime;
  Record.m_At = m_Clock.now();
  test::Call Request;
  Request.m_Path = Route.m_Path + Id;
  if (m_Random() % TableProbeEvery == 0) {
    // The newest table's own route, or the previous one's, which it removed.
    Record.m_TableVersion =
        std::max(1U, m_TableVersion - static_cast<unsigned>(m_Random() % 2));
    Record.m_Kind = Kind::Again;
    Request.m_Path = tablePath(Record.m_TableVersion) + Id;
  }
  Request.m_Where = Gateway.m_At.m_Listen;
  Request.m_Body = "{}";
  Request.m_KeepsOpen = m_Random() % 2 == 0;
  Request.m_Limit = 6s;
  Request.m_Headers = {
      {"Host", "h.example"}, {"X-Attempt-Id", Id}, {"X-Deadline-Ms", "5000"}};
  Record.m_Told = m_Callers.start(Request);
  m_Ledger.asked(Id, std::move(Record));
}

/// Sends the same request each time, to the gateway that the number of requests
/// so far selects; sends none while that gateway isn't ready.
void SoakFleet::sendCrashing() {
  const auto Target = std::find_if(
      m_Places.begin(), m_Places.end(), [this](const Place &Gateway) {
        return Gateway.m_TakesCalls &&
               Gateway.m_Number ==
                   static_cast<int>(m_LastCall % m_Places.size());
      });
  if (Target == m_Places.end())
    return;
  const std::string Id = "crash-" + std::to_string(++m_LastCall);
  Asked Record;
  Record.m_Kind = Kind::Again;
  Record.m_Gateway = Target->m_Number;
  Record.m_Lifetime = Target->m_Lifetime;
  Record.m_At = m_Clock.now();
  Record.m_Crashing = true;
  Record.m_GatewayStart = Target->m_StartedAt;
  test::Call Request;
  Request.m_Path = "/again/crash";
  Request.m_Where = Target->m_At.m_Listen;
  Request.m_Body = CrashingBody;
  Request.m_Limit = 6s;
  Request.m_Headers = {
      {"Host", "h.example"}, {"X-Attempt-Id", Id}, {"X-Deadline-Ms", "5000"}};
  Record.m_Told = m_Callers.start(Request);
  m_Ledger.asked(Id, std::move(Record));
}

void SoakFleet::crash(Seat &Upstream) {
  m_Ledger.crashed(m_Clock.now() + CrashedRowTime);
  takeDown(Upstream, CrashedRowTime, 2 * CrashedRowTime);
}

/// Stops an upstream without draining. Its row stays for a while, as that of an
/// engine that has crashed.
void SoakFleet::takeDown(Seat &Upstream, Duration RowTime,
                         Duration RestartTime) {
  const std::string Name = Upstream.m_Upstream->name();
  Upstream.m_Upstream = nullptr;
  later(RowTime, [this, Name] { m_Store.put("servers", Name, ""); });
  later(RestartTime, [this, &Upstream] {
    if (Upstream.m_Upstream == nullptr)
      startUpstream(Upstream);
  });
}

void SoakFleet::reapAll() {
  for (Place &Gateway : m_Places) {
    if (Gateway.m_Process == nullptr || Gateway.m_Process->running())
      continue;
    Gateway.m_TakesCalls = false;
    Gateway.m_Process = nullptr;
    later(200ms, [this, &Gateway] { startGateway(Gateway); });
  }
}

void SoakFleet::later(Duration After, std::function<void()> Job) {
  m_Timers.after(After, std::move(Job));
}

/// The store and the operator run in the driver's process: while that gets no
/// processor time on a busy machine, the store answers nobody.
void SoakFleet::noteStall(TimePoint LastStep) {
  if (m_Clock.now() - LastStep > DriverSlack)
    m_Ledger.stalled(LastStep, m_Clock.now());
}

void SoakFleet::play(const std::vector<Fault> &Faults, Duration Length) {
  Duration End = Length;
  for (const Fault &Played : Faults) {
    later(Played.m_At, [this, Played] { apply(Played); });
    End = std::max(End, Played.m_At + Played.m_Span);
  }
  Timer LoadTimer(m_Timers);
  Timer ProbeTimer(m_Timers);
  TimePoint LastStep = m_Clock.now();
  std::function<void()> SendLoad = [&] {
    LoadTimer.start(LoadStep, SendLoad);
    noteStall(std::exchange(LastStep, m_Clock.now()));
    const double Expected = m_Plan.m_CallsPerSecond *
                            std::chrono::duration<double>(LoadStep).count();
    for (int I = 0; I < static_cast<int>(Expected); ++I)
      callOnce();
    m_Ledger.judge();
    reapAll();
  };
  // The platform removes a gateway after two failed probes and adds it again
  // after one answer. Here one failed probe is enough.
  std::function<void()> ProbeAll = [&] {
    ProbeTimer.start(500ms, ProbeAll);
    for (Place &Gateway : m_Places) {
      test::Call Probe = readinessCall(Gateway.m_At);
      Probe.m_Limit = 400ms;
      const auto Result = m_Probe.start(Probe);
      later(450ms, [&Gateway, Result] {
        Gateway.m_TakesCalls = Result->m_Status == 200;
      });
    }
  };
  Timer CrashTimer(m_Timers);
  std::function<void()> SendCrashing = [&] {
    CrashTimer.start(CrashingInterval, SendCrashing);
    sendCrashing();
  };
  if (hasCrashingRequest(m_Plan.m_Seed))
    SendCrashing();
  SendLoad();
  ProbeAll();
  test::runFor(End);
  const TimePoint FaultsEnded = m_Clock.fresh();
  const bool Recovered = test::runUntil(
      [&] {
        // Requests get 1.5 s to end.
        const TimePoint To = m_Clock.fresh() - 1500ms;
        return To - RecoveryWindow > FaultsEnded &&
               m_Ledger.servedShare(To - RecoveryWindow, To) > RecoveredShare;
      },
      RecoveryLimit + RecoveryWindow + 1500ms);
  m_Ledger.judgeRecovery(Recovered);
  LoadTimer.stop();
  CrashTimer.stop();
  test::runFor(6s - std::min<Duration>(4s, m_Clock.fresh() - FaultsEnded));
  ProbeTimer.stop();
  test::runFor(500ms);
}

void SoakFleet::keepLogs() const {
  if (m_Plan.m_Keep.empty())
    return;
  std::filesystem::create_directories(m_Plan.m_Keep);
  for (const auto &File : std::filesystem::directory_iterator(m_Folder.path()))
    std::filesystem::copy(File.path(),
                          std::filesystem::path(m_Plan.m_Keep) /
                              File.path().filename(),
                          std::filesystem::copy_options::overwrite_existing);
}

} // namespace crowstep::soak
