/// Parameters of the decisions that are not part of the operators' table.
///
/// They are kept in one place, so that an experiment changes one line. Where it
/// matters, the comment says what gets worse when a value is too low or too
/// high.
#ifndef CROWSTEP_DECISION_TUNING_H
#define CROWSTEP_DECISION_TUNING_H

#include "core/clock.h"

#include <cstddef>
#include <cstdint>

namespace crowstep::decision::tuning {

using namespace std::chrono_literals;

// ---- Limits and retries -----------------------------------------------------

/// Seconds' worth of a rate that may arrive at once. Too low, ordinary jitter
/// is refused.
inline constexpr double BurstSeconds = 1.0;
/// Retries that a class may make at once; about one engine's batch, so that the
/// work of one crashed engine can be retried.
inline constexpr double RetryBurst = 20.0;
/// Time for which a request that the pool took its slot from may bid again
/// without limits and budgets.
inline constexpr Duration RebidWindow = 10s;
/// Bids that one pool holds; beyond this lower tiers are displaced.
inline constexpr std::size_t MaxWaiting = 200'000;

// ---- Learned lengths and times ----------------------------------------------

/// Quantile of the output length that is charged before the length is known.
inline constexpr double LengthQuantile = 0.7;
/// Quantile of the time from grant to first token that must remain before a
/// target.
inline constexpr double FirstTokenQuantile = 0.9;
/// Samples in a histogram after which all weights are halved.
inline constexpr double HistogramWindow = 256.0;
/// Samples from which a workspace's own lengths are used instead of its
/// class's.
inline constexpr std::uint32_t MinSamples = 8;
/// Output tokens assumed without samples.
inline constexpr std::uint32_t DefaultOutputLength = 128;
/// Weight of a new sample in a moving average.
inline constexpr double MeanGain = 0.1;
/// The same for the time for which a slot is held, which varies widely; a
/// higher gain makes estimated waits jump with every long answer.
inline constexpr double ServiceTimeGain = 0.01;
/// Time constant of the arrival rates.
inline constexpr double ArrivalRateSeconds = 30.0;
/// Time for which the computed offered load is reused.
inline constexpr Duration OfferedLoadLifetime = 20ms;
/// Cost of a prompt token relative to a generated one; a prompt is processed in
/// parallel.
inline constexpr double PromptTokenCost = 0.1;

// ---- Refusals ---------------------------------------------------------------

/// Bounds of the retry delay stated in a refusal.
inline constexpr Duration MinRetryAfter = 100ms;
inline constexpr Duration MaxRetryAfter = 60s;
/// Retry delay when there is no upstream, or the retry budget is used up.
inline constexpr Duration DefaultRetryAfter = 1s;
/// Factor on an estimated wait that must fit before the target, where a bid
/// can't wait longer. Under overload what is admitted is then served in time,
/// with slack for a floor slot.
inline constexpr double WaitSafetyFactor = 2.0;
/// Ratio of offered load to slots from which a pool counts as overloaded: some
/// bids must be refused. Lower values mistake random peaks for overload, and
/// refuse bids or give away slots that bids could have used.
inline constexpr double OverloadRatio = 1.1;
/// Least share of a pool that serves a queue while more arrives than is served:
/// short of overload, and under overload, where waiting is hopeless.
inline constexpr double BusyDrainShare = 0.1;
inline constexpr double OverloadDrainShare = 0.02;

// ---- Floor and preemption ---------------------------------------------------

/// Longest time for which a floor deficit accumulates.
inline constexpr double MaxFloorDeficitSeconds = 60.0;
/// Share above its floor that a class may use ahead of more urgent bids when it
/// is FloorCatchUpSeconds behind; without it, slots lost to preemption would
/// never be made up for.
inline constexpr double FloorCatchUpShare = 1.0;
inline constexpr double FloorCatchUpSeconds = 10.0;
/// Slack that a more urgent bid must keep when a floor slot is granted.
inline constexpr Duration FloorMargin = 50ms;
/// No floor slot is granted for this long after a preemption; otherwise one
/// slot would be granted and preempted in turns, with a prefill each time.
inline constexpr Duration FloorPause = 200ms;
/// Share of the expected slot releases that is relied on before work beyond its
/// class's floor is stopped. Lower values stop work needlessly; higher ones let
/// queues of urgent bids grow too long to be caught up with.
inline constexpr double PreemptTrustedShare = 0.4;
/// The same before work within its floor is stopped, and before a floor slot is
/// granted ahead of more urgent bids. Both use one value, so that a slot
/// granted this way is not preempted at once.
inline constexpr double FloorTrustedShare = 0.8;
/// Time from an order to stop until the slot is free, until it is measured.
inline constexpr Duration InitialPreemptDelay = 50ms;
/// Added to the measured delay for the two messages and the event loop's
/// jitter.
inline constexpr Duration PreemptMargin = 30ms;
/// After this long, work that did not obey an order to stop is preemptible
/// again.
inline constexpr Duration StopOrderTimeout = 2s;
/// Preemptions from which a request is stopped only as a last resort.
inline constexpr std::uint8_t PreemptionsBeforeLastResort = 3;
/// Running requests examined in one class, and preemptions per event.
inline constexpr unsigned MaxVictimScan = 32;
inline constexpr unsigned MaxPreemptionsAtOnce = 16;
/// Flows of a lane examined when the bids of earlier ones avoid the only free
/// upstream.
inline constexpr unsigned MaxFlowScan = 4;

// ---- Grants -----------------------------------------------------------------

/// A grant without a sign of use is freed this long after its validity ended.
inline constexpr Duration UnusedGrantMargin = 1s;
/// Factor on the first-token quantile for which a grant in use may be silent.
inline constexpr int SilenceFirstTokenFactor = 4;

// ---- Placement --------------------------------------------------------------

/// Value of a full prefix match as a share of an upstream's slots: an upstream
/// that is busier by more than this does not get the bid.
inline constexpr double AffinityWeight = 0.3;
/// Cost of another availability zone: breaks ties between equal loads only.
inline constexpr double OtherZoneCost = 0.02;
/// Prefixes with hints that a pool keeps.
inline constexpr std::size_t MaxPrefixes = 65'536;
/// Age up to which a load report counts.
inline constexpr Duration ReportLifetime = 5s;
/// A load report is compared with the pool's own highest load over this time,
/// because a report states only its least age.
inline constexpr Duration OwnLoadWindow = 5s;
/// An upstream that was last reported to be draining this long ago may count as
/// available again. Also the silence after which a lower report number means a
/// new incarnation.
inline constexpr Duration DrainingHoldTime = 10s;

// ---- Stragglers and failures ------------------------------------------------

/// Multiple of the peers' median slowness from which an upstream is a
/// straggler.
inline constexpr double StragglerFactor = 3.0;
/// Multiple of the median up to which a probe is good.
inline constexpr double RecoveredFactor = 1.7;
/// Differences from the mean below these are never slow.
inline constexpr double StragglerMinTokenSeconds = 0.005;
inline constexpr double StragglerMinFirstTokenSeconds = 0.05;
/// Samples before an upstream is judged, and good probes before it is restored.
inline constexpr std::uint32_t MinStragglerSamples = 5;
inline constexpr std::uint32_t GoodProbesToRestore = 2;
/// Weight of a new sample in an upstream's slowness.
inline constexpr double SpeedGain = 0.25;
/// Calls with fewer output tokens yield no sample of the time per token.
inline constexpr std::uint32_t MinSpeedTokens = 8;
/// Interval between probes; doubled after each bad one.
inline constexpr Duration InitialProbeInterval = 2s;
inline constexpr Duration MaxProbeInterval = 16s;
/// After this long without a probe, bids of any class may probe.
inline constexpr Duration ProbeByAnyAfter = 10s;
/// Pause after a failed connection; doubled with each further failure.
inline constexpr Duration InitialBackoff = 500ms;
inline constexpr Duration MaxBackoff = 8s;
/// Consecutive failed calls before an upstream is paused; a failed connection
/// pauses it at once.
inline constexpr std::uint32_t FailuresBeforeBackoff = 2;

} // namespace crowstep::decision::tuning

#endif // CROWSTEP_DECISION_TUNING_H
