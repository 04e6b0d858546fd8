/// A gateway with the memory and the descriptors of a small machine, which
/// serves ordinary callers beside crowds.
#ifndef CROWSTEP_TESTS_PROCESS_CROWDED_GATEWAY_H
#define CROWSTEP_TESTS_PROCESS_CROWDED_GATEWAY_H

#include "process/crowd.h"
#include "process/endless_server.h"
#include "process/gateway_fleet.h"
#include "process/process_usage.h"

#include <functional>
#include <optional>

namespace crowstep::test {

/// Limits for callers in the table. Times are so long that no test runs into
/// them.
struct CrowdLimits {
  std::size_t m_MaxHeaderBytes = 16384;
  std::size_t m_MaxBodyBytes = 1 << 20;
};

/// Calls below /plain/ and /streaming/ are answered at once, those below /held/
/// never.
class CrowdedGateway {
public:
  explicit CrowdedGateway(const CrowdLimits &Limits = {});
  ~CrowdedGateway();
  CrowdedGateway(const CrowdedGateway &) = delete;
  CrowdedGateway &operator=(const CrowdedGateway &) = delete;

  [[nodiscard]] Address callerAddress() const {
    return m_Fleet.listenAddress(0);
  }
  [[nodiscard]] Address probeAddress() const { return m_Fleet.probeAddress(0); }
  [[nodiscard]] Address linkAddress() const { return m_Fleet.linkAddress(0); }
  [[nodiscard]] Address relayAddress() const { return m_Fleet.relayAddress(0); }

  /// Returns a head up to the name of its length, without the length's line.
  [[nodiscard]] static std::string headOf(const std::string &Path,
                                          const std::string &Id);

  /// Returns a whole request.
  [[nodiscard]] static std::string requestText(const std::string &Path,
                                               const std::string &Id,
                                               std::size_t BodyBytes);

  /// Runs the main loop until \p Senders has settled, and samples the usage.
  void watchUntilSettled(const Crowd &Senders);

  /// Sends a request of an ordinary caller, again on a new connection where it
  /// is refused; returns whether it was answered.
  bool isServed(std::size_t BodyBytes = 10) {
    return isServed(requestText("/plain/x", "ordinary", BodyBytes));
  }
  bool isServed(const std::string &Request);

  /// Returns the status of the answer to \p Request, which is sent once; 0:
  /// none.
  unsigned statusOf(const std::string &Request);

  /// Checks that the process lives and has stayed within its machine.
  void checkUsage();

private:
  bool runSampled(const std::function<bool()> &Done, Duration Limit);

  EndlessServer m_Answering;           ///< Answers each call.
  int m_Silent;                        ///< Listens and answers nothing.
  GatewayFleet m_Fleet{1};             ///< Of this gateway only.
  std::optional<ProcessUsage> m_Usage; ///< Set once started.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_CROWDED_GATEWAY_H
