/// Record of the requests of callers, the runs at upstreams and the results of
/// the checks on them.
#ifndef CROWSTEP_TESTS_SOAK_LEDGER_H
#define CROWSTEP_TESTS_SOAK_LEDGER_H

#include "core/clock.h"
#include "process/caller.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crowstep::soak {

/// Kinds of routes, by what callers may expect of a request.
enum class Kind : std::uint8_t {
  Once,      ///< Runs at most once.
  Again,     ///< May be retried after it ran.
  Stream,    ///< Event stream; not resumable.
  Resumable, ///< Event stream that another upstream may resume.
};

/// One execution of a request at an upstream.
struct Run {
  std::string m_Upstream; ///< Names its incarnation too.
  TimePoint m_At;         ///< Its start.
  bool m_Continues;       ///< Sent with a Last-Event-Id.
};

/// One request of a caller.
struct Asked {
  Kind m_Kind = Kind::Once;    ///< Its route's kind.
  int m_Gateway = 0;           ///< Number of the gateway it was sent to.
  unsigned m_Lifetime = 0;     ///< The gateway's incarnation.
  unsigned m_TableVersion = 0; ///< Of its route; 0: in every table.
  TimePoint m_At;              ///< Time of sending.
  std::shared_ptr<const test::Told> m_Told; ///< Fills while the loop runs.
  std::vector<Run> m_Runs;                  ///< Recorded so far.
  bool m_Crashing = false;                  ///< Crashes upstreams that run it.
  TimePoint m_GatewayStart;                 ///< Of that incarnation.
  bool m_Judged = false;                    ///< Checked after its end.
};

/// A check that failed.
struct Violation {
  std::string m_Check; ///< Name of the check.
  std::string m_What;  ///< The request and what was observed.
};

/// Time ranges in which a check is suspended.
using Spans = std::vector<std::pair<TimePoint, TimePoint>>;

class Ledger {
public:
  void asked(const std::string &Id, Asked Request) {
    m_Calls[Id] = std::move(Request);
  }
  void ran(const std::string &Id, Run Started);

  /// Counts an arrival of a request at an upstream, whether it runs or not.
  void arrived(const std::string &Id, TimePoint Now);

  /// Records that the store has acknowledged that \p Upstream drains or is
  /// removed.
  void leaves(const std::string &Upstream, TimePoint Now) {
    m_Leaving.emplace(Upstream, Now);
  }

  /// Records that the crashing request has crashed an upstream, whose row is
  /// removed at \p RowRemoved.
  void crashed(TimePoint RowRemoved) { m_CrashesKnown.push_back(RowRemoved); }

  /// Records that the store holds a newer table.
  void tableChanged(unsigned Version, TimePoint Now) {
    m_Tables.emplace(Version, Now);
  }

  /// Excuses gateways from knowing what the store holds.
  void blind(TimePoint From, TimePoint To) { m_Blind.emplace_back(From, To); }

  /// Records that the driver, and the store that it hosts, did not run.
  void stalled(TimePoint From, TimePoint To) {
    blind(From, To);
    m_Stalled.push_back(To - From);
  }

  /// Records that a gateway was told to stop in a round of planned work only.
  void calmStop(int Gateway, TimePoint From, TimePoint To) {
    m_CalmStops.push_back({Gateway, From, To});
  }

  /// Checks the requests that have ended since the previous call.
  void judge();

  /// Checks that service recovered in time after the last fault.
  void judgeRecovery(bool Recovered) {
    ++m_Checked["recovery"];
    if (!Recovered)
      violated("recovery", "service did not recover in time");
  }

  /// Runs the checks that need the records of the whole round.
  void judgeAll();

  /// Returns the share served of the ended requests sent from \p From until
  /// \p To, or 0 if there are none. Those of the crashing request and of routes
  /// that tables add and remove don't count.
  [[nodiscard]] double servedShare(TimePoint From, TimePoint To) const;

  /// Prints requests by outcome, counts of checks, and violations.
  void report() const;

  [[nodiscard]] const std::vector<Violation> &violations() const {
    return m_Violations;
  }

private:
  struct CalmStop {
    int m_Gateway;    ///< Its number.
    TimePoint m_From; ///< Time of SIGTERM.
    TimePoint m_To;   ///< Requests sent later aren't checked.
  };

  void violated(const std::string &Check, const std::string &Details) {
    m_Violations.push_back({Check, Details});
  }
  void judgeAnswer(const std::string &Id, const Asked &Request);
  void judgeStream(const std::string &Id, const Asked &Request);
  void judgeVersion(const std::string &Id, const Asked &Request);
  void judgeStops(const std::string &Id, const Asked &Request);
  void judgeRuns(const std::string &Id, const Asked &Request);
  void judgeLeaving(const std::string &Id, const Asked &Request);
  void judgeBudget();
  void judgeCrashing();
  [[nodiscard]] bool inTouch(const Asked &Request, TimePoint At) const;
  [[nodiscard]] TimePoint knownBy(TimePoint Written) const;

  std::map<std::string, Asked> m_Calls;       ///< By X-Attempt-Id.
  std::map<std::string, int> m_Arrivals;      ///< By X-Attempt-Id.
  std::vector<TimePoint> m_Again;             ///< Arrivals after the first.
  std::vector<TimePoint> m_CrashesKnown;      ///< See recordCrash().
  std::map<std::string, TimePoint> m_Leaving; ///< By upstream's name.
  std::map<unsigned, TimePoint> m_Tables;     ///< By version.
  Spans m_Blind;                              ///< See excuseStaleness().
  std::vector<Duration> m_Stalled;            ///< See recordDriverStall().
  std::vector<CalmStop> m_CalmStops;          ///< See recordPlannedStop().
  /// The newest table observed in force and since when, by gateway and its
  /// incarnation.
  std::map<std::pair<int, unsigned>, std::pair<unsigned, TimePoint>> m_Newest;
  std::map<std::string, int> m_Checked; ///< By check.
  std::vector<Violation> m_Violations;
};

/// Retry budget of the fleet under test, so small that some seconds of errors
/// at all upstreams would exceed it.
inline constexpr double RetryRatio = 0.05;
inline constexpr double RetrySlack = 20;
inline constexpr Duration RetryWindow = std::chrono::seconds(10);

/// No run may start at a draining upstream this long after the store has
/// acknowledged the change.
inline constexpr std::chrono::milliseconds DrainBound{2000};

/// A gateway must know what the store holds this long after a fault between
/// them has ended.
inline constexpr std::chrono::milliseconds SettleBound{3000};

/// Limit on runs of a request that has crashed three upstreams, by gateways
/// that can know of the crashes.
inline constexpr std::size_t RunsAfterCrashes = 3;

/// Events in a complete stream.
inline constexpr int EventsOfStream = 8;

} // namespace crowstep::soak

#endif // CROWSTEP_TESTS_SOAK_LEDGER_H
