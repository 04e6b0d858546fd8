/// The fleet under test: real gateway processes between stand-ins of callers,
/// upstreams and the store.
#ifndef CROWSTEP_TESTS_SOAK_SOAK_FLEET_H
#define CROWSTEP_TESTS_SOAK_SOAK_FLEET_H

#include "core/scheduler.h"
#include "process/gateway_config.h"
#include "process/process.h"
#include "process/raw_caller.h"
#include "process/relay.h"
#include "soak/schedule.h"
#include "soak/soak_upstream.h"
#include "soak/stop_callers.h"
#include "standin/duty_server.h"
#include "standin/store_server.h"

namespace crowstep::soak {

/// Size of the fleet, and its seed.
struct FleetPlan {
  std::uint64_t m_Seed = 1;      ///< Of all random draws.
  int m_GatewayCount = 4;        ///< Processes.
  int m_UpstreamCount = 5;       ///< Stand-ins.
  int m_RequestsPerSecond = 150; ///< Requests of all callers.
  std::string m_LogFolder;       ///< For logs after a violation; may be empty.
};

class SoakFleet {
public:
  explicit SoakFleet(const FleetPlan &Plan);
  ~SoakFleet();
  SoakFleet(const SoakFleet &) = delete;
  SoakFleet &operator=(const SoakFleet &) = delete;

  /// Starts the gateways; returns whether all became ready.
  bool start();

  /// Plays \p Faults under load, for \p Length or as long as they last, then
  /// lets the fleet recover.
  void play(const std::vector<Fault> &Faults, Duration Length);

  [[nodiscard]] Ledger &ledger() { return m_Ledger; }

  /// Copies the gateways' settings and logs to the plan's folder.
  void copyLogs() const;

private:
  /// One gateway, over all incarnations of its process.
  struct GatewayNode {
    int m_Number = 0;                          ///< From 0.
    test::GatewayConfig m_Settings;            ///< Addresses and limits.
    std::unique_ptr<test::Relay> m_StoreRelay; ///< In front of the store.
    std::map<int, int> m_CutUpstreams;         ///< Cuts in force, by upstream.
    std::unique_ptr<test::Process> m_Process;  ///< Null while down.
    unsigned m_Incarnation = 0;                ///< Starts so far.
    bool m_IsReady = false;                    ///< Callers send requests to it.
    bool m_Stopping = false;                   ///< After SIGTERM.
    bool m_Frozen = false;                     ///< After SIGSTOP.
    TimePoint m_StartedAt;                     ///< Of m_Process.
  };

  /// One upstream, over all its incarnations.
  struct UpstreamNode {
    int m_Number = 0;                       ///< From 0.
    Address m_ListenAddress;                ///< It listens here.
    std::unique_ptr<test::Relay> m_Relay;   ///< In front of it, for gateways.
    std::unique_ptr<SoakUpstream> m_Server; ///< Null while down.
    unsigned m_Incarnation = 0;             ///< Starts so far.
  };

  void startGateway(GatewayNode &Gateway);
  void startUpstream(UpstreamNode &Upstream);
  void putUpstreamRow(const UpstreamNode &Upstream, const std::string &State);
  void putTable();
  void sendRequest();
  void sendCrashingRequest();
  void addSegments(test::Call &To, bool IsCrashing);
  void resumeStreams();
  void resumeStream(const std::string &Id);
  GatewayNode *drawReadyGateway();
  GatewayNode &gatewayOfNewConnection(GatewayNode &Drawn);
  static test::Call makeCall(const GatewayNode &To, const std::string &Path,
                             const std::string &Id);
  void crashUpstream(UpstreamNode &Upstream);
  void stopUpstream(UpstreamNode &Upstream, Duration RowTime,
                    Duration RestartTime);
  void recordStall(TimePoint LastStep);
  bool probeReadiness(GatewayNode &Gateway);

  void apply(const Fault &Played);
  void apply(const DutyFault &Played);
  void apply(const StatementFault &Played);
  void apply(const PathCut &Played);
  void playSpans(Duration Length, Duration &End);
  void playStop(const FleetSpan &Played);
  void restoreStore();
  void putServerRow(const std::string &Name, const std::string &Value);
  void updateCuts();
  GatewayNode *dutyHolder();
  void freezeGateway(GatewayNode &Gateway, Duration Span);
  void checkDuties(TimePoint FaultsEnded);
  void applyToGateway(const Fault &Played, GatewayNode &Gateway);
  void applyToUpstream(const Fault &Played, UpstreamNode &Upstream);
  void setUpstreamFault(UpstreamNode &Upstream, UpstreamFault Selected,
                        Duration Span);
  void setStoreMode(standin::StoreServer::Mode Selected, Duration Span);
  void applyToPath(const Fault &Played, UpstreamNode &Upstream);
  void applyToStore(const Fault &Played, GatewayNode &Gateway);
  void stopGateway(GatewayNode &Gateway);
  void killGateway(GatewayNode &Gateway);
  void replaceUpstream(UpstreamNode &Upstream, Duration After);
  void runAfter(Duration After, std::function<void()> Job);
  void endFaultAfter(Duration Span, const void *Target,
                     std::string_view Property, std::function<void()> Job);
  void restartExitedGateways();

  FleetPlan m_Plan;                      ///< Size and seed.
  std::mt19937_64 m_Random;              ///< For load and upstreams' seeds.
  LoopClock m_Clock;                     ///< The driver's.
  LoopScheduler m_Timers;                ///< The driver's.
  Ledger m_Ledger;                       ///< Records and checks.
  test::TemporaryFolder m_Folder;        ///< Settings and logs.
  standin::StoreServer m_Store;          ///< The store.
  standin::DutyServer m_Duties;          ///< The platform's side of duties.
  Address m_StoreAddress;                ///< Of m_Store.
  std::vector<GatewayNode> m_Gateways;   ///< By number.
  std::vector<UpstreamNode> m_Upstreams; ///< By number.
  test::RawCaller m_Caller;              ///< Sends the load.
  test::Caller m_ReadinessProbe;         ///< Probes readiness.
  unsigned m_TableVersion = 0;           ///< Newest in the store.
  std::string m_Table;                   ///< Row of that version.
  std::map<std::string, std::string>
      m_ServerRows; ///< As last written by upstreams; empty: removed.
  std::optional<std::size_t>
      m_Favored; ///< Gateway that gets most new connections.
  std::uint64_t m_LastRequestNumber = 0; ///< Of request ids.
  std::map<std::string, std::shared_ptr<const test::CallResult>>
      m_OpenStreams;              ///< That may be resumed, by attempt.
  StopCallers m_StopCallers;      ///< Around stops of some seeds.
  bool m_PlannedWorkOnly = false; ///< Only planned work is played.
  std::map<std::pair<const void *, std::string_view>, int>
      m_LastingFaults; ///< By object and faulty property.
};

} // namespace crowstep::soak

#endif // CROWSTEP_TESTS_SOAK_SOAK_FLEET_H
