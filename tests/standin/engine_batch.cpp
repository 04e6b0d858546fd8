/// Admission to a batch and its steps.
#include "standin/engine_batch.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <random>
#include <xxhash.h>

namespace crowstep::standin {

namespace {

constexpr std::size_t CharactersPerToken = 4;

Duration scaled(Duration Base, double Factor) {
  return std::chrono::round<Duration>(Base * Factor);
}

} // namespace

EngineBatch::EngineBatch(const EngineSettings &Config,
                         PrefixCache::Listener OnCacheChange)
    : m_Settings(Config),
      m_Cache(Config.m_CacheBlocks, std::move(OnCacheChange)) {}

SequenceId EngineBatch::add(Sequence Work) {
  const SequenceId Id(++m_LastId);
  const int Priority = Work.m_Priority;
  m_Waiting.emplace(std::pair(Priority, Id), std::move(Work));
  return Id;
}

void EngineBatch::remove(SequenceId Removed) {
  m_Running.erase(Removed);
  std::erase_if(m_Waiting,
                [&](const auto &Item) { return Item.first.second == Removed; });
}

void EngineBatch::clear() {
  m_Running.clear();
  m_Waiting.clear();
  m_StepEnd.reset();
}

void EngineBatch::admit(TimePoint Now) {
  while (!m_Waiting.empty() && m_Running.size() < m_Settings.m_Slots) {
    auto Next = m_Waiting.extract(m_Waiting.begin());
    Sequence &Work = Next.mapped();
    const std::uint64_t Cached = m_Cache.matchAndInsert(Work.m_Prefixes) *
                                 CharactersPerBlock / CharactersPerToken;
    // A resumed sequence prefills the tokens that the caller has, too.
    const std::uint64_t Total = Work.m_PromptTokens + Work.m_NextToken;
    const std::uint64_t Uncached = Total - std::min(Total, Cached);
    const double Cost = static_cast<double>(Uncached) * m_Slowdown;
    Work.m_PrefillEnd = Now + scaled(m_Settings.m_PrefillPerToken, Cost);
    m_Running.emplace(Next.key().second, std::move(Work));
  }
}

TimePoint EngineBatch::stepEnd(TimePoint Now) const {
  TimePoint EarliestDecode = TimePoint::max();
  for (const auto &[Id, Work] : m_Running)
    EarliestDecode = std::min(EarliestDecode, Work.m_PrefillEnd);
  if (EarliestDecode > Now) // Prefill only: ends with the first.
    return EarliestDecode;
  const auto Others = static_cast<double>(m_Running.size() - 1);
  const double Scale = 1 + m_Settings.m_BatchPenalty * Others;
  return Now + scaled(m_Settings.m_TokenTime, Scale * m_Slowdown);
}

std::optional<TimePoint> EngineBatch::beginStep(TimePoint Now) {
  if (m_StepEnd)
    return m_StepEnd;
  admit(Now);
  if (m_Running.empty())
    return std::nullopt;
  m_StepStart = Now;
  m_StepEnd = stepEnd(Now);
  return m_StepEnd;
}

std::vector<GeneratedToken> EngineBatch::finishStep() {
  m_StepEnd.reset();
  std::vector<GeneratedToken> Result;
  for (auto Item = m_Running.begin(); Item != m_Running.end();) {
    Sequence &Work = Item->second;
    if (Work.m_PrefillEnd > m_StepStart) {
      ++Item;
      continue;
    }
    const bool Last = Work.m_NextToken + 1 >= Work.m_TotalTokens;
    Result.push_back({Item->first, Work.m_NextToken++, Last});
    Item = Last ? m_Running.erase(Item) : std::next(Item);
  }
  return Result;
}

std::uint64_t naturalLength(const EngineSettings &Config,
                            const std::string &Prompt) {
  static const std::string Mark = "[len=";
  const std::size_t MarkStart = Prompt.find(Mark);
  std::uint64_t Length = 0;
  if (MarkStart != std::string::npos) {
    std::from_chars(Prompt.data() + MarkStart + Mark.size(),
                    Prompt.data() + Prompt.size(), Length);
    return std::max<std::uint64_t>(Length, 1);
  }
  // Seeded by the prompt alone: every engine gives the same answer, so that a
  // stream can be resumed on another engine.
  std::mt19937_64 Random(XXH3_64bits(Prompt.data(), Prompt.size()));
  std::lognormal_distribution<double> Draw(std::log(Config.m_MedianTokens),
                                           Config.m_Sigma);
  Length = static_cast<std::uint64_t>(Draw(Random));
  return std::clamp(Length, Config.m_MinTokens, Config.m_MaxTokens);
}

} // namespace crowstep::standin
