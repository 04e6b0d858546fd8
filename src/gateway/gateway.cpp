/// The gateway daemon.
#include "gateway/gateway.h"

#include "core/log.h"
#include "gateway/first_attempt.h"
#include "gateway/placement_report.h"
#include "http/refusal_answer.h"

#include <algorithm>
#include <string_view>

namespace crowstep::gateway {

namespace {

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpBadRequest = 400;
constexpr unsigned HttpWrongMethod = 405;
constexpr unsigned HttpTooLarge = 413;
constexpr unsigned HttpUnavailable = 503;
constexpr Duration StopCheckInterval = std::chrono::milliseconds(50);
constexpr Duration DrainLogInterval = std::chrono::seconds(1);
constexpr Duration ShedLogInterval = std::chrono::seconds(1);

/// Retry-After of an instance without a table; the caller's next attempt may
/// reach another instance.
constexpr Duration NoTableRetryAfter = std::chrono::milliseconds(500);

/// Retry-After of an instance that is about to end: another one serves.
constexpr Duration ElsewhereRetryAfter = std::chrono::milliseconds(50);

/// After SIGTERM new connections keep arriving until the platform has probed
/// readiness twice, a second apart, and longer if too few instances of the zone
/// are ready. For this time they are served as usual. Then this instance stops
/// listening: a caller whose connection is refused tries another instance at
/// once, while a request accepted later could be cut off by the end of the
/// grace period.
constexpr Duration OutOfRotation = std::chrono::milliseconds(2600);

/// The shutdown ends by itself this long before the process is killed, so that
/// requests cut off by it are logged.
constexpr Duration KillMargin = std::chrono::milliseconds(200);

/// Time within KillMargin for callers to read their refusals and to close: the
/// end of the process resets a connection with unread input, which can destroy
/// an unread answer.
constexpr Duration FinalLingerTime = std::chrono::milliseconds(100);

/// Limits where the table sets none, for headers and body to arrive and for
/// connections without a request.
constexpr Duration DefaultReceiveLimit = std::chrono::seconds(10);
constexpr Duration DefaultIdleLimit = std::chrono::seconds(60);

/// Room for the windows of all calls that an instance may carry, and for
/// requests with the longest bodies.
constexpr std::size_t RelayFrameBytes = 32U << 20U;

/// Digests that wait for a slow link are joined beyond this: at 10 Mbit/s it
/// takes a twentieth of a second.
constexpr std::size_t DigestQueueBytes = 64U << 10U;

/// Bounds on clients of the port for probes.
constexpr HttpLimits ProbeLimits = {.m_Connections = 64,
                                    .m_BodyBytes = MaxPlacementQueryBytes,
                                    .m_TotalBodyBytes =
                                        4 * MaxPlacementQueryBytes};

/// Refuses a query whose body could take much memory before it is read.
void checkQueryLength(SoupServerMessage *Message) {
  if (std::string_view(g_uri_get_path(soup_server_message_get_uri(Message))) !=
      PlacementPath)
    return;
  SoupMessageHeaders *Headers =
      soup_server_message_get_request_headers(Message);
  const bool IsChunked =
      soup_message_headers_get_encoding(Headers) == SOUP_ENCODING_CHUNKED;
  const bool IsTooLong = soup_message_headers_get_content_length(Headers) >
                         static_cast<goffset>(MaxPlacementQueryBytes);
  if (!IsChunked && !IsTooLong)
    return;
  soup_message_body_set_accumulate(
      soup_server_message_get_request_body(Message), FALSE);
  if (IsTooLong)
    respond(Message, HttpTooLarge, "application/json",
            writePlacementError("the query is too long"));
  else
    respond(Message, HttpBadRequest, "application/json",
            writePlacementError("the query has no Content-Length"));
}

ReceiveLimits arrivalLimits(const CallerLimits &Limits) {
  const auto OrDefault = [](Duration Value, Duration Default) {
    return Value > Duration::zero() ? Value : Default;
  };
  return {Limits.m_MaxBodyBytes, Limits.m_MaxHeaderBytes,
          OrDefault(Limits.m_HeaderTimeout, DefaultReceiveLimit),
          OrDefault(Limits.m_IdleTimeout, DefaultIdleLimit)};
}

PeerInstance selfOf(const GatewaySettings &Config) {
  return {Config.m_Name, Config.m_LinkAddress, Config.m_Zone, Config.m_Weight,
          Config.m_RelayAddress};
}

/// Counts \p Engines of a service by zone and kind.
duty::ServiceCapacity
countEngines(const std::string &Service, const Scaling &Config,
             const std::vector<const Upstream *> &Engines) {
  std::map<AvailabilityZone, duty::ZoneCapacity> Zones;
  for (const auto &[Zone, Price] : Config.m_Prices)
    Zones[Zone] = {Zone, Price, 0, 0};
  for (const Upstream *Engine : Engines) {
    duty::ZoneCapacity &At = Zones[Engine->m_Zone];
    At.m_Zone = Engine->m_Zone;
    ++(Engine->m_Spot ? At.m_Spot : At.m_Regular);
  }
  duty::ServiceCapacity Result;
  Result.m_Service = Service;
  Result.m_Limits = Config.m_Limits;
  for (const auto &[Zone, Counted] : Zones)
    Result.m_Zones.push_back(Counted);
  return Result;
}

} // namespace

Gateway::UsageParts::UsageParts(const duty::UsageSource &Self,
                                const duty::UsageSettings &Config,
                                const WallClock &Wall, const Clock &Steady,
                                Metrics &Stats)
    : m_Time(Wall, Steady), m_Meter(Self, Config.m_Window, m_Time),
      m_Exchange(m_Meter, m_Time, Wall, Stats) {}

Gateway::Gateway(GatewaySettings Config, const PlatformPartsFactory &MakeParts)
    : m_Settings(std::move(Config)),
      m_Incarnation(static_cast<std::uint64_t>(g_get_real_time())),
      m_Stats(m_Metrics), m_Random(std::random_device{}()),
      m_Balancer(m_Settings.m_Zone, m_Random()),
      m_Budget(m_Settings.m_RetryBudget), m_WaitQueue(m_Timers),
      m_WaitPolicy(m_Settings.m_WaitsByPrediction
                       ? std::make_unique<waiting::WaitPolicy>(
                             m_Balancer.speeds(), m_Balancer.backlog())
                       : nullptr),
      m_BrokenAnswers(m_Metrics),
      m_Upstream(m_Clock, m_Timers, m_Settings.m_SourceAddress,
                 &m_BrokenAnswers),
      m_CrashWatch(m_Clock, m_Timers, m_Balancer, m_Upstream, m_Metrics),
      m_PlatformParts(MakeParts(m_Clock, m_Timers, m_Metrics)),
      m_Usage(makeUsageParts()), m_Duties(makeDutyHolder()),
      m_SoftwareRegister(
          m_SoftwareHistory, *m_PlatformParts.m_Directory, m_Clock, m_Timers,
          [this] { return std::uniform_real_distribution<>()(m_Random); },
          m_Metrics,
          {[this](const std::set<UpstreamId> &Held) {
             m_Balancer.setHeldBack(Held);
           },
           [this](const std::set<std::string> &Services) {
             if (m_OriginArchive != nullptr)
               m_OriginArchive->setMixedServices(Services);
           }}),
      m_OriginArchive(m_PlatformParts.m_Tables == nullptr
                          ? nullptr
                          : std::make_unique<resume::OriginArchive>(
                                m_Settings.m_Name, *m_PlatformParts.m_Tables,
                                m_Clock, m_Timers, m_Metrics)),
      m_Origins(instanceIdOf(m_Settings.m_Name), m_Settings.m_Zone, m_Clock,
                m_Timers, m_Metrics),
      m_Exchange(
          selfOf(m_Settings),
          [this](const std::string &Key, link::LinkListener &Listener) {
            return openLinks(Key, Listener);
          },
          m_Clock, m_Timers, m_Balancer, m_Metrics,
          [this](const DirectoryUpdate &Update) {
            m_PlatformParts.m_Directory->receiveUpdate(Update);
          },
          m_Usage == nullptr ? nullptr : &m_Usage->m_Exchange, &m_Origins),
      m_CallRelay(makeCallRelay()),
      m_Context{
          m_Clock,
          m_Timers,
          m_Balancer,
          m_Budget,
          m_CallRelay->transport(),
          m_CrashWatch,
          m_Origins,
          m_SoftwareHistory,
          *m_PlatformParts.m_Codec,
          m_Stats,
          m_WaitQueue,
          m_AnswerMemory,
          [this] { return std::uniform_real_distribution<>()(m_Random); },
          [this] { return m_ClosingConnections; },
          m_Usage == nullptr ? nullptr : &m_Usage->m_Meter,
          [this](const std::string &Service) {
            m_SoftwareRegister.recordUnproven(Service);
          },
          [this] { return m_PlatformParts.m_Directory->isRegisterCurrent(); },
          [this](const Directory::ConfirmCallback &OnDone) {
            m_PlatformParts.m_Directory->confirmSoftware(OnDone);
          },
          m_WaitPolicy.get()},
      m_Explainer(m_Context), m_LoopLoad(m_Clock), m_Admission(m_LoopLoad),
      m_Front(
          arrivalLimits({}),
          [this](RefusalReason Reason) { m_Stats.countRefusal(Reason); },
          m_Timers),
      m_SpeedReport(m_Clock, m_Timers, m_Balancer, m_Metrics),
      m_CleanupTimer(m_Timers), m_StopTimer(m_Timers) {
  m_Balancer.setReportsWaiting(m_WaitPolicy != nullptr);
  m_AnswerMemory.countUnread(m_Front.unreadBytes());
  if (m_OriginArchive != nullptr)
    m_Origins.setArchive(*m_OriginArchive);
}

Gateway::~Gateway() = default;

std::unique_ptr<Gateway::UsageParts> Gateway::makeUsageParts() {
  if (!m_Settings.m_Duties || !m_Settings.m_Duties->m_Usage)
    return nullptr;
  return std::make_unique<UsageParts>(
      duty::UsageSource{instanceIdOf(m_Settings.m_Name), m_Incarnation},
      *m_Settings.m_Duties->m_Usage, m_WallClock, m_LeaseClock, m_Metrics);
}

std::unique_ptr<duty::DutyHolder> Gateway::makeDutyHolder() {
  if (!m_Settings.m_Duties)
    return nullptr;
  return std::make_unique<duty::DutyHolder>(
      *m_Settings.m_Duties,
      duty::UsageSource{instanceIdOf(m_Settings.m_Name), m_Incarnation},
      m_Settings.m_Name, m_LeaseClock, m_Timers, *m_PlatformParts.m_Tables,
      *m_PlatformParts.m_DutyPlatform,
      m_Usage == nullptr ? nullptr : &m_Usage->m_Meter,
      [this] { return capacityView(); }, m_Metrics);
}

std::unique_ptr<relay::CallRelay> Gateway::makeCallRelay() {
  const auto LinksAt = [this](const Address &Listen) {
    return
        [this, Listen](const std::string &Key, link::LinkListener &Listener) {
          return openRelayLinks(Key, Listen, Listener);
        };
  };
  return std::make_unique<relay::CallRelay>(
      selfOf(m_Settings),
      relay::CallRelayContext{m_Clock, m_Timers, m_Metrics, m_Balancer,
                              m_Upstream, m_Upstream, m_CrashWatch,
                              *m_PlatformParts.m_Codec},
      LinksAt(Address()), LinksAt(m_Settings.m_RelayAddress), m_Random());
}

std::vector<duty::ServiceCapacity> Gateway::capacityView() const {
  if (m_Table == nullptr)
    return {};
  std::vector<duty::ServiceCapacity> Result;
  for (const Service &Entry : m_Table->data().m_Services) {
    if (!Entry.m_Scaling)
      continue;
    Result.push_back(countEngines(Entry.m_Name, *Entry.m_Scaling,
                                  m_Balancer.stayingUpstreams(Entry.m_Name)));
    Result.back().m_BusyEngines =
        m_Balancer.busyEngines(Entry.m_Name, m_Clock.now());
  }
  return Result;
}

void Gateway::start() {
  m_Balancer.speeds().setMode(m_Settings.m_LearnSpeed);
  m_SpeedReport.start();
  m_CrashWatch.start(*m_PlatformParts.m_Directory);
  m_PlatformParts.m_Directory->start(*this, selfOf(m_Settings));
  m_ProbeServer.setLimits(ProbeLimits, m_Metrics);
  m_ProbeServer.listen(m_Settings.m_ProbeAddress,
                       [this](SoupServerMessage *Message, const char *Path) {
                         handleProbe(Message, Path);
                       });
  m_ProbeServer.onHeaders(checkQueryLength);
  applyMemory();
  m_Admission.setDescriptors(m_Settings.m_Descriptors);
  m_Front.setAdmission(m_Admission,
                       [this](ShedReason Reason) { handleShed(Reason); });
  m_Front.listen(m_Settings.m_ListenAddress,
                 [this](IncomingRequest Request, std::unique_ptr<Caller> From) {
                   handle(std::move(Request), std::move(From));
                 });
}

void Gateway::applyMemory() {
  const MemoryPlan Plan = planMemory(usableMemory(m_Settings.m_MemoryBytes));
  m_Front.setMemory(Plan);
  m_AnswerMemory.setMaxBytes(Plan.m_Answers);
}

void Gateway::reload(Settings &File) {
  m_Settings = readGatewaySettings(File);
  applyMemory();
  m_Budget.setBound(m_Settings.m_RetryBudget);
  m_Admission.setDescriptors(m_Settings.m_Descriptors);
  m_Balancer.speeds().setMode(m_Settings.m_LearnSpeed);
}

// ---- Directory --------------------------------------------------------------

void Gateway::tableChanged(RouteTablePtr Table) {
  m_Table = std::move(Table);
  m_Front.setLimits(arrivalLimits(m_Table->data().m_Limits));
  for (const Service &Entry : m_Table->data().m_Services)
    m_Balancer.setCacheCapacity(Entry.m_Name, Entry.m_CacheTokens);
  m_Balancer.setMinPauses(minPausesByService(m_Table->data()));
  m_CallRelay->setTable(m_Table);
  m_SoftwareRegister.setServices(resumableServices(m_Table->data()));
  m_Metrics.gauge("crowstep_table_version")
      .set(static_cast<double>(m_Table->version().value()));
}

void Gateway::upstreamsChanged(const std::vector<Upstream> &List) {
  m_UpstreamsKnown = true;
  m_CrashWatch.upstreamsChanged(List);
  m_Balancer.setUpstreams(List);
  m_SoftwareRegister.setUpstreams(List);
  m_CallRelay->setUpstreams(List);
}

void Gateway::quarantineChanged(const std::set<ContentHash> &Listed) {
  m_CrashWatch.quarantineChanged(Listed);
}

link::LinkConfig Gateway::linkConfig(const std::string &Key,
                                     const Address &Listen) const {
  link::LinkConfig Result;
  Result.m_Role = wire::Role::Gateway;
  Result.m_Name = m_Settings.m_Name;
  Result.m_Incarnation = m_Incarnation;
  Result.m_Zone = m_Settings.m_Zone;
  Result.m_Listen = Listen;
  Result.m_Key = Key;
  return Result;
}

std::unique_ptr<link::Links> Gateway::startLinks(const link::LinkConfig &Config,
                                                 link::LinkListener &Listener) {
  auto Result =
      std::make_unique<link::TcpLinks>(Config, m_Timers, m_Metrics, Listener);
  Result->start();
  return Result;
}

std::unique_ptr<link::Links> Gateway::openLinks(const std::string &Key,
                                                link::LinkListener &Listener) {
  link::LinkConfig Config = linkConfig(Key, m_Settings.m_LinkAddress);
  Config.m_HoldAboveBytes = DigestQueueBytes;
  return startLinks(Config, Listener);
}

/// Calls are never sent on the links for digests, so that no answer delays
/// them.
std::unique_ptr<link::Links>
Gateway::openRelayLinks(const std::string &Key, const Address &Listen,
                        link::LinkListener &Listener) {
  link::LinkConfig Config = linkConfig(Key, Listen);
  Config.m_Purpose = Listen == Address() ? "relayed" : "carried";
  Config.m_MaxFrameBytes = RelayFrameBytes;
  Config.m_MaxQueuedBytes = RelayFrameBytes;
  return startLinks(Config, Listener);
}

void Gateway::peersChanged(const PeerList &List) {
  m_Budget.setInstances(List.m_Instances.size(), m_Clock.now());
  std::vector<InstanceId> Ids;
  for (const PeerInstance &Peer : List.m_Instances)
    Ids.push_back(instanceIdOf(Peer.m_Name));
  m_Balancer.setInstances(instanceIdOf(m_Settings.m_Name), std::move(Ids),
                          m_Clock.now());
  m_Exchange.setPeers(List);
  m_CallRelay->setPeers(List);
  if (m_Duties != nullptr)
    m_Duties->setCandidate(m_Exchange.isDutyCandidate());
  const ReadingRole Role = m_Exchange.readingRole();
  m_SoftwareRegister.setRole(Role, m_Exchange.isFirstReader());
  if (Role == m_ReadingRole)
    return;
  m_ReadingRole = Role;
  logEvent(LogEvent::GatewayReadingRole,
           {{"role", std::string(nameOf(Role))},
            {"instances", std::to_string(List.m_Instances.size())}});
  m_PlatformParts.m_Directory->setReadingRole(Role);
}

void Gateway::softwareRegistered(const ServiceVersions &Registered) {
  m_SoftwareRegister.setRegister(Registered);
}

void Gateway::updateRead(const DirectoryUpdate &Update) {
  m_Exchange.sendUpdate(Update);
}

bool Gateway::isReady() const {
  return !m_Stopping && m_Table != nullptr && m_UpstreamsKnown;
}

void Gateway::handleProbe(SoupServerMessage *Message, const char *Path) {
  if (Path == m_Settings.m_ReadinessPath) {
    const bool Ready = isReady();
    respond(Message, Ready ? HttpOk : HttpUnavailable, "text/plain",
            Ready ? "ok\n" : "unavailable\n");
    return;
  }
  if (std::string_view(Path) == "/metrics") {
    m_Metrics.gauge("crowstep_requests_waiting")
        .set(static_cast<double>(m_WaitQueue.size()));
    m_Metrics.gauge("crowstep_backlog_calls")
        .set(m_Balancer.backlog().totalWaiting(m_Clock.now()));
    m_Metrics.gauge("crowstep_requests_open")
        .set(static_cast<double>(m_Requests.size()));
    m_Metrics.gauge("crowstep_caller_connections")
        .set(static_cast<double>(m_Front.connections()));
    m_Metrics.gauge("crowstep_unread_bytes")
        .set(static_cast<double>(m_Front.unreadBytes().usedBytes()));
    m_Metrics.gauge("crowstep_received_bytes")
        .set(static_cast<double>(m_Front.receivedBytes().usedBytes()));
    m_Metrics.gauge("crowstep_loop_busy_share").set(m_LoopLoad.busyShare());
    respond(Message, HttpOk, "text/plain; version=0.0.4", m_Metrics.text());
    return;
  }
  if (std::string_view(Path) == PlacementPath) {
    handlePlacementQuery(Message);
    return;
  }
  fillAnswer(Message, refusalAnswer(RefusalReason::UnknownPath,
                                    RunState::NotRun, Duration::zero()));
}

void Gateway::handlePlacementQuery(SoupServerMessage *Message) {
  if (std::string_view(soup_server_message_get_method(Message)) != "POST") {
    respond(Message, HttpWrongMethod, "application/json",
            writePlacementError("the method must be POST"));
    return;
  }
  const auto Query = readPlacementQuery(requestBody(Message));
  if (const auto *Wrong = std::get_if<std::string>(&Query)) {
    respond(Message, HttpBadRequest, "application/json",
            writePlacementError(*Wrong));
    return;
  }
  const RequestExplanation Explained =
      m_Explainer.explain(std::get<IncomingRequest>(Query), m_Table);
  logEvent(
      LogEvent::PlacementExplained,
      {{"request", Explained.m_Id},
       {"route", Explained.m_Route},
       {"outcome", Explained.m_Reason ? std::string(nameOf(*Explained.m_Reason))
                                      : "admitted"}});
  const auto ReadAt = m_PlatformParts.m_Directory->upstreamsReadAt();
  respond(Message, HttpOk, "application/json",
          writePlacementReport(Explained,
                               ReadAt ? std::optional(m_Clock.now() - *ReadAt)
                                      : std::nullopt));
}

// ---- Requests ---------------------------------------------------------------

void Gateway::handle(IncomingRequest Request, std::unique_ptr<Caller> From) {
  auto Outcome = admit(Request, m_Table, *m_PlatformParts.m_Codec);
  if (const auto *Refused = std::get_if<RefusedRequest>(&Outcome)) {
    refuse(*From, *Refused, NoTableRetryAfter);
    return;
  }
  const auto &Admitted = std::get<AdmittedRequest>(Outcome);
  if (mayOutlastStop(Admitted)) {
    refuse(*From, {RefusalReason::ShuttingDown, Admitted.m_Facts.m_Id},
           ElsewhereRetryAfter);
    return;
  }
  const std::uint64_t Number = ++m_LastRequestNumber;
  auto Forwarded = std::make_unique<ForwardedRequest>(
      m_Context, std::move(Request),
      std::move(std::get<AdmittedRequest>(Outcome)), std::move(From),
      [this, Number] { handleRequestEnd(Number); });
  ForwardedRequest &Started = *Forwarded;
  m_Requests.emplace(Number, std::move(Forwarded));
  Started.start();
}

/// While connections are accepted, callers don't know of the stop, and most
/// requests end in time. Later ones come on connections that were opened
/// before; a caller that is refused there tries another instance.
bool Gateway::mayOutlastStop(const AdmittedRequest &Admitted) const {
  return m_StopLimit && isOutOfRotation() &&
         m_Clock.now() + timeoutOf(Admitted) > *m_StopLimit;
}

void Gateway::refuse(Caller &From, const RefusedRequest &Refused,
                     Duration RetryAfter) {
  m_Stats.countRefusal(Refused.m_Reason);
  logEvent(LogEvent::GatewayNotAdmitted,
           {{"request", Refused.m_Id},
            {"reason", std::string(nameOf(Refused.m_Reason))}});
  CallerAnswer Answer =
      refusalAnswer(Refused.m_Reason, RunState::NotRun, Duration::zero());
  Answer.m_Headers = m_PlatformParts.m_Codec->writeRefusal(
      Refused.m_Id, httpStatusOf(Refused.m_Reason) == HttpUnavailable
                        ? RetryAfter
                        : Duration::zero());
  if (m_ClosingConnections)
    Answer.m_Headers.push_back({"Connection", "close"});
  From.answer(Answer);
}

void Gateway::handleShed(ShedReason Reason) {
  m_Stats.countShed(Reason);
  ++m_ShedSinceLog;
  if (m_Clock.now() - m_ShedLoggedAt < ShedLogInterval)
    return;
  m_ShedLoggedAt = m_Clock.now();
  logEvent(LogEvent::GatewayConnectionsShed,
           {{"reason", std::string(nameOf(Reason))},
            {"count", std::to_string(std::exchange(m_ShedSinceLog, 0))},
            {"busy_share", std::to_string(m_LoopLoad.busyShare())},
            {"open", std::to_string(m_Front.connections())}});
}

void Gateway::handleRequestEnd(std::uint64_t Number) {
  auto Node = m_Requests.extract(Number);
  m_EndedRequests.push_back(std::move(Node.mapped()));
  if (!m_CleanupTimer.isRunning())
    // The request is on the call stack here.
    m_CleanupTimer.start(Duration::zero(), [this] {
      const auto Destroyed = std::move(m_EndedRequests);
      m_EndedRequests.clear();
    });
}

// ---- Shutdown ---------------------------------------------------------------

void Gateway::stop(std::function<void()> Done) {
  m_Stopping = true;
  m_ClosingConnections = true;
  m_StopBeganAt = m_Clock.now();
  // The platform counts by the settings at the signal.
  if (m_Settings.m_GracePeriod > KillMargin)
    m_StopLimit = m_StopBeganAt + m_Settings.m_GracePeriod - KillMargin;
  m_OnStopped = std::move(Done);
  m_Exchange.stop();
  m_PlatformParts.m_Directory->deregister();
  m_CallRelay->stop();
  m_Origins.stop();
  if (m_Duties != nullptr)
    m_Duties->stop();
  checkStopped();
}

/// Each request leaves m_Requests within its call.
void Gateway::cutRequests() {
  std::vector<ForwardedRequest *> Open;
  Open.reserve(m_Requests.size());
  for (const auto &[Number, Owned] : m_Requests)
    Open.push_back(Owned.get());
  for (ForwardedRequest *Request : Open)
    Request->cut(ElsewhereRetryAfter);
}

/// The usage and the crashes of the last digest interval are known here only.
void Gateway::endStop() {
  m_Exchange.flush();
  m_OnStopped();
}

bool Gateway::isOutOfRotation() const {
  return m_Stopping && m_Clock.now() - m_StopBeganAt >= OutOfRotation;
}

void Gateway::checkStopped() {
  if (isOutOfRotation()) {
    m_Front.stopListening();
    m_Front.closeIdleConnections();
    if (m_Requests.empty() && m_Front.openRequests() == 0 &&
        m_Front.lingeringConnections() == 0 &&
        m_CallRelay->carriedCalls() == 0) {
      logEvent(LogEvent::GatewayDrained);
      endStop();
      return;
    }
  }
  if (m_StopLimit && m_Clock.now() >= *m_StopLimit) {
    m_Front.stopListening();
    m_Front.writeFinishedAnswers();
    logEvent(LogEvent::GatewayCut,
             {{"requests", std::to_string(m_Requests.size())},
              {"open", std::to_string(m_Front.openRequests())},
              {"lingering", std::to_string(m_Front.lingeringConnections())}});
    cutRequests();
    m_StopTimer.start(FinalLingerTime, [this] { endStop(); });
    return;
  }
  if (m_Clock.now() - m_DrainLoggedAt >= DrainLogInterval) {
    m_DrainLoggedAt = m_Clock.now();
    logEvent(LogEvent::GatewayDraining,
             {{"requests", std::to_string(m_Requests.size())},
              {"unfinished", std::to_string(m_Front.unansweredRequests())},
              {"open", std::to_string(m_Front.openRequests())},
              {"lingering", std::to_string(m_Front.lingeringConnections())},
              {"carried", std::to_string(m_CallRelay->carriedCalls())}});
  }
  const Duration NextCheck =
      m_StopLimit ? std::min(StopCheckInterval, *m_StopLimit - m_Clock.now())
                  : StopCheckInterval;
  m_StopTimer.start(NextCheck, [this] { checkStopped(); });
}

} // namespace crowstep::gateway
