/// Placement of model calls.
///
/// Reading a long prompt delays the next token of every call in the engine's
/// batch, so calls with short prompts, whose callers notice each pause, get
/// engines of their own. A call with a long prompt goes where its first event
/// comes soonest: after the prompts that wait there, and after what must be
/// read of its own.
#include "balance/engine_choice.h"

#include "core/pair_hash.h"

#include <algorithm>

namespace crowstep::balance {

namespace {

/// Prompts below this count as short: an engine reads one in under 80 ms, less
/// than the shortest pause that a caller notices.
constexpr std::uint32_t ShortPromptTokens = 4000;

/// What must be read of a call's own prompt counts this many times while the
/// engines have little to do: it delays this call once, and every call behind
/// it as well.
constexpr double UncachedWeight = 4.5;

/// It counts this much more where all slots of the engines are taken, and less
/// by the square of the share that is. Load: a burst that takes most slots.
/// Calls then went wherever a slot was free, their beginnings were read once
/// more there, calls lasted longer and took more slots.
constexpr double ScarceSlotWeight = 8;

/// The engine that comes first by hash is preferred by this share of what must
/// be read. Instances that place calls with one beginning within the same
/// tenth of a second don't know of one another, and so read it once.
constexpr double PreferredDiscount = 0.7;

/// Engines that are compared, of those that keep the prompt's beginning and of
/// those that don't. Instances learn of one another's calls late, and all that
/// compared all engines would send their calls to the same one, the best by
/// what they know; the best of three by chance is nearly as good, and another
/// one for each call.
constexpr std::size_t SampleSize = 3;

/// Prompts that differ by less in what must be read are alike: an engine reads
/// this much in the time of a few steps of its batch.
constexpr std::uint32_t EqualTokens = 1000;

/// Less urgent prompts are read between the tokens of a more urgent call and
/// make its pauses longer: they count by this part.
constexpr double LaterPrefillWeight = 0.3;

/// A call whose prompt is read between the tokens of a more urgent one makes
/// that one's pauses longer: it counts as this many tokens.
constexpr double TokensPerMoreUrgent = 300;

/// A long prompt makes the tight calls that it is read beside late. Each counts
/// as this many tokens, so that another engine is taken unless some tens of a
/// second must be waited there. The line between the roles moves within a
/// second, and streams that began before run on for six.
constexpr double TokensPerLatencySensitive = 5000;

/// Any number; sets this hash apart from that of prompts.
constexpr std::uint64_t RoleSeed = 1;

/// Returns what a call's home goes by: the last part of its prompt that other
/// calls share. The first part alone is common to most calls of a class: homes
/// by it send a class to a few engines, and what spills from these is read
/// elsewhere a second time. Of 60 beginnings of two parts, asked for twice by
/// instances that don't know of one another, 44 are read once, and 4 with homes
/// by the first part.
std::uint64_t preferredKey(const PromptSize &Prompt) {
  const std::vector<PromptPart> &Segments = Prompt.m_Parts;
  if (Segments.empty())
    return RoleSeed;
  return Segments[Segments.size() < 2 ? 0 : Segments.size() - 2].m_Id;
}

using OptionList = std::vector<const EngineOption *>;

/// Returns the engine that comes first by hash for this beginning.
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

/// Returns the engines to compare: the home, some that need to read least, and
/// some others.
OptionList sampleOptions(const std::vector<EngineOption> &Options,
                         const EngineOption *Preferred,
                         std::mt19937_64 &Random) {
  const auto Least = std::min_element(
      Options.begin(), Options.end(), [](const auto &Left, const auto &Right) {
        return Left.m_MissingTokens < Right.m_MissingTokens;
      });
  OptionList Cached;
  OptionList Others;
  for (const EngineOption &Option : Options)
    if (&Option != Preferred)
      (Option.m_MissingTokens <= Least->m_MissingTokens + EqualTokens ? Cached
                                                                      : Others)
          .push_back(&Option);
  OptionList Result = {Preferred};
  for (const OptionList *Group : {&Cached, &Others})
    std::sample(Group->begin(), Group->end(), std::back_inserter(Result),
                SampleSize, Random);
  return Result;
}

/// Returns how often a token that must be read counts, by the share of slots
/// that are taken.
double uncachedWeight(const std::vector<EngineOption> &Options) {
  double LoadSum = 0;
  for (const EngineOption &Option : Options)
    LoadSum += Option.m_Calls / slotsOf(Option.m_State->m_Upstream);
  const double Share =
      std::min(1.0, LoadSum / static_cast<double>(Options.size()));
  return UncachedWeight + ScarceSlotWeight * Share * Share;
}

double costOf(const EngineOption &Option, double Weight, bool LatencySensitive,
              bool Preferred) {
  const double Uncached =
      Weight * Option.m_MissingTokens * (Preferred ? 1 - PreferredDiscount : 1);
  return static_cast<double>(Option.m_UnreadTokens) + Uncached +
         LaterPrefillWeight * static_cast<double>(Option.m_UnreadAfter) +
         TokensPerMoreUrgent * Option.m_MoreUrgent +
         (LatencySensitive ? 0 : TokensPerLatencySensitive * Option.m_Tight) +
         (Option.m_Full ? Option.m_FullTokens : 0);
}

} // namespace

bool isTight(const PlacementQuery &Query, Duration MinPause) {
  if (Query.m_Prompt.m_PromptTokens >= ShortPromptTokens)
    return false;
  if (MinPause == Duration::zero())
    return true;
  return Query.m_LongestPause > Duration::zero() &&
         Query.m_LongestPause * 2 < MinPause * 3;
}

std::vector<UpstreamId> shortOrder(std::vector<UpstreamId> Engines) {
  std::sort(Engines.begin(), Engines.end(),
            [](UpstreamId Left, UpstreamId Right) {
              return pairHash(RoleSeed, Left.value()) >
                     pairHash(RoleSeed, Right.value());
            });
  return Engines;
}

const EngineOption &chooseEngine(const PlacementQuery &Query,
                                 bool LatencySensitive,
                                 const std::vector<EngineOption> &Options,
                                 std::mt19937_64 &Random) {
  const EngineOption *Preferred = preferredEngine(Query, Options);
  const double Weight = uncachedWeight(Options);
  const OptionList Sample = sampleOptions(Options, Preferred, Random);
  return **std::min_element(
      Sample.begin(), Sample.end(), [&](const auto *Left, const auto *Right) {
        return costOf(*Left, Weight, LatencySensitive, Left == Preferred) <
               costOf(*Right, Weight, LatencySensitive, Right == Preferred);
      });
}

} // namespace crowstep::balance
