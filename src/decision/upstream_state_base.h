/// The state of one upstream in the pool: slots, load, health.
#ifndef CROWSTEP_DECISION_UPSTREAM_STATE_BASE_H
#define CROWSTEP_DECISION_UPSTREAM_STATE_BASE_H

#include "decision/decision_type.h"
#include "decision/learned.h"
#include "upstream_type.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace crowstep::decision {

/// The highest number of slots used by the pool over a sliding window.
class PeakWindow {
public:
  void add(std::uint32_t Used, TimePoint Now);
  [[nodiscard]] std::uint32_t peak(TimePoint Now) const;

private:
  using Sample = std::pair<TimePoint, std::uint32_t>;
  std::deque<Sample> m_Samples; ///< In order of time; values strictly decrease.
};

/// One upstream. After it left the list it is kept until its work has ended and
/// it is no longer held as draining.
struct UpstreamState {
  Upstream m_Upstream;                ///< As last listed.
  std::uint32_t m_Slots = 0;          ///< From its kind.
  bool m_Listed = false;              ///< In the current list.
  bool m_IsDrainedByOperator = false; ///< By operators.
  /// m_IsDraining was reported by the upstream itself, not by the list.
  bool m_IsSelfReported = false;
  /// According to the list, its answers or its load reports.
  bool m_IsDraining = false;
  TimePoint m_DrainingSince; ///< When that was last reported.
  /// Identifies its prefix hints; a new tag drops them all.
  std::uint32_t m_HintTag = 0;

  /// Grants not ended, including those ordered to stop.
  std::uint32_t m_UsedSlots = 0;
  /// Output tokens expected of these grants, >= 0.
  double m_OutstandingTokens = 0.0;
  double m_ReleaseRate = 0.0; ///< Slots expected to be released per second.
  PeakWindow m_PeakUsedSlots; ///< Of m_UsedSlots.

  /// Reported load that the pool did not grant.
  std::uint32_t m_ExternalLoad = 0;
  TimePoint m_ExternalLoadExpiry; ///< End of the report's lifetime.
  /// Of the last accepted load report.
  std::optional<std::uint64_t> m_LastReportSequence;
  TimePoint m_LastReportAt; ///< When that report arrived.
  /// Of the last cache event.
  std::optional<std::uint64_t> m_LastCacheSequence;

  /// Failed calls since the last success.
  std::uint32_t m_ConsecutiveFailures = 0;
  Duration m_Backoff{};     ///< Last pause; 0 after a success.
  TimePoint m_BackoffUntil; ///< Not used before, if others are healthy.
  /// Ratio of its times to the means of the classes.
  MovingAverage m_Slowness{tuning::SpeedGain};
  bool m_Ejected = false;           ///< A straggler: gets probes only.
  std::optional<RequestId> m_Probe; ///< Running; at most one at a time.
  /// Good probes since the last bad one.
  std::uint32_t m_ConsecutiveGoodProbes = 0;
  Duration m_ProbeInterval{}; ///< Until the next probe, after a bad one.
  TimePoint m_NextProbe;      ///< Earliest time of the next probe.
  TimePoint m_LastProbe;      ///< Start of the last probe, or the ejection.

  /// Tells whether it may get any work.
  [[nodiscard]] bool isUsable() const {
    return m_Listed && !m_IsDrainedByOperator && !m_IsDraining;
  }
  [[nodiscard]] bool isHealthy(TimePoint Now) const {
    return isUsable() && !m_Ejected && Now >= m_BackoffUntil;
  }
  [[nodiscard]] std::uint32_t externalLoad(TimePoint Now) const {
    return Now < m_ExternalLoadExpiry ? m_ExternalLoad : 0;
  }
  [[nodiscard]] bool hasFreeSlot(TimePoint Now) const {
    return m_UsedSlots + externalLoad(Now) < m_Slots;
  }
  /// Returns its load as a fraction of its slots.
  [[nodiscard]] double load(TimePoint Now) const;
};

/// Tells whether \p Candidate can run \p Model. An empty list of models, or an
/// empty name, means any; so does a plain service.
bool hasModel(const Upstream &Candidate, const std::string &Model);

/// Tells whether stopped work of \p State can resume elsewhere from its tokens.
bool canResume(const UpstreamState &State);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_UPSTREAM_STATE_BASE_H
