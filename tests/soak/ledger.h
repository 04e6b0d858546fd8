/// Record of the requests of callers, the runs at upstreams and the results of
/// the checks on them.
#ifndef CROWSTEP_TESTS_SOAK_LEDGER_H
#define CROWSTEP_TESTS_SOAK_LEDGER_H

#include "core/clock.h"
#include "process/caller.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace crowstep::soak {

/// Returns the software version in the name of an upstream's incarnation, such
/// as "u-3-1.v2".
std::string versionOfRun(const std::string &Run);

/// Kinds of routes, by what callers may expect of a request.
enum class RequestKind : std::uint8_t {
  AtMostOnce,      ///< Runs at most once.
  Idempotent,      ///< May be retried after it ran.
  Stream,          ///< Event stream; not resumable.
  ResumableStream, ///< Event stream that another upstream may resume.
};

/// One execution of a request at an upstream.
struct UpstreamRun {
  std::string m_UpstreamName;              ///< Names its incarnation too.
  TimePoint m_StartedAt;                   ///< Its start.
  bool m_IsResumption;                     ///< Sent with a Last-Event-Id.
  std::optional<TimePoint> m_EndedAt = {}; ///< None: still at work.
  bool m_BrokeOff = false; ///< It ended by the upstream's fault.
};

/// One request of a caller.
struct RequestRecord {
  RequestKind m_Kind = RequestKind::AtMostOnce; ///< Its route's kind.
  int m_Gateway = 0;           ///< Number of the gateway it was sent to.
  unsigned m_Incarnation = 0;  ///< The gateway's incarnation.
  unsigned m_TableVersion = 0; ///< Of its route; 0: in every table.
  TimePoint m_SentAt;          ///< Time of sending.
  std::shared_ptr<const test::CallResult>
      m_Result;                    ///< Fills while the loop runs.
  std::vector<UpstreamRun> m_Runs; ///< Recorded so far.
  bool m_IsCrashing = false;       ///< Crashes upstreams that run it.
  std::string m_Resumes;        ///< First attempt of its stream; may be empty.
  int m_LastEvent = 0;          ///< That its caller had before.
  TimePoint m_GatewayStartedAt; ///< Of that incarnation.
  bool m_IsAroundStop = false;  ///< By StopCallers; the rest is theirs.
  std::optional<TimePoint> m_LastByteAt;  ///< None: not sent whole.
  Duration m_TimeLimit = Duration::max(); ///< Of its route.
  std::size_t m_Padding = 0;              ///< Of its answer's body.
  bool m_IsChecked = false;               ///< Checked after its end.
};

/// A check that failed.
struct Violation {
  std::string m_Check;   ///< Name of the check.
  std::string m_Details; ///< The request and what was observed.
};

/// A time in which a gateway's packets to an upstream were dropped.
struct PathCutSpan {
  int m_Gateway;    ///< Its number.
  int m_Upstream;   ///< Its number.
  TimePoint m_From; ///< Begin.
  TimePoint m_To;   ///< End.
};

/// Time ranges in which a check is suspended.
using TimeRanges = std::vector<std::pair<TimePoint, TimePoint>>;

class Ledger {
public:
  void recordRequest(const std::string &Id, RequestRecord Request) {
    m_Requests[Id] = std::move(Request);
  }
  void recordRun(const std::string &Id, UpstreamRun Started);

  /// Records that the run of \p Id at \p Upstream has ended.
  void recordRunEnd(const std::string &Id, const std::string &Upstream,
                    TimePoint Now, bool BrokeOff);

  /// Returns a request that was recorded, to complete it.
  [[nodiscard]] RequestRecord &request(const std::string &Id) {
    return m_Requests.at(Id);
  }

  /// Records that an upstream of the software version \p Version was listed or
  /// removed.
  void recordListed(const std::string &Version, int Change, TimePoint Now);

  /// Returns the number of the last event that the caller of \p Id has, or 0 if
  /// its stream is complete, has not begun or can't be resumed.
  [[nodiscard]] int resumeAfter(const std::string &Id) const;

  /// Returns the attempt that brought the first event of the stream of \p Id.
  [[nodiscard]] std::string firstAttemptOf(const std::string &Id) const {
    const std::string &Resumes = m_Requests.at(Id).m_Resumes;
    return Resumes.empty() ? Id : Resumes;
  }

  /// Records an arrival of a request that was sent to \p Upstream, whether it
  /// runs or not, and also if another incarnation receives it.
  void recordArrival(const std::string &Id, const std::string &Upstream,
                     TimePoint Now);

  /// Records that \p Upstream rejects a request with a pause of PauseTime.
  void recordPause(const std::string &Id, const std::string &Upstream,
                   TimePoint Now) {
    m_Pauses.push_back({Id, Upstream, Now});
  }

  /// Excuses gateways from knowing what upstreams answer.
  void excusePaths(TimePoint From, TimePoint To) {
    m_PathExcuses.emplace_back(From, To);
  }

