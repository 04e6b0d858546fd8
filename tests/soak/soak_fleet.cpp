/// The fleet, its load and its readiness probes.
#include "soak/soak_fleet.h"

#include "core/error.h"

#include <arpa/inet.h>
#include <filesystem>
#include <sstream>
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

/// Callers take up a broken stream within this time.
constexpr Duration MaxResumeDelay = 300ms;

/// Upstreams run one of so many software versions.
constexpr int VersionCount = 2;

/// Beyond ContactBound, the others know a gateway that has started.
constexpr Duration ListingTime = 2s;

/// Addresses of the gateways and of the upstreams, each a machine of its own.
constexpr std::uint32_t GatewayNet = INADDR_LOOPBACK + 1;
constexpr std::uint32_t UpstreamNet = INADDR_LOOPBACK + 0x100;

/// A usage report is due this long after its window; a successor needs some
/// seconds for the lease and its own reports.
constexpr std::chrono::seconds UsageDue = 5s;
constexpr Duration DutyRecoveryLimit = 15s;

/// Interval of the crashing request, time from its start at an upstream to the
/// crash, and time that the crashed upstream's row stays in the store.
constexpr Duration CrashingInterval = 300ms;
constexpr Duration CrashTime = 30ms;
constexpr Duration CrashedRowTime = 500ms;

/// Crashes from which the runs of requests with the crashing segment are
/// bounded.
constexpr std::size_t CrashesOfSegment = 5;

/// One in this many new connections goes elsewhere than to the favored gateway.
constexpr std::uint64_t OtherConnectionEvery = 10;

/// Operators and upstreams write their rows again this long after the store has
/// come back from an older copy.
constexpr Duration RewriteTime = 300ms;

/// Callers around a stop have ended by then.
constexpr Duration StopCallersTime = 12s;

/// Tolerance for delays of the driver, which checks by its own clock and shares
/// the machine with the processes under test.
constexpr std::chrono::milliseconds DriverSlack{500};

