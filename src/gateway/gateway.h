/// The gateway daemon: one process that forwards requests by a route table.
///
/// It decides by itself, from the directory, the results of its own calls and
/// the digests of other instances; see docs/PLATFORM.md for what that leaves to
/// the platform.
#ifndef CROWSTEP_GATEWAY_GATEWAY_H
#define CROWSTEP_GATEWAY_GATEWAY_H

#include "core/http_server.h"
#include "core/program.h"
#include "duty/duty_holder.h"
#include "gateway/digest_exchange.h"
#include "gateway/directory.h"
#include "gateway/forwarded_request.h"
#include "gateway/gateway_settings.h"
#include "gateway/placement_explainer.h"
#include "gateway/software_register.h"
#include "gateway/speed_report.h"
#include "http/frontend.h"
#include "link/link_tcp.h"
#include "relay/call_relay.h"

#include <random>
#include <unordered_map>

namespace crowstep::gateway {

class Gateway final : public Daemon, private DirectoryListener {
public:
  /// The parts that depend on the platform: where the table and the upstreams
  /// come from, and how headers are spelled.
  struct PlatformParts {
    std::unique_ptr<Directory> m_Directory; ///< Never null.
    std::unique_ptr<HeaderCodec> m_Codec;   ///< Never null.
    std::unique_ptr<platform::TableService>
        m_Tables; ///< Null: there are no duties, and no origins are archived.
    std::unique_ptr<duty::DutyPlatform>
        m_DutyPlatform; ///< Null only without duties.
  };

  /// Creates the parts; the clock, timers and metrics outlive them.
  using PlatformPartsFactory =
      std::function<PlatformParts(const Clock &, Scheduler &, Metrics &)>;

  Gateway(GatewaySettings Config, const PlatformPartsFactory &MakeParts);
  ~Gateway() override;
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  void start() override;
  void stop(std::function<void()> Done) override;
  void reload(Settings &File) override;

private:
  /// What counting and reporting usage takes.
  struct UsageParts {
    UsageParts(const duty::UsageSource &Self, const duty::UsageSettings &Config,
               const WallClock &Wall, const Clock &Steady, Metrics &Stats);

    duty::MajorityClock m_Time; ///< Calendar time.
    duty::UsageMeter m_Meter;   ///< Counts the requests.
    UsageExchange m_Exchange;   ///< With other instances.
  };

  void tableChanged(RouteTablePtr Table) override;
  void upstreamsChanged(const std::vector<Upstream> &List) override;
  std::unique_ptr<UsageParts> makeUsageParts();
  std::unique_ptr<duty::DutyHolder> makeDutyHolder();
  [[nodiscard]] std::vector<duty::ServiceCapacity> capacityView() const;
  [[nodiscard]] link::LinkConfig linkConfig(const std::string &Key,
                                            const Address &Listen) const;
  std::unique_ptr<link::Links> startLinks(const link::LinkConfig &Config,
                                          link::LinkListener &Listener);
  std::unique_ptr<link::Links> openLinks(const std::string &Key,
                                         link::LinkListener &Listener);
  std::unique_ptr<link::Links> openRelayLinks(const std::string &Key,
                                              const Address &Listen,
                                              link::LinkListener &Listener);
  std::unique_ptr<relay::CallRelay> makeCallRelay();
  void peersChanged(const PeerList &List) override;
  void quarantineChanged(const std::set<ContentHash> &Listed) override;
  void softwareRegistered(const ServiceVersions &Registered) override;
  void updateRead(const DirectoryUpdate &Update) override;

  void handle(IncomingRequest Request, std::unique_ptr<Caller> From);
  void handleShed(ShedReason Reason);

  /// \p RetryAfter applies to statuses that allow one.
  void refuse(Caller &From, const RefusedRequest &Refused, Duration RetryAfter);
  [[nodiscard]] bool mayOutlastStop(const AdmittedRequest &Admitted) const;
  void handleProbe(SoupServerMessage *Message, const char *Path);
  void handlePlacementQuery(SoupServerMessage *Message);
  void handleRequestEnd(std::uint64_t Number);
  [[nodiscard]] bool isOutOfRotation() const;
  void cutRequests();
  void checkStopped();
  void endStop();
  [[nodiscard]] bool isReady() const;
  void applyMemory();