  /// Records that upstreams fail, or the paths to them.
  void recordUpstreamFault(TimePoint From, TimePoint To) {
    m_UpstreamFaults.emplace_back(From, To);
  }

  /// Records that \p Gateway can reach no upstream from \p From until \p To.
  void recordCut(int Gateway, TimePoint From, TimePoint To) {
    m_Cuts.push_back({Gateway, From, To});
  }

  /// Bytes that were sent in that time may arrive after it.
  void recordPathCut(const PathCutSpan &Cut) { m_PathCuts.push_back(Cut); }

  /// Records that the process of \p Gateway is disturbed.
  void recordGatewayFault(int Gateway, TimePoint From, TimePoint To) {
    m_GatewayFaults.push_back({Gateway, From, To});
  }

  /// Records that the process of \p Gateway is killed. Its next one records
  /// its own start.
  void recordKill(int Gateway, TimePoint Now) {
    m_Kills.push_back({Gateway, Now, Now});
    recordGatewayFault(Gateway, Now, Now);
  }

  /// Records that the store has acknowledged that \p Upstream drains or is
  /// removed.
  void recordDraining(const std::string &Upstream, TimePoint Now) {
    m_DrainingSince.emplace(Upstream, Now);
  }

  /// Sets the number of crashes from which the runs of crashing requests are
  /// bounded.
  void setCrashesBeforeHold(std::size_t Count) { m_CrashesBeforeHold = Count; }

  /// Records that the crashing request has crashed an upstream, whose row is
  /// removed at \p RowRemoved.
  void recordCrash(TimePoint RowRemoved) {
    m_CrashRowsRemoved.push_back(RowRemoved);
  }

  /// Checks the duties: \p Violation is what broke a rule, or empty, and
  /// \p Resumed whether they were performed again after the faults.
  void checkDuties(const std::string &Violation, bool Resumed);

  /// Records that the store holds a newer table.
  void recordTableChange(unsigned Version, TimePoint Now) {
    m_TableWrittenAt.emplace(Version, Now);
  }

  /// Excuses gateways from knowing what the store holds.
  void excuseStaleness(TimePoint From, TimePoint To) {
    m_StalenessExcuses.emplace_back(From, To);
  }

  /// Records that the driver, and the store that it hosts, did not run.
  void recordDriverStall(TimePoint From, TimePoint To) {
    excuseStaleness(From, To);
    excusePaths(From, To);
    m_DriverStalls.push_back(To - From);
  }

  /// Records that a gateway was told to stop in a round of planned work only.
  void recordPlannedStop(int Gateway, TimePoint Now, Duration GracePeriod) {
    m_PlannedStops.push_back({Gateway, Now, GracePeriod});
  }

  /// Checks the requests that have ended since the previous call.
  void checkEndedRequests();

  /// Checks that service recovered in time after the last fault.
  void checkRecovery(bool Recovered) {
    ++m_CheckCounts["recovery"];
    if (!Recovered)
      addViolation("recovery", "service did not recover in time");
  }

  /// Runs the checks that need the records of the whole round.
  void checkAll();

  /// Returns the share served of the ended requests sent from \p From until
  /// \p To, or 0 if there are none. Those of the crashing request and of routes
  /// that tables add and remove don't count.
  [[nodiscard]] double servedShare(TimePoint From, TimePoint To) const;

  /// Prints requests by outcome, counts of checks, and violations.
  void printReport() const;

  [[nodiscard]] const std::vector<Violation> &violations() const {
    return m_Violations;
  }

private:
  /// A request at an upstream.
  struct Arrival {
    std::string m_Id;           ///< X-Attempt-Id of the request.
    std::string m_UpstreamName; ///< To which it was sent; names its
                                ///< incarnation too.
    TimePoint m_Time;           ///< When it arrived.
  };

  /// A time in which something concerned one gateway.
  struct GatewaySpan {
    int m_Gateway;    ///< Its number.
    TimePoint m_From; ///< Begin.
    TimePoint m_To;   ///< End.
  };

  /// A gateway's process and an upstream's incarnation.
  using Pairing = std::tuple<int, unsigned, std::string>;

  struct PlannedStop {
    int m_Gateway;           ///< Its number.
    TimePoint m_SignalledAt; ///< Time of SIGTERM.
    Duration m_GracePeriod;  ///< From then on.
  };

