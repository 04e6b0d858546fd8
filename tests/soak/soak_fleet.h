/// The fleet under soak: real gateways between stand-ins, and their callers.
#ifndef CROWSTEP_TESTS_SOAK_SOAK_FLEET_H
#define CROWSTEP_TESTS_SOAK_SOAK_FLEET_H

#include "core/scheduler.h"
#include "process/gateway_place.h"
#include "process/process.h"
#include "process/relay.h"
#include "soak/raw_caller.h"
#include "soak/schedule.h"
#include "soak/soak_upstream.h"
#include "standin/store_server.h"

namespace crowstep::soak {

/// How large the fleet is.
struct FleetPlan {
  std::uint64_t m_Seed = 1;   ///< Of everything that is by chance.
  int m_Gateways = 4;         ///< Processes.
  int m_Upstreams = 5;        ///< Stand-ins.
  int m_CallsPerSecond = 150; ///< Of all callers.
  std::string m_Keep;         ///< Logs are copied here on a violation.
};

class SoakFleet {
public:
  explicit SoakFleet(const FleetPlan &Plan);
  ~SoakFleet();
  SoakFleet(const SoakFleet &) = delete;
  SoakFleet &operator=(const SoakFleet &) = delete;

  /// Starts the gateways; returns whether all became ready.
  bool start();

  /// Plays \p Faults under load, then lets the fleet recover.
  void play(const std::vector<Fault> &Faults, Duration Length);

  [[nodiscard]] Ledger &ledger() { return m_Ledger; }

  /// Copies the gateways' logs.
  void keepLogs() const;

private:
  /// One gateway's place; processes come and go there.
  struct Place {
    int m_Number = 0;                         ///< From 0.
    test::GatewayPlace m_At;                  ///< Addresses and bounds.
    std::unique_ptr<test::Relay> m_ToStore;   ///< Its way to the store.
    std::unique_ptr<test::Process> m_Process; ///< Null between starts.
    unsigned m_Lifetime = 0;                  ///< Starts so far.
    bool m_TakesCalls = false;                ///< Callers choose it.
    bool m_Stopping = false;                  ///< After SIGTERM.
    bool m_Frozen = false;                    ///< After SIGSTOP.
    TimePoint m_StartedAt;                    ///< Of m_Process.
  };

  /// One upstream's place; starts of it come and go there.
  struct Seat {
    int m_Number = 0;                         ///< From 0.
    Address m_Real;                           ///< Where it listens.
    std::unique_ptr<test::Relay> m_Way;       ///< Where gateways reach it.
    std::unique_ptr<SoakUpstream> m_Upstream; ///< Null while it is gone.
    unsigned m_Lifetime = 0;                  ///< Starts so far.
  };

  void startGateway(Place &Gateway);
  void startUpstream(Seat &Upstream);
  void list(const Seat &Upstream, const std::string &State);
  void putTable();
  void callOnce();
  void sendCrashing();
  void crash(Seat &Upstream);
  void takeDown(Seat &Upstream, Duration RowTime, Duration RestartTime);
  void noteStall(TimePoint LastStep);
  bool poll(Place &Gateway);

  void apply(const Fault &Played);
  void applyToGateway(const Fault &Played, Place &Gateway);
  void applyToUpstream(const Fault &Played, Seat &Upstream);
  void applyToPath(const Fault &Played, Seat &Upstream);
  void applyToStore(const Fault &Played, Place &Gateway);
  void stopGateway(Place &Gateway);
  void replace(Seat &Upstream, Duration After);
  void later(Duration After, std::function<void()> Job);
  void reapAll();

  FleetPlan m_Plan;               ///< As given.
  std::mt19937_64 m_Random;       ///< Of the load.
  LoopClock m_Clock;              ///< Of the driver.
  LoopScheduler m_Timers;         ///< Of the driver.
  Ledger m_Ledger;                ///< What happened.
  test::TemporaryFolder m_Folder; ///< Settings and logs.
  standin::StoreServer m_Store;   ///< The platform's.
  Address m_StoreAt;              ///< Where it listens.
  std::vector<Place> m_Places;    ///< All gateways.
  std::vector<Seat> m_Seats;      ///< All upstreams.
  RawCaller m_Callers;            ///< All callers.
  test::Caller m_Probe;           ///< The platform, for readiness.
  unsigned m_TableVersion = 0;    ///< In the store.
  std::uint64_t m_LastCall = 0;   ///< Ids of calls.
  bool m_Calm = false;            ///< Only planned work is played.
};

} // namespace crowstep::soak

#endif // CROWSTEP_TESTS_SOAK_SOAK_FLEET_H
