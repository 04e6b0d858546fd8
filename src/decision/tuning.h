/// Figures that shape the decisions but are no part of the operators' table.
///
/// They stand in one place so that an experiment changes one line; each says
/// what gets worse when it is set too low or too high.
#ifndef CROWSTEP_DECISION_TUNING_H
#define CROWSTEP_DECISION_TUNING_H

#include "core/clock.h"

#include <cstddef>
#include <cstdint>

namespace crowstep::decision::tuning {

using namespace std::chrono_literals;

// ---- Limits and retries -----------------------------------------------------

/// Seconds of a rate that may come at once; low refuses ordinary jitter.
inline constexpr double BurstSeconds = 1.0;
/// Retries a class may make at once; about one engine's batch, so that the
/// work of one crashed engine can be repeated.
inline constexpr double RetryBurst = 20.0;
/// How long a request whose attempt ended by our doing may bid again free of
/// limits and budgets.
inline constexpr Duration ReturnWindow = 10s;
/// Bids that one pool holds; beyond it lower tiers give up their places.
inline constexpr std::size_t MaxWaiting = 200'000;

// ---- Learned lengths and times ----------------------------------------------

/// Quantile of the output length that is charged before the true one is known.
inline constexpr double LengthQuantile = 0.7;
/// Quantile of grant-to-first-token that must still fit before a target.
inline constexpr double FirstTokenQuantile = 0.9;
/// Samples that a histogram holds before their weight is halved.
inline constexpr double HistogramWindow = 256.0;
/// Samples before a workspace's own lengths are believed over its class's.
inline constexpr std::uint32_t MinSamples = 8;
/// Output tokens assumed while a class has no samples.
inline constexpr std::uint32_t UnknownLength = 128;
/// Share of a new sample in a learned mean.
inline constexpr double MeanGain = 0.1;
/// The same for the time that a slot is held, which varies widely; a higher one
/// makes estimated waits jump with every long answer.
inline constexpr double ServiceGain = 0.01;
/// Time over which arrival rates are averaged.
inline constexpr double OfferedSeconds = 30.0;
inline constexpr Duration OfferedLifetime = 20ms;
/// Cost of a prompt token against a generated one; prompts are read at once.
inline constexpr double PromptTokenCost = 0.1;

// ---- Refusals ---------------------------------------------------------------

/// Bounds of the time to come back that a refusal names.
inline constexpr Duration MinRetryAfter = 100ms;
inline constexpr Duration MaxRetryAfter = 60s;
/// Named when nothing is known of when an upstream comes back.
inline constexpr Duration NoUpstreamRetryAfter = 1s;
/// Times an estimated wait that must fit before a target, where the wait can't
/// go on beyond it: what is admitted in overload is then served in time, and
/// with slack for a floor slot.
inline constexpr double WaitSafety = 2.0;
/// Slots that arrivals ask for, against those there are, from which a pool is
/// overloaded: some bids are refused whatever is done. Lower takes chance for
/// overload, and refuses or gives away slots that bids could have used.
inline constexpr double Overload = 1.1;
/// Share of a pool that is left to a queue while more arrives than is served:
/// short of overload, and in it, where waiting is hopeless.
inline constexpr double BusyDrainShare = 0.1;
inline constexpr double OverloadDrainShare = 0.02;

// ---- Floor and preemption ---------------------------------------------------

/// Longest time for which an unserved floor share is owed.
inline constexpr double FloorSeconds = 60.0;
/// Share above the floor that a class may have ahead of more urgent bids while
/// it is this far behind: without it what preemption took would stay unserved.
inline constexpr double FloorCatchUp = 1.0;
inline constexpr double FloorCatchUpSeconds = 10.0;
/// Slack that a more urgent bid must keep when a floor slot is given.
inline constexpr Duration FloorMargin = 50ms;
/// No floor slot is given for this long after a preemption; else one slot
/// would be given and taken back in turns, and each turn reads the prompt.
inline constexpr Duration FloorPause = 200ms;
/// Share of the slots expected to come free that is relied on before work
/// beyond its class's floor is stopped. Lower stops work that needn't be;
/// higher lets queues of urgent bids grow that can't be caught up with.
inline constexpr double PreemptTrust = 0.4;
/// The same before work within a floor is stopped, or a floor slot is given
/// ahead of more urgent bids. Equal, so that what is given isn't taken back.
inline constexpr double FloorTrust = 0.8;
/// Time from an order to stop until the slot is free, before it is learned.
inline constexpr Duration FirstPreemptDelay = 50ms;
/// Added to the learned delay: the two messages and the loop's jitter.
inline constexpr Duration PreemptMargin = 30ms;
/// An order to stop that was not followed by then is given again.
inline constexpr Duration PreemptPatience = 2s;
/// Preemptions after which a request is stopped only when nothing else is.
inline constexpr std::uint8_t PreemptionsBeforeLast = 3;
/// Victims looked at in one class, and preemptions in one event.
inline constexpr unsigned MaxVictimScan = 32;
inline constexpr unsigned MaxPreemptionsAtOnce = 16;
/// Flows of a class looked at when the first one's bid avoids the free slot.
inline constexpr unsigned MaxFlowScan = 4;

// ---- Grants -----------------------------------------------------------------

/// A grant without any sign of use is freed this long after it lapsed.
inline constexpr Duration UnusedGrantMargin = 1s;
/// Times the learned first-token quantile that a used grant may stay silent.
inline constexpr int SilentFirstTokens = 4;

// ---- Placement --------------------------------------------------------------

/// What a whole prefix match is worth, as a share of a batch: an upstream that
/// is busier by more than this doesn't get the bid for it.
inline constexpr double AffinityWeight = 0.3;
/// Weight of being in another zone: breaks ties between equal loads only.
inline constexpr double OtherZoneCost = 0.02;
/// Prefix hints that a pool holds, and upstreams remembered for each.
inline constexpr std::size_t MaxPrefixes = 65'536;
/// A report is believed for this long.
inline constexpr Duration ReportLifetime = 5s;
/// Own load is compared with a report at its highest over this long, because
/// a report's age is only known to be at least what it says.
inline constexpr Duration OwnLoadWindow = 5s;
/// An upstream that said that it is leaving is believed again when its reports
/// have denied it for this long.
inline constexpr Duration LeavingMemory = 10s;

// ---- Stragglers and failures ------------------------------------------------

/// Times the peers' median at which an upstream is a straggler.
inline constexpr double StragglerFactor = 3.0;
/// Times the median at which a probe counts as good.
inline constexpr double RecoveredFactor = 1.7;
/// Difference from the median below which nobody is a straggler.
inline constexpr double StragglerMinTokenSeconds = 0.005;
inline constexpr double StragglerMinFirstTokenSeconds = 0.05;
/// Samples before an upstream is judged, and good probes before it is back.
inline constexpr std::uint32_t StragglerSamples = 5;
inline constexpr std::uint32_t GoodProbes = 2;
/// Share of a new sample in an upstream's speed.
inline constexpr double SpeedGain = 0.25;
/// Output tokens below which a call says nothing of the time a token.
inline constexpr std::uint32_t MinSpeedTokens = 8;
/// Pause between probes; doubled after each bad one.
inline constexpr Duration FirstProbePause = 2s;
inline constexpr Duration MaxProbePause = 16s;
/// After this long without a probe any class's bid may be one.
inline constexpr Duration ProbeByAnyAfter = 10s;
/// Pause after a connection failed; doubled while failures go on.
inline constexpr Duration FirstBackoff = 500ms;
inline constexpr Duration MaxBackoff = 8s;
/// Answers in a row that an upstream may break off before it is paused.
inline constexpr std::uint32_t FailuresBeforeBackoff = 2;

} // namespace crowstep::decision::tuning

#endif // CROWSTEP_DECISION_TUNING_H
