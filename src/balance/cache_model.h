/// Model of the engines' prefix caches.
///
/// Engines evict the least recently used segments. The model does the same with
/// the placements of this and other instances, so it needs no call to an
/// engine; a wrong entry costs the prefill of a segment.
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
  /// Memory of an engine in tokens if it is not known.
  static constexpr std::uint64_t DefaultCapacity = 200000;

  /// Share of an engine's memory that holds cached segments; the rest holds the
  /// running calls.
  static constexpr double KeptShare = 0.6;

  /// A segment of a prompt was sent to an engine whose memory is \p Capacity,
  /// in tokens; 0: not known.
  void placed(UpstreamId Engine, const PromptPart &Segment,
              std::uint64_t Capacity);

  /// Returns the length in tokens of the prefix that \p Engine has cached: a
  /// segment counts only if all segments before it are cached.
  [[nodiscard]] std::uint32_t
  kept(UpstreamId Engine, const std::vector<PromptPart> &Segments) const;

  /// Appends all segments that \p Engine has cached, least recently used first.
  void tell(UpstreamId Engine, std::vector<PromptPart> &Out) const;

  /// Forgets all engines but \p Listed.
  void keepOnly(const std::vector<Upstream> &Listed);

private:
  /// The segments that one engine has cached.
  struct EngineCache {
    std::list<PromptPart> m_Order; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator>
        m_Where;                ///< By segment id.
    std::uint64_t m_Tokens = 0; ///< Of all segments.
  };

  std::unordered_map<UpstreamId, EngineCache> m_Engines; ///< By engine.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_CACHE_MODEL_H
