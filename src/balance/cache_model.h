/// What engines are believed to keep of prompts.
///
/// Engines drop the parts that were used longest ago. The model does the same
/// from the placements that this instance made or heard of, so it needs no call
/// to an engine; a wrong belief costs a part that is read again.
#ifndef CROWSTEP_BALANCE_CACHE_MODEL_H
#define CROWSTEP_BALANCE_CACHE_MODEL_H

#include "prompt_type.h"
#include "upstream_type.h"

#include <list>
#include <unordered_map>
#include <vector>

namespace crowstep::balance {

class CacheModel {
public:
  /// Memory of an engine where none is known, in tokens.
  static constexpr std::uint64_t DefaultCapacity = 200000;

  /// Share of an engine's memory that is left for kept parts: the rest holds
  /// the calls that run.
  static constexpr double KeptShare = 0.6;

  /// A part of a prompt was sent to an engine whose memory is \p Capacity.
  void placed(UpstreamId Engine, const PromptPart &Segment,
              std::uint64_t Capacity);

  /// Returns the tokens at the beginning of a prompt that \p Engine keeps: a
  /// part counts only if all parts before it are kept.
  [[nodiscard]] std::uint32_t
  kept(UpstreamId Engine, const std::vector<PromptPart> &Segments) const;

  /// Appends all parts that \p Engine keeps, those used longest ago first.
  void tell(UpstreamId Engine, std::vector<PromptPart> &Out) const;

  /// Forgets all engines but \p Listed.
  void keepOnly(const std::vector<Upstream> &Listed);

private:
  /// The parts that one engine keeps.
  struct EngineCache {
    std::list<PromptPart> m_Order; ///< Used last comes first.
    std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator>
        m_Where;                ///< By part.
    std::uint64_t m_Tokens = 0; ///< Of all parts.
  };

  std::unordered_map<UpstreamId, EngineCache> m_Engines; ///< By engine.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_CACHE_MODEL_H
