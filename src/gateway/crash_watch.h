/// Detects whether an upstream where calls broke has gone down, and maintains
/// the directory's list of quarantined requests and segments.
#ifndef CROWSTEP_GATEWAY_CRASH_WATCH_H
#define CROWSTEP_GATEWAY_CRASH_WATCH_H

#include "balance/balancer.h"
#include "core/metrics.h"
#include "core/scheduler.h"
#include "gateway/call_transport.h"
#include "gateway/directory.h"
#include "http/upstream_call.h"

#include <deque>
#include <map>
#include <memory>

namespace crowstep::gateway {

class CrashWatch final : private quarantine::QuarantineListener {
public:
  /// A machine that is up accepts or refuses a connection within this time.
  static constexpr Duration ProbeTimeout = std::chrono::milliseconds(500);

  /// Within this time other instances say whether they reach an upstream that
  /// refuses connections from here.
  static constexpr Duration PathCheckTime = std::chrono::milliseconds(100);

  /// Interval of checks for quarantined requests that are not listed, where
  /// another instance observed the last crash; that one lists them at once.
  static constexpr Duration ListCheckInterval = std::chrono::seconds(1);

  /// Delay before a write that has not changed the list is repeated: changes
  /// of the list arrive seconds late.
  static constexpr Duration ListRetryInterval = std::chrono::seconds(4);

  /// The list is checked for this long after the last crash observed here:
  /// another instance may observe the crash that leads to the quarantine.
  static constexpr Duration ListCheckPeriod = std::chrono::seconds(10);

  CrashWatch(const Clock &Time, Scheduler &Timers, balance::Balancer &Balancer,
             UpstreamProber &Prober, Metrics &Stats);
  ~CrashWatch() override;
  CrashWatch(const CrashWatch &) = delete;
  CrashWatch &operator=(const CrashWatch &) = delete;

  /// \p Target outlives this object.
  void start(Directory &Target) { m_Directory = &Target; }

  /// Lets refused probes be checked for \p PathCheckTime: on a lost path they
  /// say nothing about the upstream. \p Paths outlives this object.
  void setPathView(PathView &Paths) { m_Paths = &Paths; }

  /// Handles a broken connection of a call to the upstream called \p Name:
  /// probes it, unless a probe is running.
  void handleBrokenCall(UpstreamId Id, const std::string &Name,
                        const Address &Where);

  /// Another process answers at the address of the upstream called \p Name.
  void handleReplaced(UpstreamId Id, const std::string &Name);

  /// Takes the whole list of upstreams. Those that are no longer listed, or
  /// were started again, and were not draining count as down.
  void upstreamsChanged(const std::vector<Upstream> &All);

  /// Takes the whole list of quarantined requests and segments.
  void quarantineChanged(const std::set<ContentHash> &Listed);

private:
  /// A probe that is running.
  struct RunningProbe {
    std::string m_Upstream; ///< Name; the upstream may be unlisted meanwhile.
    TimePoint m_Began;      ///< Start of the probe.
    std::unique_ptr<UpstreamProbe> m_Probe; ///< Never null.
  };

  /// An upstream that refused a probe.
  struct RefusedProbe {
    UpstreamId m_Id;        ///< Of the upstream.
    std::string m_Upstream; ///< Name.
    TimePoint m_Began;      ///< Start of the probe.
    TimePoint m_CheckedAt;  ///< When the answers about the path are known.
  };

  /// A listed upstream.
  struct ListedUpstream {
    std::string m_Name;          ///< Of the upstream.
    bool m_Draining = false;     ///< Its removal is no crash.
    IncarnationId m_Incarnation; ///< The listed process.
  };

  void onQuarantined(const ContentHash &Suspect, quarantine::SuspectKind Kind,
                     std::size_t Crashes, Duration Span) override;
  void onCleared(const ContentHash &Suspect, quarantine::SuspectKind Kind,
                 quarantine::ClearReason Reason) override;
  void onUpdateDropped() override;
  void updateGauges();
  void handleProbeResult(UpstreamId Id, ConnectOutcome Result);
  void checkPath(const RefusedProbe &Refused);
  void handleCheckedPaths();
  void recordUpstreamDown(UpstreamId Id, const std::string &Name,
                          std::string_view Reason);
  void syncQuarantineList();

  const Clock &m_Clock;             ///< Outlives this object.
  balance::Balancer &m_Balancer;    ///< Outlives this object.
  UpstreamProber &m_Prober;         ///< Outlives this object.
  Directory *m_Directory = nullptr; ///< Never null after start().
  PathView *m_Paths = nullptr;      ///< Null: refused probes count at once.
  Counter &m_Crashes;               ///< Upstreams that went down under calls.
  Gauge &m_Quarantined;             ///< Requests and segments.
  Gauge &m_QuarantinedSegments;     ///< Among these.
  Counter &m_DroppedUpdates;        ///< For lack of room.
  std::map<UpstreamId, RunningProbe> m_Probes;      ///< By upstream.
  std::vector<RunningProbe> m_EndedProbes;          ///< To be destroyed.
  std::deque<RefusedProbe> m_RefusedProbes;         ///< Oldest first.
  std::map<UpstreamId, ListedUpstream> m_Upstreams; ///< As last listed.
  TimePoint m_LastCrashAt{};                        ///< Observed here.
  Timer m_ListTimer;                                ///< Next check of the list.
  Timer m_CleanupTimer;                             ///< Destroys ended probes.
  Timer m_PathTimer; ///< Runs while m_RefusedProbes is not empty.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_CRASH_WATCH_H
