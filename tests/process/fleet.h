/// A fleet of real processes: platform stand-in, upstreams and instances.
#ifndef CROWSTEP_TESTS_PROCESS_FLEET_H
#define CROWSTEP_TESTS_PROCESS_FLEET_H

#include "core/error.h"
#include "process/caller.h"
#include "process/process.h"
#include "process/relay.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace crowstep::test {

/// Size and settings of a fleet.
struct FleetPlan {
  std::size_t m_InstanceCount = 3;  ///< Each has an entry and a dispatcher.
  std::size_t m_EngineCount = 2;    ///< Engines of the service "writer".
  std::size_t m_ServiceCount = 2;   ///< Upstreams of the service "desk".
  std::size_t m_SlotsPerEngine = 4; ///< Slots of each engine.
  std::string m_EngineSettings;     ///< Additional lines for each engine.
  std::string m_ServiceSettings;    ///< Additional lines for each "desk".
  std::string m_TableCsv;           ///< CSV; empty: the default table.
  bool m_RelayUpstreams = false;    ///< Instances reach upstreams by relays.
  ProcessLimits m_Limits;           ///< Of each entry and dispatcher.
};

/// One instance: a dispatcher and an entry.
struct TestInstance {
  std::string m_Name;                    ///< crowstep-1 ...
  Address m_LinkAddress;                 ///< Of its dispatcher.
  Address m_AdminAddress;                ///< Of its dispatcher.
  Address m_CallerAddress;               ///< Of its entry.
  std::unique_ptr<Process> m_Dispatcher; ///< Null while stopped.
  std::unique_ptr<Process> m_Entry;      ///< Null while stopped.
};

/// A call in the record of an upstream.
struct RecordedCall {
  std::string m_Upstream;              ///< Name of the upstream.
  std::string m_IdempotencyKey;        ///< Header Idempotency-Key, or empty.
  bool m_Finished = false;             ///< The call ran to its end.
  std::uint64_t m_GeneratedTokens = 0; ///< Number of tokens generated.
};

/// A running fleet. Classes of the default table: "check" (tier 1) and "hold"
/// (tier 1, not repeatable, needs an idempotency key) on the service "desk";
/// "urgent" (tier 1) and "guide" (tier 5, preemptible) on "writer".
class Fleet {
public:
  explicit Fleet(FleetPlan Plan);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// Starts all processes and waits until every entry is ready.
  /// \throws FleetNotReady with the logs.
  void start();

  void startInstance(std::size_t Index);

  /// Waits until the entry of instance \p Index is ready; returns whether it
  /// was within \p Limit.
  bool waitUntilReady(std::size_t Index, Duration Limit);

  [[nodiscard]] std::vector<TestInstance> &instances() { return m_Instances; }
  [[nodiscard]] Caller &caller() { return m_Caller; }
  [[nodiscard]] Process &platform() { return *m_Platform; }
  [[nodiscard]] const Address &platformAddress() const {
    return m_PlatformAddress;
  }
  [[nodiscard]] const Address &upstreamAddress(const std::string &Name) const;
  [[nodiscard]] Process &upstreams() { return *m_Upstreams; }

  /// Returns a chat completion request of \p Class to the entry of instance
  /// \p Index, whose answer has exactly \p Tokens tokens.
  [[nodiscard]] Call chatCall(std::size_t Index, const std::string &Class,
                              std::size_t Tokens, bool Streamed,
                              const std::string &Prompt = "a question") const;

  /// Returns a request of \p Class to the service "desk" by the entry of
  /// instance \p Index, with an idempotency key unless \p Key is empty.
  [[nodiscard]] Call deskCall(std::size_t Index, const std::string &Class,
                              const std::string &Key,
                              const std::string &Body) const;

  /// Injects a fault into the platform stand-in, until "none" is set or
  /// \p Count calls had it (0: no limit).
  void setPlatformFault(const std::string &Target, const std::string &Mode,
                        int DelayMs = 0, int Count = 0);
  /// Closes all connections to an upstream and refuses new ones, or accepts
  /// them again. Needs FleetPlan::m_RelayUpstreams.
  void setUpstreamBlocked(const std::string &Name, bool Cut);
  void setUpstreamFault(const std::string &Name, const nlohmann::json &Fault);

  /// Returns every call that the upstreams of \p Service have recorded: the
  /// tests compare it with what callers were answered.
  std::vector<RecordedCall> recordedCalls(const std::string &Service);

  /// Returns the value of \p Series in the metrics at \p Server, or 0 if it is
  /// not there.
  double readMetric(const Address &Server, const std::string &Series);

  /// Returns the name of the instance whose dispatcher owns the pool of
  /// \p Service, or an empty string.
  std::string ownerOf(const std::string &Service);

  /// Returns the logs of all processes.
  [[nodiscard]] std::string logs() const;

private:
  struct TestUpstream {
    std::string m_Name;             ///< writer-1, desk-1 ...
    std::string m_Service;          ///< writer or desk.
    Address m_Address;              ///< Where its HTTP server listens.
    std::unique_ptr<Relay> m_Relay; ///< Null without m_RelayUpstreams.
  };
  void planUpstreams();
  void startPlatform();
  void waitForPlatform();
  void startUpstreams();
  [[nodiscard]] std::string platformSeed() const;

  FleetPlan m_Plan;                         ///< As passed to the constructor.
  TemporaryFolder m_Folder;                 ///< Settings and logs.
  Caller m_Caller;                          ///< Client of all calls.
  Address m_PlatformAddress;                ///< Of the platform stand-in.
  std::unique_ptr<Process> m_Platform;      ///< Platform stand-in.
  std::unique_ptr<Process> m_Upstreams;     ///< All upstreams, in one process.
  std::vector<TestUpstream> m_UpstreamList; ///< Engines, then services.
  std::vector<TestInstance> m_Instances;    ///< By index.
  std::size_t m_StartCount = 0;             ///< Instance starts, for log names.
};

/// The fleet did not become ready.
class FleetNotReady : public Error {
public:
  using Error::Error;
};

/// Returns whether \p Text is a complete answer of the stand-in engine: \p
/// Tokens tokens, each once and in order, all with the hash of one prompt.
bool isCompleteAnswer(const std::string &Text, std::size_t Tokens);

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_FLEET_H
