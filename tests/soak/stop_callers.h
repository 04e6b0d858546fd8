/// Callers of a gateway that is about to stop. They open connections before the
/// stop and use them until the process is gone.
#ifndef CROWSTEP_TESTS_SOAK_STOP_CALLERS_H
#define CROWSTEP_TESTS_SOAK_STOP_CALLERS_H

#include "core/scheduler.h"
#include "soak/ledger.h"

#include <array>
#include <list>
#include <random>

namespace crowstep::soak {

/// A route that only these callers use.
struct StopRoute {
  RequestKind m_Kind;                    ///< For the checks.
  std::string m_Path;                    ///< Prefix of paths.
  const char *m_Name;                    ///< The table's routeKind.
  std::chrono::milliseconds m_TimeLimit; ///< Time-out of a request.
};
extern const std::array<StopRoute, 4> StopRoutes;

/// The gateway that they call.
struct StoppingGateway {
  int m_Number;              ///< Its number.
  unsigned m_Incarnation;    ///< Of its process.
  TimePoint m_StartedAt;     ///< Of its process.
  Address m_ListenAddress{}; ///< For callers.
};

class StopCallers {
public:
  /// The gateway is told to stop this long after start().
  static constexpr std::chrono::milliseconds LeadTime{1000};

  StopCallers(std::uint64_t Seed, Ledger &Requests, const Clock &Time,
              Scheduler &Timers);
  ~StopCallers();
  StopCallers(const StopCallers &) = delete;
  StopCallers &operator=(const StopCallers &) = delete;

  /// Lets callers connect to \p To.
  void start(const StoppingGateway &To);

  /// Returns whether all their connections are closed.
  [[nodiscard]] bool haveEnded() const { return m_Open.empty(); }

private:
  struct OneCaller;

  Duration drawTime(std::chrono::milliseconds From,
                    std::chrono::milliseconds To);
  void drawPlan(OneCaller &For);
  void poll();
  bool continueCaller(OneCaller &Current);
  void sendNext(OneCaller &From);
  void endBody(OneCaller &From);
  void readAnswers(OneCaller &From, bool IsClosed);
  void failOpenRequests(OneCaller &From);

  std::mt19937_64 m_Random;       ///< Draws the plans.
  Ledger &m_Ledger;               ///< Outlives it.
  const Clock &m_Clock;           ///< Outlives it.
  Timer m_PollTimer;              ///< Runs while callers are open.
  std::uint64_t m_LastNumber = 0; ///< Of request ids.
  std::list<OneCaller> m_Open;    ///< With open connections, or before.
};

} // namespace crowstep::soak

#endif // CROWSTEP_TESTS_SOAK_STOP_CALLERS_H