  GatewaySettings m_Settings;     ///< In force.
  Incarnation m_Incarnation;      ///< Of this process.
  LoopClock m_Clock;              ///< Of the loop.
  SuspendAwareClock m_LeaseClock; ///< For leases and the age of clock readings.
  SystemWallClock m_WallClock;    ///< Of the machine.
  LoopScheduler m_Timers;         ///< Of the loop.
  Metrics m_Metrics;              ///< All metrics.
  GatewayStats m_Stats;           ///< Handles of m_Metrics.
  std::mt19937_64 m_Random;       ///< For choices among services.
  balance::Balancer m_Balancer;   ///< Chooses upstreams.
  balance::RetryBudget m_Budget;  ///< Limits retries.
  WaitQueue m_WaitQueue;          ///< Calls that wait for room.

  /// Null: no call waits by prediction.
  std::unique_ptr<waiting::WaitPolicy> m_WaitPolicy;

  AnswerMemory m_AnswerMemory;                ///< Of unfinished answers.
  BrokenAnswerStats m_BrokenAnswers;          ///< Handles of m_Metrics.
  HttpUpstreamClient m_Upstream;              ///< Sends calls.
  CrashWatch m_CrashWatch;                    ///< Handles broken calls.
  PlatformParts m_PlatformParts;              ///< See PlatformParts.
  std::unique_ptr<UsageParts> m_Usage;        ///< Null: no usage is reported.
  std::unique_ptr<duty::DutyHolder> m_Duties; ///< Null: there are no duties.
  SoftwareHistory m_SoftwareHistory;          ///< Of the upstreams.
  SoftwareRegister m_SoftwareRegister;        ///< Of all instances.
  std::unique_ptr<resume::OriginArchive> m_OriginArchive; ///< May be null.
  resume::OriginExchange m_Origins;              ///< Knows where streams began.
  DigestExchange m_Exchange;                     ///< With other instances.
  std::unique_ptr<relay::CallRelay> m_CallRelay; ///< Calls and their paths.
  ForwardContext m_Context;                      ///< Shared by requests.
  PlacementExplainer m_Explainer;                ///< For operators.
  MainLoopLoad m_LoopLoad;                       ///< Of the loop.
  ConnectionAdmission m_Admission;               ///< Of callers' connections.
  Frontend m_Front;                              ///< Callers' connections.
  HttpServer m_ProbeServer;                      ///< Readiness and metrics.
  RouteTablePtr m_Table;                         ///< In force; null: none yet.
  bool m_UpstreamsKnown = false;                 ///< A list was received.
  ReadingRole m_ReadingRole = ReadingRole::Alone; ///< As set in the directory.
  std::unordered_map<std::uint64_t, std::unique_ptr<ForwardedRequest>>
      m_Requests; ///< In progress.
  std::vector<std::unique_ptr<ForwardedRequest>>
      m_EndedRequests;                   ///< To be destroyed.
  std::uint64_t m_LastRequestNumber = 0; ///< Last key in m_Requests.
  SpeedReport m_SpeedReport;             ///< Logs and metrics of speeds.
  Timer m_CleanupTimer;                  ///< Destroys ended requests.
  Timer m_StopTimer;                     ///< Checks the shutdown.
  bool m_Stopping = false;               ///< After stop().
  bool m_ClosingConnections = false;     ///< Answers close their connections.
  TimePoint m_StopBeganAt;               ///< When stop() was called.
  std::optional<TimePoint> m_StopLimit;  ///< When it ends; none: no limit.
  TimePoint m_DrainLoggedAt{};           ///< Last log of open requests.
  TimePoint m_ShedLoggedAt{};            ///< Last log of shed connections.
  std::size_t m_ShedSinceLog = 0;        ///< Connections shed since then.
  std::function<void()> m_OnStopped;     ///< Runs when stopped.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_GATEWAY_H
