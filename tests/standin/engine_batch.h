/// Continuous batching of one engine, without I/O and clock: the caller passes
/// the time and takes the tokens.
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

/// One call's generation.
struct Sequence {
  int m_Priority = 0;                    ///< 0 is the most urgent.
  std::uint64_t m_PromptTokens = 0;      ///< Prompt length.
  std::vector<std::uint64_t> m_Prefixes; ///< Hashes, for the prefix cache.
  std::uint64_t m_NextToken = 0;         ///< Index of the next token.
  std::uint64_t m_TotalTokens = 1; ///< Answer length, resumed part included.
  TimePoint m_PrefillEnd;          ///< Decodes from then on.
};

/// One token of one sequence.
struct GeneratedToken {
  SequenceId m_Sequence;     ///< Sequence that it belongs to.
  std::uint64_t m_Index = 0; ///< Position in the answer, from 0.
  bool m_IsLast = false;     ///< The sequence is complete and removed.
};

/// Runs sequences in steps; a step makes one token for each that decodes.
class EngineBatch {
public:
  EngineBatch(const EngineSettings &Config,
              PrefixCache::Listener OnCacheChange);

  SequenceId add(Sequence Work);
  void remove(SequenceId Removed);
  void clear();

  /// Multiplies the time of steps and prefills by \p Factor from the next step
  /// on.
  void setSlowdown(double Factor) { m_Slowdown = Factor; }

  /// Begins a step unless one runs; returns its end, or nothing when there is
  /// no work.
  std::optional<TimePoint> beginStep(TimePoint Now);

  /// Ends the step and returns its tokens.
  std::vector<GeneratedToken> finishStep();

  [[nodiscard]] std::size_t runningCount() const { return m_Running.size(); }
  [[nodiscard]] std::size_t waitingCount() const { return m_Waiting.size(); }
  [[nodiscard]] std::size_t freeBlocks() const { return m_Cache.freeBlocks(); }

private:
  void admit(TimePoint Now);
  [[nodiscard]] TimePoint stepEnd(TimePoint Now) const;

  const EngineSettings &m_Settings; ///< Outlives the batch.
  PrefixCache m_Cache;              ///< Prefixes that need no prefill.
  std::uint64_t m_LastId = 0;       ///< Ids start at 1.
  double m_Slowdown = 1;            ///< 1: normal speed; 10 makes a straggler.
  std::map<std::pair<int, SequenceId>, Sequence>
      m_Waiting;                            ///< By priority, then arrival.
  std::map<SequenceId, Sequence> m_Running; ///< At most `slots`.
  TimePoint m_StepStart;                    ///< Of the running step.
  std::optional<TimePoint> m_StepEnd;       ///< Empty while idle.
};

/// Returns the length in tokens of a prompt's answer without a limit by the
/// caller: N if the prompt contains `[len=N]`, otherwise drawn from the
/// settings' distribution with the prompt's hash as seed.
std::uint64_t naturalLength(const EngineSettings &Config,
                            const std::string &Prompt);

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_ENGINE_BATCH_H