  void addViolation(const std::string &Check, const std::string &Details) {
    m_Violations.push_back({Check, Details});
  }
  void checkAnswer(const std::string &Id, const RequestRecord &Request);
  void checkStream(const std::string &Id, const RequestRecord &Request);
  void checkVersions();
  void checkResumedShare();
  [[nodiscard]] bool isCalm(const RequestRecord &Request) const;
  [[nodiscard]] bool areTwoListed(const std::string &Version,
                                  TimePoint At) const;
  [[nodiscard]] std::string versionOf(const std::string &Id) const;
  void checkTableVersion(const std::string &Id, const RequestRecord &Request);
  void checkTableInForce(const std::string &Id, const RequestRecord &Request,
                         bool IsMissing);
  void checkPlannedStops(const std::string &Id, const RequestRecord &Request);
  [[nodiscard]] static bool isCutAllowed(const RequestRecord &Request,
                                         const PlannedStop &Stop);
  void checkRuns(const std::string &Id, const RequestRecord &Request);
  void checkDraining(const std::string &Id, const RequestRecord &Request);
  [[nodiscard]] bool wasHeldUp(const RequestRecord &Request,
                               const UpstreamRun &Started) const;
  void checkStatedLeaves();
  void checkPauses();
  [[nodiscard]] std::optional<Pairing> pairingOf(const Arrival &At) const;
  void checkRetryBudget();
  void checkCutGateways();
  [[nodiscard]] bool isLostInKill(const RequestRecord &Request) const;
  [[nodiscard]] std::optional<bool> isCut(int Gateway, TimePoint At) const;
  void checkCrashingRequest();
  [[nodiscard]] bool isGatewayUpToDate(const RequestRecord &Request,
                                       TimePoint At) const;
  [[nodiscard]] bool isStoreStable(TimePoint At) const;
  [[nodiscard]] TimePoint knowledgeDeadline(TimePoint Written) const;

  std::map<std::string, RequestRecord> m_Requests; ///< By X-Attempt-Id.
  std::map<std::string, int> m_ArrivalCounts;      ///< By X-Attempt-Id.
  std::vector<TimePoint> m_RetryArrivals; ///< Arrivals after the first.
  std::vector<Arrival> m_Arrivals;        ///< All, in order of time.
  std::vector<Arrival> m_Pauses;          ///< Those that were rejected so.
  TimeRanges m_PathExcuses;               ///< See excusePaths().
  TimeRanges m_UpstreamFaults;            ///< See recordUpstreamFault().
  std::map<std::string, std::map<TimePoint, int>>
      m_ListedCounts;              ///< Listed upstreams, by version and time.
  std::vector<GatewaySpan> m_Cuts; ///< See recordCut().
  std::vector<PathCutSpan> m_PathCuts;       ///< See recordPathCut().
  std::vector<GatewaySpan> m_GatewayFaults;  ///< See recordGatewayFault().
  std::vector<GatewaySpan> m_Kills;          ///< See recordKill().
  std::vector<TimePoint> m_CrashRowsRemoved; ///< See recordCrash().
  std::size_t m_CrashesBeforeHold = 3;       ///< See setCrashesBeforeHold().
  std::map<std::string, TimePoint> m_DrainingSince; ///< By upstream's name.
  std::map<unsigned, TimePoint> m_TableWrittenAt;   ///< By version.
  TimeRanges m_StalenessExcuses;                    ///< See excuseStaleness().
  std::vector<Duration> m_DriverStalls;    ///< See recordDriverStall().
  std::vector<PlannedStop> m_PlannedStops; ///< See recordPlannedStop().
  /// The newest table observed in force and since when, by gateway and its
  /// incarnation.
  std::map<std::pair<int, unsigned>, std::pair<unsigned, TimePoint>>
      m_NewestTables;
  std::map<std::string, int> m_CheckCounts; ///< By check.
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

/// Pause that upstreams request, the time after which a gateway must keep it,
/// and the requests that it may still send in it.
inline constexpr std::chrono::milliseconds PauseTime{1500};
inline constexpr std::chrono::milliseconds PauseGrace{500};
inline constexpr std::ptrdiff_t MaxInPause = 2;

/// A gateway must know what the store holds this long after a fault between
/// them has ended.
inline constexpr std::chrono::milliseconds SettleBound{3000};

/// A gateway is calm this long after the last disturbance of its process; from
/// then on a cut of its paths must not show.
inline constexpr std::chrono::milliseconds ContactBound{3000};

/// Callers of cut gateways may be served this much less often than others',
/// if as many of their requests fail.
inline constexpr double CutServedRatio = 2.0 / 3;
inline constexpr double CutFailures = 10;
inline constexpr double CutFailureShare = 1.0 / 50;

/// Limit on runs of a request that has crashed three upstreams, by gateways
/// that can know of the crashes.
inline constexpr std::size_t MaxRunsAfterCrashes = 3;

/// Streams that callers resume go on at least this much as often as new ones
/// begin, if there are enough of them.
inline constexpr double ResumedShare = 0.5;
inline constexpr int MinResumed = 12;

/// A request that was sent this long before its connection ended was read.
inline constexpr std::chrono::milliseconds LossSlack{200};

/// Bytes after the body of a large answer.
inline constexpr std::size_t LargePadding = 400U << 10U;

/// Events in a complete stream.
inline constexpr int EventsPerStream = 30;

} // namespace crowstep::soak

#endif // CROWSTEP_TESTS_SOAK_LEDGER_H
