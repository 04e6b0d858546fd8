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
constexpr std::uint32_t ShortPrompt = 4000;

/// What a running call costs the next one, in tokens that could be read in the
/// time: a step of the batch takes longer by about a half percent for each.
constexpr double TokensPerCall = 50;

/// What must be read of a call's own prompt counts this many times: it delays
/// this call once, and in a burst every call behind it as well, wherever they
/// go, since what one engine has read another must not read again.
constexpr double MissingWeight = 3;

/// The engine that comes first by hash is preferred by this share of what must
/// be read. Instances that place calls with one beginning within the same
/// tenth of a second don't know of one another, and so read it once.
constexpr double HomeAdvantage = 0.7;

/// Any number; sets this hash apart from that of prompts.
constexpr std::uint64_t RoleSeed = 1;

std::uint64_t rankOf(const EngineOption &Option, std::uint64_t Key) {
  return pairHash(Key, Option.m_State->m_Upstream.m_Id.value());
}

/// Returns the options whose role takes the call, or all where none does.
std::vector<EngineOption> ofRole(const PlacementQuery &Query,
                                 const std::vector<EngineOption> &Options) {
  const bool Short = isShort(Query.m_Prompt);
  std::vector<EngineOption> Result;
  for (const EngineOption &Each : Options)
    if (Each.m_ShortOnly == Short)
      Result.push_back(Each);
  return Result.empty() ? Options : Result;
}

double costOf(const EngineOption &Option, bool Home) {
  const double Missing =
      MissingWeight * Option.m_MissingTokens * (Home ? 1 - HomeAdvantage : 1);
  return static_cast<double>(Option.m_UnreadTokens) + Missing +
         TokensPerCall * Option.m_Calls;
}

} // namespace

bool isShort(const PromptSize &Prompt) {
  return Prompt.m_PromptTokens < ShortPrompt;
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
                                 const std::vector<EngineOption> &Options) {
  const std::vector<EngineOption> Fit = ofRole(Query, Options);
  const std::uint64_t Key = Query.m_Prompt.m_Parts.empty()
                                ? RoleSeed
                                : Query.m_Prompt.m_Parts.front().m_Id;
  const auto Home = std::max_element(
      Fit.begin(), Fit.end(), [&](const auto &Left, const auto &Right) {
        return rankOf(Left, Key) < rankOf(Right, Key);
      });
  const EngineOption *Best = &*Home;
  for (const EngineOption &Each : Fit)
    if (costOf(Each, &Each == &*Home) < costOf(*Best, Best == &*Home))
      Best = &Each;
  return *std::find_if(Options.begin(), Options.end(), [&](const auto &Each) {
    return Each.m_State == Best->m_State;
  });
}

} // namespace crowstep::balance
