/// Placement of model calls.
///
/// Reading a long prompt delays the next token of every call in the engine's
/// batch, so calls with short prompts, whose callers notice each pause, get
/// engines of their own. Calls whose prompts begin alike go to the same one or
/// two engines, where the beginning has been read before.
#include "balance/engine_choice.h"

#include "core/pair_hash.h"

#include <algorithm>

namespace crowstep::balance {

namespace {

/// Prompts below this count as short: an engine reads one in under 80 ms, less
/// than the shortest pause that a caller notices.
constexpr std::uint32_t ShortPrompt = 4000;

/// Share of a service's engines that take short prompts only.
constexpr double ShortShare = 1.0 / 3;

/// Engines that keep a prompt's beginning: two can share a burst, and one is
/// left when the other goes.
constexpr std::size_t HomesOfAPrefix = 2;

/// A report older than this says nothing about now.
constexpr Duration ReportLife = std::chrono::milliseconds(1500);

/// Any number; sets this hash apart from that of prompts.
constexpr std::uint64_t RoleSeed = 1;

using States = std::vector<UpstreamState *>;

bool isShort(const PlacementQuery &Query) {
  return Query.m_Prompt.m_PromptTokens < ShortPrompt;
}

/// Sorts by a hash, so that every instance has the same order.
void sortByRank(States &List, std::uint64_t Key) {
  std::sort(List.begin(), List.end(), [&](const auto *Left, const auto *Right) {
    return pairHash(Key, Left->m_Upstream.m_Id.value()) >
           pairHash(Key, Right->m_Upstream.m_Id.value());
  });
}

/// Returns the engines of \p From whose role takes the call.
States ofRole(const PlacementQuery &Query, States From) {
  if (From.size() < 2)
    return From;
  sortByRank(From, RoleSeed);
  const auto Count = static_cast<std::ptrdiff_t>(
      std::max<double>(1, ShortShare * static_cast<double>(From.size())));
  if (isShort(Query))
    return {From.begin(), From.begin() + Count};
  return {From.begin() + Count, From.end()};
}

UpstreamState *leastLoaded(const States &From, TimePoint Now) {
  return *std::min_element(
      From.begin(), From.end(), [&](const auto *Left, const auto *Right) {
        return estimatedCalls(*Left, Now) < estimatedCalls(*Right, Now);
      });
}

} // namespace

double estimatedCalls(const UpstreamState &State, TimePoint Now) {
  const auto Own = static_cast<double>(State.m_Running);
  if (!State.m_Load || Now - State.m_LoadAt > ReportLife)
    return Own;
  const double Reported = State.m_Load->m_Running + State.m_Load->m_Waiting;
  return std::max(Own, Reported + Own - State.m_RunningAtLoad);
}

UpstreamState *chooseEngine(const PlacementQuery &Query,
                            const std::vector<UpstreamState *> &From,
                            TimePoint Now) {
  States List = ofRole(Query, From);
  if (isShort(Query) || Query.m_Prompt.m_Parts.empty())
    return leastLoaded(List, Now);
  sortByRank(List, Query.m_Prompt.m_Parts.front().m_Id);
  List.resize(std::min(List.size(), HomesOfAPrefix));
  return leastLoaded(List, Now);
}

} // namespace crowstep::balance
