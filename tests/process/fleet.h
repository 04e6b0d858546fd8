/// A fleet of real processes: platform, upstreams and instances.
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

/// What a fleet consists of.
struct FleetPlan {
  std::size_t m_Instances = 3;    ///< Each one entry and one dispatcher.
  std::size_t m_Engines = 2;      ///< Of the service "writer".
  std::size_t m_Services = 2;     ///< Of the service "desk".
  std::size_t m_Slots = 4;        ///< Of each engine.
  std::string m_EngineSettings;   ///< Further lines for each engine.
  std::string m_ServiceSettings;  ///< Further lines for each plain service.
  std::string m_Table;            ///< CSV; empty: the default classes.
  bool m_CanCutUpstreams = false; ///< Upstreams are reached through relays.
};

/// One instance of crowstep.
struct TestInstance {
  std::string m_Name;                    ///< crowstep-1 ...
  Address m_Link;                        ///< Of its dispatcher.
  Address m_Admin;                       ///< Of its dispatcher.
  Address m_Callers;                     ///< Of its entry.
  std::unique_ptr<Process> m_Dispatcher; ///< Null while stopped.
  std::unique_ptr<Process> m_Entry;      ///< Null while stopped.
};

/// A call that an upstream says it ran.
struct RanCall {
  std::string m_Upstream;        ///< Name.
  std::string m_Key;             ///< Idempotency-Key as it came, or empty.
  bool m_Finished = false;       ///< To its end.
  std::uint64_t m_Generated = 0; ///< Tokens.
};

/// Classes of the default table: "check" (tier 1) and "hold" (tier 1, keyed)
/// on desk; "urgent" (tier 1), "guide" (tier 5, preemptible) on writer.
class Fleet {
public:
  explicit Fleet(FleetPlan Plan);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// Starts everything and waits until every entry is ready.
  /// \throws FleetNotReady with the logs.
  void start();

  void startInstance(std::size_t Index);

  /// Waits until the entry of \p Index is ready; returns whether it is.
  bool waitReady(std::size_t Index, Duration Limit);

  [[nodiscard]] std::vector<TestInstance> &instances() { return m_Instances; }
  [[nodiscard]] Caller &caller() { return m_Caller; }
  [[nodiscard]] Process &platform() { return *m_Platform; }
  [[nodiscard]] const Address &platformAddress() const {
    return m_PlatformAddress;
  }
  [[nodiscard]] const Address &upstreamAddress(const std::string &Name) const;
  [[nodiscard]] Process &upstreams() { return *m_Upstreams; }

  /// Returns a chat completion call of \p Class with exactly \p Tokens tokens
  /// through the entry \p Index.
  [[nodiscard]] Call chat(std::size_t Index, const std::string &Class,
                          std::size_t Tokens, bool Streamed,
                          const std::string &Prompt = "a question") const;

  /// Returns a call of a plain service.
  [[nodiscard]] Call desk(std::size_t Index, const std::string &Class,
                          const std::string &Key,
                          const std::string &Body) const;

  /// Sets a fault of the platform or of an upstream.
  void platformFault(const std::string &Target, const std::string &Mode,
                     int DelayMs = 0, int Count = 0);
  /// Closes all connections to an upstream and refuses new ones, or ends that.
  /// Needs m_CanCutUpstreams.
  void cutUpstream(const std::string &Name, bool Cut);
  void upstreamFault(const std::string &Name, const nlohmann::json &Fault);

  /// The oracle: returns every call that the upstreams of \p Service ran.
  std::vector<RanCall> ran(const std::string &Service);

  /// Returns the value of a series in an instance's metrics, or 0.
  double metric(const Address &Server, const std::string &Series);

  /// Returns the name of the instance whose dispatcher owns the pool of
  /// \p Service, or an empty text.
  std::string ownerOf(const std::string &Service);

  /// Returns all logs, for a failed check.
  [[nodiscard]] std::string logs() const;

private:
  struct TestUpstream {
    std::string m_Name;             ///< writer-1, desk-1 ...
    std::string m_Service;          ///< writer or desk.
    Address m_Address;              ///< Of its HTTP server.
    std::unique_ptr<Relay> m_Relay; ///< Null unless links can be cut.
  };
  void planUpstreams();
  void startPlatform();
  void waitForPlatform();
  void startUpstreams();
  [[nodiscard]] std::string platformSeed() const;

  FleetPlan m_Plan;                         ///< As given.
  TemporaryFolder m_Folder;                 ///< Settings and logs.
  Caller m_Caller;                          ///< For all calls.
  Address m_PlatformAddress;                ///< Stand-in platform.
  std::unique_ptr<Process> m_Platform;      ///< Stand-in platform.
  std::unique_ptr<Process> m_Upstreams;     ///< All stand-in upstreams.
  std::vector<TestUpstream> m_UpstreamList; ///< Engines, then services.
  std::vector<TestInstance> m_Instances;    ///< In order.
  std::size_t m_StartCount = 0;             ///< For log names.
};

/// The fleet did not become ready.
class FleetNotReady : public Error {
public:
  using Error::Error;
};

/// Returns the whole text that the stand-in engine makes of \p Prompt, or
/// nothing where \p Text is not it: every token in order, once, of one prompt.
bool isWholeAnswer(const std::string &Text, std::size_t Tokens);

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_FLEET_H
