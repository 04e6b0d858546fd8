/// The fleet and its load.
#include "soak/soak_fleet.h"

#include "core/error.h"

#include <arpa/inet.h>
#include <filesystem>
#include <utility>

namespace crowstep::soak {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

/// The bound within which service is back after the last trouble, and the share
/// that must then be served.
constexpr Duration RecoveryLimit = 12s;
constexpr double RecoveredShare = 0.95;
constexpr Duration RecoveryWindow = 1500ms;

constexpr Duration LoadStep = 20ms;

/// A crashing request, its run, and the row of what it crashed.
constexpr Duration CrashingEvery = 300ms;
constexpr Duration CrashTime = 30ms;
constexpr Duration CrashedRowStays = 500ms;

/// The driver judges by its own clock, and shares the machine with all it runs.
constexpr std::chrono::milliseconds DriverSlack{500};

/// Routes, besides those that come and go with tables.
struct RouteRow {
  Kind m_Kind;        ///< What callers expect.
  const char *m_Path; ///< Its prefix.
  const char *m_Name; ///< As the platform calls the kind.
  int m_TimeoutMs;    ///< Its time.
  bool m_Resumable;   ///< Streams only.
};
constexpr std::array Routes = {
    RouteRow{Kind::Once, "/once/", "non_idempotent", 2000, false},
    RouteRow{Kind::Again, "/again/", "idempotent", 2000, false},
    RouteRow{Kind::Stream, "/stream/", "streaming", 4000, false},
    RouteRow{Kind::Resumable, "/restream/", "streaming", 4000, true},
};

Json routeOf(const std::string &Path, const std::string &Name, int TimeoutMs,
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

Address local(std::uint16_t Port) { return {INADDR_LOOPBACK, Port}; }

} // namespace

SoakFleet::SoakFleet(const FleetPlan &Plan)
    : m_Plan(Plan), m_Random(Plan.m_Seed), m_StoreAt(local(test::freePort())),
      m_Calm(isCalm(Plan.m_Seed)) {
  m_Store.listen(m_StoreAt);
  putTable();
  // Upstreams hold references to their seats.
  m_Seats.reserve(static_cast<std::size_t>(Plan.m_Upstreams));
  for (int I = 0; I < Plan.m_Upstreams; ++I) {
    Seat Fresh;
    Fresh.m_Number = I;
    Fresh.m_Real = local(test::freePort());
    Fresh.m_Way = std::make_unique<test::Relay>(Fresh.m_Real);
    m_Seats.push_back(std::move(Fresh));
    startUpstream(m_Seats.back());
  }
  for (int I = 0; I < Plan.m_Gateways; ++I) {
    Place Fresh;
    Fresh.m_Number = I;
    Fresh.m_ToStore = std::make_unique<test::Relay>(m_StoreAt);
    Fresh.m_At = test::gatewayPlace("gateway-" + std::to_string(I),
                                    Fresh.m_ToStore->address());
    Fresh.m_At.m_Drain = DrainBound;
    Fresh.m_At.m_Settle = SettleBound - DriverSlack;
    Fresh.m_At.m_Retry = {RetryRatio, RetrySlack, RetryWindow};
    m_Places.push_back(std::move(Fresh));
  }
}

SoakFleet::~SoakFleet() = default;

void SoakFleet::startGateway(Place &Which) {
  ++Which.m_Lifetime;
  Which.m_Stopping = false;
  Which.m_Frozen = false;
  Which.m_StartedAt = m_Clock.now();
  Which.m_Process = std::make_unique<test::Process>(
      m_Folder, "crowstep-gateway", Which.m_At.m_Name, settingsOf(Which.m_At));
}

bool SoakFleet::start() {
  for (Place &Each : m_Places)
    startGateway(Each);
  return test::runUntil(
      [this] {
        return std::all_of(m_Places.begin(), m_Places.end(),
                           [this](Place &Each) { return poll(Each); });
      },
      15s);
}

/// Asks for readiness once; the answer counts from the next time on.
bool SoakFleet::poll(Place &Which) {
  test::Call Asked = readinessCall(Which.m_At);
  Asked.m_Limit = 500ms;
  Which.m_TakesCalls = m_Probe.call(Asked).m_Status == 200;
  return Which.m_TakesCalls;
}

void SoakFleet::startUpstream(Seat &Which) {
  const std::string Name = "u-" + std::to_string(Which.m_Number) + "-" +
                           std::to_string(++Which.m_Lifetime);
  Which.m_Upstream = std::make_unique<SoakUpstream>(
      Name, Which.m_Real, m_Ledger, m_Clock, m_Random(), [this, &Which, Name] {
        later(CrashTime, [this, &Which, Name] {
          if (Which.m_Upstream != nullptr && Which.m_Upstream->name() == Name)
            crash(Which);
        });
      });
  list(Which, "ready");
}

void SoakFleet::list(const Seat &Which, const std::string &State) {
  m_Store.put("servers", Which.m_Upstream->name(),
              State.empty()
                  ? ""
                  : test::upstreamRow(Which.m_Way->address(), 64, State));
}

void SoakFleet::putTable() {
  ++m_TableVersion;
  Json Table = {{"version", m_TableVersion},
                {"routes", Json::array()},
                {"services", {{{"name", "s"}}}}};
  for (const RouteRow &Each : Routes)
    Table["routes"].push_back(
        routeOf(Each.m_Path, Each.m_Name, Each.m_TimeoutMs, Each.m_Resumable));
  Table["routes"].push_back(
      routeOf(tablePath(m_TableVersion), "idempotent", 2000, false));
  m_Store.put("op", "config", Table.dump());
  m_Ledger.tableChanged(m_TableVersion, m_Clock.fresh());
}

// ---- Load -------------------------------------------------------------------

void SoakFleet::callOnce() {
  std::vector<Place *> Open;
  for (Place &Each : m_Places)
    if (Each.m_TakesCalls)
      Open.push_back(&Each);
  if (Open.empty())
    return;
  Place &Where = *Open.at(m_Random() % Open.size());
  const std::string Id = "call-" + std::to_string(++m_LastCall);
  constexpr std::uint64_t TableProbeEvery = 8;
  const RouteRow &Route = Routes.at(m_Random() % Routes.size());
  Asked Call;
  Call.m_Kind = Route.m_Kind;
  Call.m_Gateway = Where.m_Number;
  Call.m_Lifetime = Where.m_Lifetime;
  Call.m_At = m_Clock.now();
  test::Call What;
  What.m_Path = Route.m_Path + Id;
  if (m_Random() % TableProbeEvery == 0) {
    // The newest table's route, or the one before that it took away.
    Call.m_TableVersion =
        std::max(1U, m_TableVersion - static_cast<unsigned>(m_Random() % 2));
    Call.m_Kind = Kind::Again;
    What.m_Path = tablePath(Call.m_TableVersion) + Id;
  }
  What.m_Where = Where.m_At.m_Listen;
  What.m_Body = "{}";
  What.m_KeepsOpen = m_Random() % 2 == 0;
  What.m_Limit = 6s;
  What.m_Headers = {
      {"Host", "h.example"}, {"X-Attempt-Id", Id}, {"X-Deadline-Ms", "5000"}};
  Call.m_Told = m_Callers.start(What);
  m_Ledger.asked(Id, std::move(Call));
}

/// The same request each time, at any gateway.
void SoakFleet::sendCrashing() {
  const auto Where =
      std::find_if(m_Places.begin(), m_Places.end(), [this](const Place &Each) {
        return Each.m_TakesCalls &&
               Each.m_Number == static_cast<int>(m_LastCall % m_Places.size());
      });
  if (Where == m_Places.end())
    return;
  const std::string Id = "crash-" + std::to_string(++m_LastCall);
  Asked Call;
  Call.m_Kind = Kind::Again;
  Call.m_Gateway = Where->m_Number;
  Call.m_Lifetime = Where->m_Lifetime;
  Call.m_At = m_Clock.now();
  Call.m_Crashing = true;
  Call.m_GatewayStart = Where->m_StartedAt;
  test::Call What;
  What.m_Path = "/again/crash";
  What.m_Where = Where->m_At.m_Listen;
  What.m_Body = CrashingBody;
  What.m_Limit = 6s;
  What.m_Headers = {
      {"Host", "h.example"}, {"X-Attempt-Id", Id}, {"X-Deadline-Ms", "5000"}};
  Call.m_Told = m_Callers.start(What);
  m_Ledger.asked(Id, std::move(Call));
}

void SoakFleet::crash(Seat &Which) {
  m_Ledger.crashed(m_Clock.now() + CrashedRowStays);
  takeDown(Which, CrashedRowStays, 2 * CrashedRowStays);
}

/// Its row stays for a while, as an engine's that went without a word.
void SoakFleet::takeDown(Seat &Which, Duration RowStays, Duration BackAfter) {
  const std::string Gone = Which.m_Upstream->name();
  Which.m_Upstream = nullptr;
  later(RowStays, [this, Gone] { m_Store.put("servers", Gone, ""); });
  later(BackAfter, [this, &Which] {
    if (Which.m_Upstream == nullptr)
      startUpstream(Which);
  });
}

void SoakFleet::reapAll() {
  for (Place &Each : m_Places) {
    if (Each.m_Process == nullptr || Each.m_Process->running())
      continue;
    Each.m_TakesCalls = false;
    Each.m_Process = nullptr;
    later(200ms, [this, &Each] { startGateway(Each); });
  }
}

void SoakFleet::later(Duration After, std::function<void()> Job) {
  m_Timers.after(After, std::move(Job));
}

/// The store and the operator live in the driver: while it doesn't run, on a
/// machine that is too busy, the store says nothing to anybody.
void SoakFleet::noteStall(TimePoint LastStep) {
  if (m_Clock.now() - LastStep > DriverSlack)
    m_Ledger.stalled(LastStep, m_Clock.now());
}

void SoakFleet::play(const std::vector<Fault> &Faults, Duration Span) {
  Duration Last = Span;
  for (const Fault &Each : Faults) {
    later(Each.m_At, [this, Each] { apply(Each); });
    Last = std::max(Last, Each.m_At + Each.m_Span);
  }
  Timer Load(m_Timers);
  Timer Probes(m_Timers);
  TimePoint LastStep = m_Clock.now();
  std::function<void()> LoadOn = [&] {
    Load.start(LoadStep, LoadOn);
    noteStall(std::exchange(LastStep, m_Clock.now()));
    const double Expected = m_Plan.m_CallsPerSecond *
                            std::chrono::duration<double>(LoadStep).count();
    for (int I = 0; I < static_cast<int>(Expected); ++I)
      callOnce();
    m_Ledger.judge();
    reapAll();
  };
  // As the platform does: two misses take a gateway out, one answer brings it
  // back. Here a miss is enough.
  std::function<void()> ProbeOn = [&] {
    Probes.start(500ms, ProbeOn);
    for (Place &Each : m_Places) {
      test::Call Asked = readinessCall(Each.m_At);
      Asked.m_Limit = 400ms;
      const auto Told = m_Probe.start(Asked);
      later(450ms,
            [&Each, Told] { Each.m_TakesCalls = Told->m_Status == 200; });
    }
  };
  Timer Crashing(m_Timers);
  std::function<void()> CrashingOn = [&] {
    Crashing.start(CrashingEvery, CrashingOn);
    sendCrashing();
  };
  if (hasCrashingRequest(m_Plan.m_Seed))
    CrashingOn();
  LoadOn();
  ProbeOn();
  test::runFor(Last);
  const TimePoint Over = m_Clock.fresh();
  const bool Recovered = test::runUntil(
      [&] {
        // A call has a second and a half to end.
        const TimePoint To = m_Clock.fresh() - 1500ms;
        return To - RecoveryWindow > Over &&
               m_Ledger.servedShare(To - RecoveryWindow, To) > RecoveredShare;
      },
      RecoveryLimit + RecoveryWindow + 1500ms);
  m_Ledger.judgeRecovery(Recovered);
  Load.stop();
  Crashing.stop();
  test::runFor(6s - std::min<Duration>(4s, m_Clock.fresh() - Over));
  Probes.stop();
  test::runFor(500ms);
}

void SoakFleet::keepLogs() const {
  if (m_Plan.m_Keep.empty())
    return;
  std::filesystem::create_directories(m_Plan.m_Keep);
  for (const auto &Each : std::filesystem::directory_iterator(m_Folder.path()))
    std::filesystem::copy(Each.path(),
                          std::filesystem::path(m_Plan.m_Keep) /
                              Each.path().filename(),
                          std::filesystem::copy_options::overwrite_existing);
}

} // namespace crowstep::soak
