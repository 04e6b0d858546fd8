/// Which upstreams this instance can reach by itself.
///
/// A path leads from an instance to an upstream. That it is lost and that the
/// upstream is down are two facts which look alike from one instance. A path
/// counts as lost if this instance fails to connect, or its request is not
/// acknowledged, and another instance connects to the same upstream later. An
/// upstream that acknowledges requests and is silent is no evidence: it may be
/// busy.
///
/// Upstreams on two hosts that are lost show that the fault is near this
/// instance. All others that have sent nothing since are then presumed
/// lost, so that their callers need not find out one by one.
///
/// A lost path is probed with connections of its own, so no request pays for
/// finding out. It returns after it has been up for some time, with a growing
/// share of the calls; the time doubles with each loss in quick succession.
#ifndef CROWSTEP_RELAY_PATH_MONITOR_H
#define CROWSTEP_RELAY_PATH_MONITOR_H

#include "core/clock.h"
#include "http/upstream_connection.h"
#include "upstream_type.h"

#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace crowstep::relay {

/// Why a path counts as lost.
enum class PathEvidence : std::uint8_t {
  Refused,        ///< A connection was refused.
  NoAnswer,       ///< A connection was not answered in time.
  Unacknowledged, ///< The bytes of a request were not acknowledged.
  Presumed,       ///< The paths to upstreams on other hosts are lost.
};

/// Returns the stable name in logs, such as "no_answer".
std::string_view nameOf(PathEvidence Evidence);

/// A path that has just been lost.
struct LostPath {
  UpstreamId m_Upstream;   ///< Where it led.
  std::string m_Name;      ///< Of the upstream.
  PathEvidence m_Evidence; ///< Why it counts as lost.
  Duration m_FailedFor{};  ///< Since the first failed attempt began.
};

/// Acts for a PathMonitor. No method may call back into it.
class PathActions {
public:
  virtual ~PathActions() = default;

  /// Connects to an upstream; PathMonitor::recordProbe() takes the outcome.
  virtual void probePath(UpstreamId Upstream, const Address &Where) = 0;

  /// Asks other instances which of \p Upstreams they can connect to;
  /// PathMonitor::recordPeerReach() takes the answers.
  virtual void askPeers(const std::vector<UpstreamId> &Upstreams) = 0;

  /// Paths are still lost, \p Some of them; called every CheckInterval.
  virtual void pathsStayLost(const std::vector<UpstreamId> &Some) = 0;

  virtual void pathLost(const LostPath &Lost) = 0;

  /// The path was lost for \p LostFor and is used again.
  virtual void pathRegained(UpstreamId Upstream, const std::string &Name,
                            Duration LostFor) = 0;
};

class PathMonitor {
public:
  /// Interval of tick() while isBusy().
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);

  /// Minimum time between two checks that delayed or failed calls cause.
  static constexpr Duration CheckInterval = std::chrono::milliseconds(300);

  /// Other upstreams that are probed beside the one that causes a check.
  static constexpr std::size_t ComparedUpstreams = 3;

  /// Questions about single upstreams that can be asked at once, and a second
  /// from then on: a crash of many upstreams must not become a flood of probes.
  static constexpr double QuestionBurst = 8;
  static constexpr double QuestionsPerSecond = 20;

  /// A failure that no other instance has contradicted is forgotten.
  static constexpr Duration FailureLifetime = std::chrono::seconds(3);

  /// Losses within this time count as one event.
  static constexpr Duration EventSpan = std::chrono::seconds(2);

  /// Interval of the probes of a lost path, and of a path that has answered
  /// one.
  static constexpr Duration LostProbeInterval = std::chrono::milliseconds(500);
  static constexpr Duration ProbeInterval = std::chrono::milliseconds(250);

  /// Probes a tick: few while none connects, as each takes a descriptor.
  static constexpr std::size_t MaxProbes = 3;
  static constexpr std::size_t MaxProbesAfterRegain = 32;

  /// A lost path is used again after its probes have connected for this long,
  /// doubled for each loss within LossMemory before.
  static constexpr Duration MinStableTime = std::chrono::milliseconds(250);
  static constexpr unsigned MaxDoublings = 5;
  static constexpr Duration LossMemory = std::chrono::seconds(30);

  /// Time in which the share of direct calls grows from none to all.
  static constexpr Duration RampTime = std::chrono::seconds(2);

  /// \p Actions outlives the monitor; \p Seed differs between instances.
  PathMonitor(PathActions &Actions, std::uint64_t Seed)
      : m_Actions(Actions), m_Random(Seed) {}

  void setUpstreams(const std::vector<Upstream> &List, TimePoint Now);

  /// A connection to \p Upstream was established.
  void recordConnected(UpstreamId Upstream, TimePoint Now);

  /// Bytes, or the acknowledgement of all sent ones, came from \p Upstream.
  void recordBytesReceived(UpstreamId Upstream, TimePoint Now);

  /// A call that began at \p Began is not connected or acknowledged yet.
  void recordDelay(UpstreamId Upstream, TimePoint Now);

  /// A call that began at \p Began failed for want of a path, or of the
  /// upstream.
  void recordFailure(UpstreamId Upstream, PathEvidence Evidence,
                     TimePoint Began, TimePoint Now);

  /// A probe that began at \p Began has ended.
  void recordProbe(UpstreamId Upstream, ConnectOutcome Outcome, TimePoint Began,
                   TimePoint Now);

  /// Another instance has connected to \p Upstream after it was asked.
  void recordPeerReach(UpstreamId Upstream, TimePoint Now);

  /// Probes lost paths and asks other instances, as far as due.
  void tick(TimePoint Now);

  /// Returns whether tick() has anything to do.
  [[nodiscard]] bool isBusy() const { return m_BusyCount > 0; }

  /// Returns whether the path is lost, or not yet fully in use again.
  [[nodiscard]] bool isLost(UpstreamId Upstream) const;

  /// Returns whether a call should go through another instance. \p Random is in
  /// [0, 1).
  [[nodiscard]] bool prefersRelay(UpstreamId Upstream, double Random,
                                  TimePoint Now) const;

  [[nodiscard]] std::size_t lostCount() const { return m_LostCount; }

