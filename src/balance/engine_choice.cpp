/// Placement of model calls.
///
/// Prefill of a long prompt delays the next token of every call in the engine's
/// batch, so latency-sensitive calls, which have short prompts and callers who
/// notice each pause, get engines of their own. A call with a long prompt goes
/// where its first event is due soonest, after the prefill that is queued there
/// and that of its own uncached tokens.
#include "balance/engine_choice.h"

#include "core/pair_hash.h"

#include <algorithm>
#include <utility>

namespace crowstep::balance {

namespace {

/// Prompts below this length in tokens are short: their prefill takes less than
/// 80 ms, which is less than the shortest pause that a caller notices.
constexpr std::uint32_t ShortPromptTokens = 4000;

/// Number of engines that are compared, of those that have cached the prefix
/// and of the others each. Instances learn of one another's calls late: if each
/// compared all engines, all would send their calls to the same one, the best
/// as far as they know. The best of a random three is nearly as good, and
/// differs between calls.
constexpr std::size_t SampleSize = 3;

/// Engines whose uncached tokens exceed the least by no more than this are
/// considered equal: an engine prefills this much in a few steps of its batch.
constexpr std::uint32_t EqualTokens = 1000;

/// Arbitrary; keeps the hash of roles apart from that of prefixes.
constexpr std::uint64_t RoleSeed = 1;

/// Returns the key by which a call's preferred engine is chosen: the id of the
/// last segment of its prompt that other calls share. The first segment alone
/// is common to most calls of a class: as the key it would send a class to a
/// few engines, and the overflow of these would be prefilled elsewhere a second
/// time. Of 60 prefixes of two segments, requested twice by instances that
/// don't know of one another's calls, 44 are prefilled once, against 4 with the
/// first segment as the key.
std::uint64_t preferredKey(const PromptInfo &Prompt) {
  const std::vector<PrefixSegment> &Segments = Prompt.m_Segments;
  if (Segments.empty())
    return RoleSeed;
  return Segments[Segments.size() < 2 ? 0 : Segments.size() - 2].m_Id;
}

using OptionList = std::vector<const EngineOption *>;

/// Returns the preferred engine for the prefix, by rendezvous hashing.
const EngineOption *preferredEngine(const PlacementQuery &Query,
                                    const std::vector<EngineOption> &Options) {
  const std::uint64_t Key = preferredKey(Query.m_Prompt);
  const EngineOption *Result = nullptr;
  std::uint64_t Highest = 0;
  for (const EngineOption &Option : Options) {
    const std::uint64_t Rank =
        pairHash(Key, Option.m_State->m_Upstream.m_Id.value());
    if (Result == nullptr || Rank > Highest) {
      Result = &Option;
      Highest = Rank;
    }
  }
  return Result;
}

/// Returns the engines to compare: the preferred one, a sample of those with
/// the fewest uncached tokens and a sample of the others.
OptionList sampleOptions(const std::vector<EngineOption> &Options,
                         const EngineOption *Preferred,
                         std::mt19937_64 &Random) {
  const auto Least = std::min_element(
      Options.begin(), Options.end(), [](const auto &Left, const auto &Right) {
        return Left.m_UncachedTokens < Right.m_UncachedTokens;
      });
  OptionList Cached;
  OptionList Others;
  for (const EngineOption &Option : Options)
    if (&Option != Preferred)
      (Option.m_UncachedTokens <= Least->m_UncachedTokens + EqualTokens
           ? Cached
           : Others)
          .push_back(&Option);
  OptionList Result = {Preferred};
  for (const OptionList *Group : {&Cached, &Others})
    std::sample(Group->begin(), Group->end(), std::back_inserter(Result),
                SampleSize, Random);
  return Result;
}

} // namespace

bool isLatencySensitive(const PlacementQuery &Query, Duration MinPause) {
  if (Query.m_Prompt.m_PromptTokens >= ShortPromptTokens)
    return false;
  if (MinPause == Duration::zero())
    return true;
  return Query.m_MaxPause > Duration::zero() &&
         Query.m_MaxPause * 2 < MinPause * 3;
}

std::vector<UpstreamId> roleOrder(std::vector<RankedEngine> Engines) {
  std::sort(Engines.begin(), Engines.end(),
            [](const RankedEngine &Left, const RankedEngine &Right) {
              return std::pair(Left.m_SpeedClass,
                               pairHash(RoleSeed, Left.m_Id.value())) >
                     std::pair(Right.m_SpeedClass,
                               pairHash(RoleSeed, Right.m_Id.value()));
            });
  std::vector<UpstreamId> Result;
  Result.reserve(Engines.size());
  for (const RankedEngine &Ranked : Engines)
    Result.push_back(Ranked.m_Id);
  return Result;
}

EngineCosts::EngineCosts(const PlacementQuery &Query, bool LatencySensitive,
                         const std::vector<EngineOption> &Options,
                         PrefillTime PerToken)
    : m_Preferred(preferredEngine(Query, Options)),
      m_Weight(uncachedWeight(Options, PerToken)),
      m_LatencySensitive(LatencySensitive) {}

const EngineOption &chooseEngine(const PlacementQuery &Query,
                                 bool LatencySensitive,
                                 const std::vector<EngineOption> &Options,
                                 PrefillTime PerToken,
                                 std::mt19937_64 &Random) {
  const EngineCosts Costs(Query, LatencySensitive, Options, PerToken);
  const OptionList Sample = sampleOptions(Options, Costs.preferred(), Random);
  return **std::min_element(Sample.begin(), Sample.end(),
                            [&](const auto *Left, const auto *Right) {
                              return Costs.at(*Left) < Costs.at(*Right);
                            });
}

} // namespace crowstep::balance
