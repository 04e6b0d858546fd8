/// Continuous batching of one engine, without I/O: time comes in, tokens go
/// out.
#ifndef CROWSTEP_STANDIN_ENGINE_BATCH_H
#define CROWSTEP_STANDIN_ENGINE_BATCH_H

#include "core/strong_id.h"
#include "standin/engine_settings.h"
#include "standin/prefix_cache.h"

#include <map>
#include <optional>
#include <vector>

namespace crowstep::standin {

using SequenceId = StrongId<struct SequenceTag, std::uint64_t>;

/// Work of one call.
struct Sequence {
  int m_Priority = 0;                    ///< 0 is the most urgent.
  std::uint64_t m_PromptTokens = 0;      ///< To prefill.
  std::vector<std::uint64_t> m_Prefixes; ///< Of the prompt, for the cache.
  std::uint64_t m_Next = 0;              ///< Index of the next token.
  std::uint64_t m_Length = 1;            ///< Tokens of the whole answer.
  TimePoint m_Decodes;                   ///< When its prefill ends.
};

/// One token of one sequence.
struct Generated {
  SequenceId m_Sequence;     ///< Whose.
  std::uint64_t m_Index = 0; ///< Place in the answer, from 0.
  bool m_Last = false;       ///< The sequence has left the batch.
};

/// Sequences that run in steps, each step one token for each of them.
class EngineBatch {
public:
  EngineBatch(const EngineSettings &With, PrefixCache::Listener OnCacheChange);

  SequenceId add(Sequence Work);
  void remove(SequenceId Gone);
  void clear();

  /// Makes a token take \p Factor times as long from the next step on.
  void setFactor(double Factor) { m_Factor = Factor; }

  /// Begins a step unless one runs; returns its end, nothing when idle.
  std::optional<TimePoint> begin(TimePoint Now);

  /// Ends the step and returns its tokens.
  std::vector<Generated> finish();

  [[nodiscard]] std::size_t running() const { return m_Running.size(); }
  [[nodiscard]] std::size_t waiting() const { return m_Waiting.size(); }
  [[nodiscard]] std::size_t freeBlocks() const { return m_Cache.freeBlocks(); }

private:
  void admit(TimePoint Now);
  [[nodiscard]] TimePoint stepEnd(TimePoint Now) const;

  const EngineSettings &m_Settings; ///< Outlives the batch.
  PrefixCache m_Cache;              ///< Of this engine.
  std::uint64_t m_LastId = 0;       ///< Ids start at 1.
  double m_Factor = 1;              ///< 10 makes a straggler.
  std::map<std::pair<int, SequenceId>, Sequence>
      m_Waiting;                            ///< By priority, then arrival.
  std::map<SequenceId, Sequence> m_Running; ///< At most `slots`.
  TimePoint m_StepStart;                    ///< Of the step that runs.
  std::optional<TimePoint> m_StepEnd;       ///< Empty while idle.
};

/// Returns the length that a prompt's answer has by itself: what `[len=N]` in
/// it says, or else drawn from the settings' distribution by its hash.
std::uint64_t naturalLength(const EngineSettings &With,
                            const std::string &Prompt);

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_ENGINE_BATCH_H