private:
  enum class Phase : std::uint8_t {
    Open,      ///< In use.
    Lost,      ///< Not in use.
    Returning, ///< In use for a growing share of the calls.
  };

  /// The path to one upstream.
  struct Path {
    std::string m_Name;                               ///< Of the upstream.
    Address m_Address;                                ///< Of the upstream.
    Phase m_Phase = Phase::Open;                      ///< See Phase.
    PathEvidence m_Evidence = PathEvidence::NoAnswer; ///< Of the last failure.
    TimePoint m_ConnectedAt{};   ///< Last established connection.
    TimePoint m_ReceivedAt{};    ///< See recordBytesReceived().
    TimePoint m_FailedSince{};   ///< Begin of the first failure; not set: none.
    TimePoint m_AskedAt{};       ///< Other instances were asked about it.
    TimePoint m_PeerReachedAt{}; ///< See recordPeerReach().
    TimePoint m_LostAt{};        ///< Begin of the last loss.
    TimePoint m_StableSince{};   ///< First of the probes that connected; not
                                 ///< set: the last one failed.
    TimePoint m_ReturnedAt{};    ///< Begin of Returning.
    TimePoint m_NextProbeAt{};   ///< Of a lost path.
    unsigned m_Losses = 0;       ///< Each within LossMemory of a return.
    bool m_IsProbing = false;    ///< A probe is running.
  };

  Path *find(UpstreamId Upstream);
  [[nodiscard]] const Path *find(UpstreamId Upstream) const;
  static bool isBusy(const Path &Entry) {
    return Entry.m_Phase != Phase::Open || Entry.m_FailedSince != TimePoint();
  }
  void updateCounts();
  void check(UpstreamId Suspect, TimePoint Now);
  void askAbout(UpstreamId Suspect, Path &Entry, TimePoint Now);
  bool takeQuestion(TimePoint Now);
  void probe(UpstreamId Upstream, Path &Entry);
  void evaluate(UpstreamId Upstream, Path &Entry, TimePoint Now);
  void lose(UpstreamId Upstream, Path &Entry, PathEvidence Evidence,
            TimePoint Now);
  void presumeOthersLost(TimePoint Since, TimePoint Now);
  void regain(UpstreamId Upstream, Path &Entry, TimePoint Now);
  void handleProbeOfLost(UpstreamId Upstream, Path &Entry, bool Connected,
                         TimePoint Now);
  void probeLostPaths(TimePoint Now);
  void reportLostPaths(TimePoint Now);
  [[nodiscard]] static Duration stableTime(const Path &Entry);

  PathActions &m_Actions;             ///< Outlives this object.
  std::mt19937_64 m_Random;           ///< For the choice of upstreams.
  std::map<UpstreamId, Path> m_Paths; ///< To all listed upstreams.
  std::size_t m_BusyCount = 0;        ///< Paths with isBusy().
  std::size_t m_LostCount = 0;        ///< Paths that are not Open.
  TimePoint m_CheckedAt{};            ///< Last check().
  TimePoint m_ReportedAt{};           ///< Last reportLostPaths().
  double m_Questions = QuestionBurst; ///< That may be asked now.
  TimePoint m_RefilledAt{};           ///< Time of m_Questions.
  TimePoint m_RegainedAt{};           ///< Last regained path.
  UpstreamId m_LastProbed;            ///< tick() goes on behind it.
};

} // namespace crowstep::relay

#endif // CROWSTEP_RELAY_PATH_MONITOR_H
