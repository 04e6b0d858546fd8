/// Finds out whether an upstream where calls broke has gone down, and keeps the
/// directory's list of quarantined requests.
#ifndef CROWSTEP_GATEWAY_CRASH_WATCH_H
#define CROWSTEP_GATEWAY_CRASH_WATCH_H

#include "balance/balancer.h"
#include "core/metrics.h"
#include "core/scheduler.h"
#include "gateway/directory.h"
#include "http/upstream_call.h"

#include <map>
#include <memory>

namespace crowstep::gateway {

class CrashWatch final : private balance::QuarantineListener {
public:
  /// A machine that is there answers a connection within this time.
  static constexpr Duration ProbeLimit = std::chrono::milliseconds(500);

  /// Between two looks for quarantined requests to list, where the last crash
  /// was seen by another instance; that one lists them at once.
  static constexpr Duration ListAfter = std::chrono::seconds(1);

  /// Until a request that is not seen on the list is written again: changes of
  /// the list come seconds late.
  static constexpr Duration ListAgainAfter = std::chrono::seconds(4);

  /// The list is kept for this long after the last crash seen here: another
  /// instance may see the crash that leads to the quarantine.
  static constexpr Duration KeepWatchFor = std::chrono::seconds(10);

  CrashWatch(const Clock &Time, Scheduler &Timers, balance::Balancer &Loads,
             UpstreamProber &Prober, Metrics &Stats);
  ~CrashWatch() override;
  CrashWatch(const CrashWatch &) = delete;
  CrashWatch &operator=(const CrashWatch &) = delete;

  /// \p List outlives this object.
  void start(Directory &List) { m_List = &List; }

  /// A call's connection to \p Which broke.
  void callBroken(UpstreamId Which, const Address &Where);

  /// Takes the whole list of upstreams: those that have gone without leaving
  /// went down.
  void upstreamsChanged(const std::vector<Upstream> &All);

  /// Takes the whole list of quarantined requests.
  void quarantineChanged(const std::set<ContentHash> &Listed);

private:
  /// What is known of a listed upstream.
  struct Listed {
    std::string m_Name;     ///< As it calls itself.
    bool m_Leaving = false; ///< Its end is no crash.
  };

  void quarantined(const ContentHash &Request, std::size_t Crashes,
                   Duration Span) override;
  void cleared(const ContentHash &Request, balance::ClearReason Why) override;
  void probed(UpstreamId Which, ConnectOutcome Result);
  void upstreamDown(UpstreamId Which, std::string_view Why);
  void keepList();

  const Clock &m_Clock;          ///< Outlives this object.
  balance::Balancer &m_Balancer; ///< Outlives this object.
  UpstreamProber &m_Prober;      ///< Outlives this object.
  Directory *m_List = nullptr;   ///< Never null after start().
  Counter &m_Crashes;            ///< Upstreams that went down under calls.
  Gauge &m_Quarantined;          ///< Requests.
  std::map<UpstreamId, std::unique_ptr<UpstreamProbe>> m_Probes; ///< Running.
  std::vector<std::unique_ptr<UpstreamProbe>> m_Ended; ///< To be destroyed.
  std::map<UpstreamId, Listed> m_Upstreams;            ///< As listed last.
  TimePoint m_LastCrash{};                             ///< That was seen here.
  Timer m_KeepList; ///< Runs while the list may change.
  Timer m_Sweep;    ///< Destroys what has ended.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_CRASH_WATCH_H
