/// An upstream as the pool serves with it: slots, load, health.
#ifndef CROWSTEP_DECISION_SERVING_BASE_H
#define CROWSTEP_DECISION_SERVING_BASE_H

#include "decision/learned.h"
#include "upstream_type.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace crowstep::decision {

/// The highest number of own grants over a sliding window.
class PeakWindow {
public:
  void add(std::uint32_t Used, TimePoint Now);
  [[nodiscard]] std::uint32_t peak(TimePoint Now) const;

private:
  using Sample = std::pair<TimePoint, std::uint32_t>;
  std::deque<Sample> m_Samples; ///< By time; each value lower than the last.
};

/// One upstream. Lives on after it left the list until its work has ended.
struct Serving {
  Upstream m_Upstream;       ///< As listed last.
  std::uint32_t m_Slots = 0; ///< From its kind.
  bool m_Listed = false;     ///< In the list just now.
  bool m_Drained = false;    ///< By operators.
  bool m_IsOwnWord = false;  ///< m_SaysLeaving is its own word, not the list's.
  bool m_SaysLeaving = false;  ///< By the list, its refusals or reports.
  TimePoint m_LeavingSince;    ///< When it said so last.
  std::uint32_t m_HintTag = 0; ///< Names its prefix hints; a new one drops all.

  std::uint32_t m_Used = 0;   ///< Grants not ended, those stopping included.
  double m_Outstanding = 0.0; ///< Output tokens expected of them, >= 0.
  double m_FreeRate = 0.0;    ///< Slots that come free a second, expected.
  PeakWindow m_Peak;          ///< Of m_Used.

  std::uint32_t m_External = 0; ///< Load that isn't ours, as reported.
  TimePoint m_ExternalUntil;    ///< Believed until then.
  std::optional<std::uint64_t> m_ReportSequence; ///< Of the last one taken.
  TimePoint m_ReportAt;                          ///< When that was.
  std::optional<std::uint64_t> m_CacheSequence;  ///< Of the last cache event.

  std::uint32_t m_Failures = 0;       ///< In a row.
  Duration m_Backoff{};               ///< Last pause; 0 after a success.
  TimePoint m_BackoffUntil;           ///< Avoided until then.
  Mean m_Slowness{tuning::SpeedGain}; ///< Times against the class's means.
  bool m_Ejected = false;             ///< A straggler; gets probes only.
  bool m_ProbeRunning = false;        ///< One at a time.
  std::uint32_t m_GoodProbes = 0;     ///< In a row.
  Duration m_ProbePause{}; ///< Until the next probe, after a bad one.
  TimePoint m_NextProbe;   ///< Not before.
  TimePoint m_LastProbe;   ///< Start of the last one, or the ejection.

  /// Tells whether it may get any work at all.
  [[nodiscard]] bool isUsable() const {
    return m_Listed && !m_Drained && !m_SaysLeaving;
  }
  [[nodiscard]] bool isHealthy(TimePoint Now) const {
    return isUsable() && !m_Ejected && Now >= m_BackoffUntil;
  }
  [[nodiscard]] std::uint32_t external(TimePoint Now) const {
    return Now < m_ExternalUntil ? m_External : 0;
  }
  [[nodiscard]] bool hasFreeSlot(TimePoint Now) const {
    return m_Used + external(Now) < m_Slots;
  }
  /// Returns its load as a share of its slots.
  [[nodiscard]] double load(TimePoint Now) const;
};

/// Tells whether \p Of can run the model; an empty list of models means any.
bool hasModel(const Upstream &Candidate, const std::string &Model);

/// Tells whether stopped work can go on elsewhere from its tokens.
bool canResume(const Serving &State);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_SERVING_BASE_H
