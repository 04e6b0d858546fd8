/// Longest predicted wait of a call at an engine.
#include "balance/wait_limit.h"

#include <algorithm>

namespace crowstep::balance {

namespace {

/// A call is refused at once if the prefill queued before it takes longer than
/// this share of its latency target: it would be late, and its own prefill
/// would delay calls that can still be in time. Its own prompt is not counted,
/// so that long prompts are not refused where shorter ones are accepted.
constexpr double MaxWaitInTargets = 0.75;

/// Least limit on that wait: callers with short targets wait longer than these
/// before they give up, and a late answer is still of use to them.
constexpr Duration MinWaitLimit = std::chrono::milliseconds(1200);

} // namespace

Duration waitLimitOf(const PlacementQuery &Query) {
  return Query.m_WaitLimit.value_or(
      std::max(MinWaitLimit, std::chrono::duration_cast<Duration>(
                                 Query.m_LatencyTarget * MaxWaitInTargets)));
}

} // namespace crowstep::balance