/// The routes in every table; each table has one more of its own.
struct RouteRow {
  RequestKind m_Kind; ///< For the checks.
  const char *m_Path; ///< Prefix of paths.
  const char *m_Name; ///< The table's routeKind.
  int m_TimeoutMs;    ///< Time-out of a request.
  bool m_Resumable;   ///< Streams only.
};
constexpr std::array Routes = {
    RouteRow{RequestKind::AtMostOnce, "/once/", "non_idempotent", 2000, false},
    RouteRow{RequestKind::Idempotent, "/again/", "idempotent", 2000, false},
    RouteRow{RequestKind::Stream, "/stream/", "streaming", 4000, false},
    RouteRow{RequestKind::ResumableStream, "/restream/", "streaming", 4000,
             true},
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
      m_Duties(m_Clock, test::GatewayConfig().m_LeaseTime),
      m_StoreAddress(loopback(test::freePort())),
      m_StopCallers(Plan.m_Seed, m_Ledger, m_Clock, m_Timers),
      m_PlannedWorkOnly(isPlannedWorkOnly(Plan.m_Seed)) {
  if (hasCrashingSegment(Plan.m_Seed))
    m_Ledger.setCrashesBeforeHold(CrashesOfSegment);
  m_Store.listen(m_StoreAddress);
  const Address DutyAddress = loopback(test::freePort());
  m_Duties.listen(DutyAddress);
  putTable();
  // Elements must not move: upstreams' callbacks refer to them.
  m_Upstreams.reserve(static_cast<std::size_t>(Plan.m_UpstreamCount));
  for (int I = 0; I < Plan.m_UpstreamCount; ++I) {
    UpstreamNode Upstream;
    Upstream.m_Number = I;
    Upstream.m_ListenAddress = loopback(test::freePort());
    Upstream.m_Relay = std::make_unique<test::Relay>(
        Upstream.m_ListenAddress, UpstreamNet + static_cast<std::uint32_t>(I));
    m_Upstreams.push_back(std::move(Upstream));
    startUpstream(m_Upstreams.back());
  }
  for (int I = 0; I < Plan.m_GatewayCount; ++I) {
    GatewayNode Gateway;
    Gateway.m_Number = I;
    Gateway.m_StoreRelay = std::make_unique<test::Relay>(m_StoreAddress);
    Gateway.m_Settings = test::makeGatewayConfig(
        "gateway-" + std::to_string(I), Gateway.m_StoreRelay->address());
    Gateway.m_Settings.m_SourceAddress = {
        GatewayNet + static_cast<std::uint32_t>(I), 0};
    Gateway.m_Settings.m_DutyAddress = DutyAddress;
    Gateway.m_Settings.m_UsageDue = UsageDue;
    Gateway.m_Settings.m_DrainTime = DrainBound;
    Gateway.m_Settings.m_SettleTime = SettleBound - DriverSlack;
    Gateway.m_Settings.m_RetryBudget = {RetryRatio, RetrySlack, RetryWindow};
    m_Gateways.push_back(std::move(Gateway));
  }
}

SoakFleet::~SoakFleet() = default;

void SoakFleet::startGateway(GatewayNode &Gateway) {
  ++Gateway.m_Incarnation;
  Gateway.m_Stopping = false;
  Gateway.m_Frozen = false;
  Gateway.m_StartedAt = m_Clock.now();
  m_Ledger.recordGatewayFault(Gateway.m_Number, m_Clock.now(),
                              m_Clock.now() + ListingTime);
  Gateway.m_Process = std::make_unique<test::Process>(
      m_Folder, "crowstep-gateway", Gateway.m_Settings.m_Name,
      gatewaySettingsText(Gateway.m_Settings));
}

bool SoakFleet::start() {
  for (GatewayNode &Gateway : m_Gateways)
    startGateway(Gateway);
  return test::runUntil(
      [this] {
        return std::all_of(
            m_Gateways.begin(), m_Gateways.end(),
            [this](GatewayNode &Gateway) { return probeReadiness(Gateway); });
      },
      15s);
}

/// Probes readiness once, waits for the answer and returns whether the gateway
/// is ready.
bool SoakFleet::probeReadiness(GatewayNode &Gateway) {
  test::Call Probe = readinessCall(Gateway.m_Settings);
  Probe.m_Timeout = 500ms;
  Gateway.m_IsReady = m_ReadinessProbe.call(Probe).m_Status == 200;
  return Gateway.m_IsReady;
}

void SoakFleet::startUpstream(UpstreamNode &Upstream) {
  const auto Version = static_cast<int>(m_Random() % VersionCount);
  const std::string Name = "u-" + std::to_string(Upstream.m_Number) + "-" +
                           std::to_string(++Upstream.m_Incarnation) + ".v" +
                           std::to_string(Version);
  Upstream.m_Server = std::make_unique<SoakUpstream>(
      Name, Upstream.m_ListenAddress, m_Ledger, m_Clock, m_Random(),
      [this, &Upstream, Name] {
        runAfter(CrashTime, [this, &Upstream, Name] {
          if (Upstream.m_Server != nullptr && Upstream.m_Server->name() == Name)
            crashUpstream(Upstream);
        });
      });
  putUpstreamRow(Upstream, "ready");
}

void SoakFleet::putUpstreamRow(const UpstreamNode &Upstream,
                               const std::string &State) {
  const std::string &Name = Upstream.m_Server->name();
  const std::string Version = Upstream.m_Server->version();
  if (State == "ready")
    m_Ledger.recordListed(Version, 1, m_Clock.now());
  putServerRow(Name, State.empty()
                         ? ""
                         : test::upstreamRow(Upstream.m_Relay->address(), 64,
                                             State, Version));
}

void SoakFleet::putServerRow(const std::string &Name,
                             const std::string &Value) {
  m_ServerRows[Name] = Value;
  m_Store.put("servers", Name, Value);
}

/// The store comes back from its copy. What was written since is gone until it
/// is written again.
void SoakFleet::restoreStore() {
  m_Store.restoreCopy();
  m_Ledger.excuseStaleness(m_Clock.now(), m_Clock.now() + RewriteTime);
  runAfter(RewriteTime, [this] {
    m_Store.put("op", "config", m_Table);
    for (const auto &[Name, Value] : m_ServerRows)
      m_Store.put("servers", Name, Value);
  });
}

void SoakFleet::putTable() {
  ++m_TableVersion;
  Json Table = {{"version", m_TableVersion},
                {"routes", Json::array()},
                {"services", {{{"name", "s"}}}}};
  for (const RouteRow &Route : Routes)
    Table["routes"].push_back(routeJson(Route.m_Path, Route.m_Name,
                                        Route.m_TimeoutMs, Route.m_Resumable));
  if (!makeStopSchedule(m_Plan.m_Seed, 1s).empty())
    for (const StopRoute &Route : StopRoutes)
      Table["routes"].push_back(
          routeJson(Route.m_Path, Route.m_Name,
                    static_cast<int>(Route.m_TimeLimit.count()), false));
  Table["routes"].push_back(
      routeJson(tablePath(m_TableVersion), "idempotent", 2000, false));
  m_Table = Table.dump();
  m_Store.put("op", "config", m_Table);
  m_Ledger.recordTableChange(m_TableVersion, m_Clock.readNow());
}

// Load

SoakFleet::GatewayNode *SoakFleet::drawReadyGateway() {
  std::vector<GatewayNode *> Ready;
  for (GatewayNode &Gateway : m_Gateways)
    if (Gateway.m_IsReady)
      Ready.push_back(&Gateway);
  return Ready.empty() ? nullptr : Ready.at(m_Random() % Ready.size());
}

/// Returns the gateway that a new connection goes to, \p Drawn unless another
/// one gets most of them.
SoakFleet::GatewayNode &SoakFleet::gatewayOfNewConnection(GatewayNode &Drawn) {
  if (!m_Favored || !m_Gateways.at(*m_Favored).m_IsReady ||
      m_Random() % OtherConnectionEvery == 0)
    return Drawn;
  return m_Gateways.at(*m_Favored);
}

test::Call SoakFleet::makeCall(const GatewayNode &To, const std::string &Path,
                               const std::string &Id) {
  test::Call Result;
  Result.m_Path = Path;
  Result.m_Address = To.m_Settings.m_ListenAddress;
  Result.m_Body = "{}";
  Result.m_Timeout = 6s;
  Result.m_Headers = {
      {"Host", "h.example"}, {"X-Attempt-Id", Id}, {"X-Deadline-Ms", "5000"}};
  return Result;
}

void SoakFleet::sendRequest() {
  GatewayNode *Gateway = drawReadyGateway();
  if (Gateway == nullptr)
    return;
  const std::string Id = "call-" + std::to_string(++m_LastRequestNumber);
  constexpr std::uint64_t TableProbeEvery = 8;
  const RouteRow &Route = Routes.at(m_Random() % Routes.size());
  RequestRecord Record;
  Record.m_Kind = Route.m_Kind;
  std::string Path = Route.m_Path + Id;
  if (m_Random() % TableProbeEvery == 0) {
    // The newest table's own route, or the previous one's, which it removed.
    Record.m_TableVersion =
        std::max(1U, m_TableVersion - static_cast<unsigned>(m_Random() % 2));
    Record.m_Kind = RequestKind::Idempotent;
    Path = tablePath(Record.m_TableVersion) + Id;
  }
  const bool KeepsAlive = m_Random() % 2 == 0;
  if (!KeepsAlive)
    Gateway = &gatewayOfNewConnection(*Gateway);
  Record.m_Gateway = Gateway->m_Number;
  Record.m_Incarnation = Gateway->m_Incarnation;
  Record.m_SentAt = m_Clock.now();
  Record.m_GatewayStartedAt = Gateway->m_StartedAt;
  test::Call Request = makeCall(*Gateway, Path, Id);
  Request.m_KeepAlive = KeepsAlive;
  if (hasCrashingSegment(m_Plan.m_Seed))
    addSegments(Request, false);
  Record.m_Result = m_Caller.start(Request);
  if (Record.m_Kind == RequestKind::ResumableStream)
    m_OpenStreams[Id] = Record.m_Result;
  m_Ledger.recordRequest(Id, std::move(Record));
}

/// Lets callers take up the streams that have broken off.
void SoakFleet::resumeStreams() {
  for (auto Open = m_OpenStreams.begin(); Open != m_OpenStreams.end();) {
    if (!Open->second->m_Ended) {
      ++Open;
      continue;
    }
    const std::string Id = Open->first;
    Open = m_OpenStreams.erase(Open);
    if (m_Ledger.resumeAfter(Id) > 0)
      runAfter(Duration(m_Random() % MaxResumeDelay.count()),
               [this, Id] { resumeStream(Id); });
  }
}

/// The further attempt names the one that brought the first event.
void SoakFleet::resumeStream(const std::string &Id) {
  GatewayNode *Gateway = drawReadyGateway();
  if (Gateway == nullptr)
    return;
  const std::string Next = "call-" + std::to_string(++m_LastRequestNumber);
  RequestRecord Record;
  Record.m_Kind = RequestKind::ResumableStream;
  Record.m_Gateway = Gateway->m_Number;
  Record.m_Incarnation = Gateway->m_Incarnation;
  Record.m_SentAt = m_Clock.now();
  Record.m_LastEvent = m_Ledger.resumeAfter(Id);
  Record.m_Resumes = m_Ledger.firstAttemptOf(Id);
  test::Call Request = makeCall(*Gateway, "/restream/" + Id, Next);
  Request.m_Headers["Last-Event-Id"] = std::to_string(Record.m_LastEvent);
  Request.m_Headers["Resumes"] = Record.m_Resumes;
  Record.m_Result = m_Caller.start(Request);
  m_OpenStreams[Next] = Record.m_Result;
  m_Ledger.recordRequest(Next, std::move(Record));
}

/// Gives a request a prompt. Crashing ones share all segments with sound ones
/// but for one.
void SoakFleet::addSegments(test::Call &To, bool IsCrashing) {
  std::ostringstream Own;
  Own << std::hex << 0x1000 + m_LastRequestNumber;
  To.m_Headers["X-Prefix-Hash"] =
      "5a:200," + (IsCrashing ? CrashingSegment : "50" + Own.str()) + ":50," +
      Own.str() + ":100";
  To.m_Headers["X-Token-Usage"] = "350,50";
}

/// Sends the same request each time, or one with the crashing segment, to the
/// gateway that the number of requests so far selects; sends none while that
/// gateway isn't ready.
void SoakFleet::sendCrashingRequest() {
  const auto Target = std::find_if(
      m_Gateways.begin(), m_Gateways.end(), [this](const GatewayNode &Gateway) {
        return Gateway.m_IsReady &&
               Gateway.m_Number ==
                   static_cast<int>(m_LastRequestNumber % m_Gateways.size());
      });
  if (Target == m_Gateways.end())
    return;
  const std::string Id = "crash-" + std::to_string(++m_LastRequestNumber);
  RequestRecord Record;
  Record.m_Kind = RequestKind::Idempotent;
  Record.m_Gateway = Target->m_Number;
  Record.m_Incarnation = Target->m_Incarnation;
  Record.m_SentAt = m_Clock.now();
  Record.m_IsCrashing = true;
  Record.m_GatewayStartedAt = Target->m_StartedAt;
  test::Call Request = makeCall(*Target, "/again/crash", Id);
  if (hasCrashingSegment(m_Plan.m_Seed)) {
    Request.m_Path += "-" + Id; // No two are alike.
    addSegments(Request, true);
  } else {
    Request.m_Body = CrashingBody;
  }
  Record.m_Result = m_Caller.start(Request);
  m_Ledger.recordRequest(Id, std::move(Record));
}

void SoakFleet::crashUpstream(UpstreamNode &Upstream) {
  m_Ledger.recordCrash(m_Clock.now() + CrashedRowTime);
  stopUpstream(Upstream, CrashedRowTime, 2 * CrashedRowTime);
}

/// Stops an upstream without draining. Its row stays for a while, as that of an
/// engine that has crashed.
void SoakFleet::stopUpstream(UpstreamNode &Upstream, Duration RowTime,
                             Duration RestartTime) {
  const std::string Name = Upstream.m_Server->name();
  m_Ledger.recordListed(Upstream.m_Server->version(), -1, m_Clock.now());
  Upstream.m_Server = nullptr;
  runAfter(RowTime, [this, Name] { putServerRow(Name, ""); });
  runAfter(RestartTime, [this, &Upstream] {
    if (Upstream.m_Server == nullptr)
      startUpstream(Upstream);
  });
}

void SoakFleet::restartExitedGateways() {
  for (GatewayNode &Gateway : m_Gateways) {
    if (Gateway.m_Process == nullptr || Gateway.m_Process->isRunning())
      continue;
    Gateway.m_IsReady = false;
    Gateway.m_Process = nullptr;
    runAfter(200ms, [this, &Gateway] { startGateway(Gateway); });
  }
}

void SoakFleet::runAfter(Duration After, std::function<void()> Job) {
  m_Timers.runAfter(After, std::move(Job));
}

/// Ends a fault after \p Span, unless another one that makes the same property
/// of the same object faulty lasts longer.
void SoakFleet::endFaultAfter(Duration Span, const void *Target,
                              std::string_view Property,
                              std::function<void()> Job) {
  const std::pair Key(Target, Property);
  ++m_LastingFaults[Key];
  runAfter(Span, [this, Key, Job = std::move(Job)] {
    if (--m_LastingFaults.at(Key) == 0)
      Job();
  });
}

/// The store and the operator run in the driver's process: while that gets no
/// processor time on a busy machine, the store answers nobody.
void SoakFleet::recordStall(TimePoint LastStep) {
  if (m_Clock.now() - LastStep > DriverSlack)
    m_Ledger.recordDriverStall(LastStep, m_Clock.now());
}

void SoakFleet::play(const std::vector<Fault> &Faults, Duration Length) {
  Duration End = Length;
  const auto Schedule = [&](const auto &Some) {
    for (const auto &Played : Some) {
      runAfter(Played.m_Start, [this, Played] { apply(Played); });
      End = std::max(End, Played.m_Start + Played.m_Duration);
    }
  };
  Schedule(Faults);
  Schedule(makeDutySchedule(m_Plan.m_Seed, Length));
  Schedule(makeStatementSchedule(m_Plan.m_Seed, Length));
  Schedule(makePathCutSchedule(m_Plan.m_Seed, Length));
  playSpans(Length, End);
  Timer LoadTimer(m_Timers);
  Timer ProbeTimer(m_Timers);
  TimePoint LastStep = m_Clock.now();
  std::function<void()> SendLoad = [&] {
    LoadTimer.start(LoadStep, SendLoad);
    recordStall(std::exchange(LastStep, m_Clock.now()));
    const double Expected = m_Plan.m_RequestsPerSecond *
                            std::chrono::duration<double>(LoadStep).count();
    for (int I = 0; I < static_cast<int>(Expected); ++I)
      sendRequest();
    m_Ledger.checkEndedRequests();
    resumeStreams();
    restartExitedGateways();
  };
  // The platform removes a gateway after two failed probes and adds it again
  // after one answer. Here one failed probe is enough.
  std::function<void()> ProbeAll = [&] {
    ProbeTimer.start(500ms, ProbeAll);
    for (GatewayNode &Gateway : m_Gateways) {
      test::Call Probe = readinessCall(Gateway.m_Settings);
      Probe.m_Timeout = 400ms;
      const auto Result = m_ReadinessProbe.start(Probe);
      runAfter(450ms, [&Gateway, Result] {
        Gateway.m_IsReady = Result->m_Status == 200;
      });
    }
  };
  Timer CrashTimer(m_Timers);
  std::function<void()> SendCrashing = [&] {
    CrashTimer.start(CrashingInterval, SendCrashing);
    sendCrashingRequest();
  };
  if (hasCrashingRequest(m_Plan.m_Seed) || hasCrashingSegment(m_Plan.m_Seed))
    SendCrashing();
  SendLoad();
  ProbeAll();
  test::runFor(End);
  const TimePoint FaultsEnded = m_Clock.readNow();
  const bool Recovered = test::runUntil(
      [&] {
        // Requests get 1.5 s to end.
        const TimePoint To = m_Clock.readNow() - 1500ms;
        return To - RecoveryWindow > FaultsEnded &&
               m_Ledger.servedShare(To - RecoveryWindow, To) > RecoveredShare;
      },
      RecoveryLimit + RecoveryWindow + 1500ms);
  m_Ledger.checkRecovery(Recovered);
  LoadTimer.stop();
  CrashTimer.stop();
  test::runFor(6s - std::min<Duration>(4s, m_Clock.readNow() - FaultsEnded));
  checkDuties(FaultsEnded);
  test::runUntil([this] { return m_StopCallers.haveEnded(); }, StopCallersTime);
  ProbeTimer.stop();
  test::runFor(500ms);
}

void SoakFleet::playSpans(Duration Length, Duration &End) {
  for (const FleetSpan &Played : makeRestoreSchedule(m_Plan.m_Seed, Length)) {
    const Duration RestoredAt = Played.m_Start + Played.m_Duration;
    runAfter(Played.m_Start, [this] { m_Store.takeCopy(); });
    runAfter(RestoredAt, [this] { restoreStore(); });
    End = std::max(End, RestoredAt + RewriteTime);
  }
  for (const FleetSpan &Played : makeStopSchedule(m_Plan.m_Seed, Length))
    runAfter(Played.m_Start, [this, Played] { playStop(Played); });
  for (const FleetSpan &Played : makeUnevenSchedule(m_Plan.m_Seed, Length)) {
    runAfter(Played.m_Start, [this, Target = Played.m_Target] {
      m_Favored = Target % m_Gateways.size();
    });
    runAfter(Played.m_Start + Played.m_Duration, [this] { m_Favored.reset(); });
    End = std::max(End, Played.m_Start + Played.m_Duration);
  }
}

/// No rule of the duties may have been broken, and reports must be made again
/// after the faults.
void SoakFleet::checkDuties(TimePoint FaultsEnded) {
  const auto ReportArrived = [&] {
    return std::ranges::any_of(
        m_Duties.record().reports(), [&](const auto &Entry) {
          return Entry.second.second > FaultsEnded + UsageDue;
        });
  };
  const bool Resumed = test::runUntil(ReportArrived, DutyRecoveryLimit);
  m_Ledger.checkDuties(m_Duties.record().firstViolation(), Resumed);
}

void SoakFleet::copyLogs() const {
  if (m_Plan.m_LogFolder.empty())
    return;
  std::filesystem::create_directories(m_Plan.m_LogFolder);
  for (const auto &File : std::filesystem::directory_iterator(m_Folder.path()))
    std::filesystem::copy(File.path(),
                          std::filesystem::path(m_Plan.m_LogFolder) /
                              File.path().filename(),
                          std::filesystem::copy_options::overwrite_existing);
}

} // namespace crowstep::soak
