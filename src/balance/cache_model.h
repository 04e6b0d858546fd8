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
  static constexpr double PrefixCacheShare = 0.6;

  /// A segment of a prompt was sent to an engine whose memory is \p Capacity,
  /// in tokens; 0: not known.
  void recordPlacement(UpstreamId Engine, const PrefixSegment &Segment,
                       std::uint64_t Capacity);

  /// Returns the length in tokens of the prefix that \p Engine has cached: a
  /// segment counts only if all segments before it are cached.
  [[nodiscard]] std::uint32_t
  cachedTokens(UpstreamId Engine,
               const std::vector<PrefixSegment> &Segments) const;

  /// Appends all segments that \p Engine has cached, least recently used first.
  void appendSegments(UpstreamId Engine, std::vector<PrefixSegment> &Out) const;

  /// Forgets all engines but \p Listed.
  void keepOnly(const std::vector<Upstream> &Listed);

private:
  /// The segments that one engine has cached.
  struct EngineCache {
    std::list<PrefixSegment> m_LruOrder; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<PrefixSegment>::iterator>
        m_Index;                ///< By segment id.
    std::uint64_t m_Tokens = 0; ///< Of all segments.
  };

  std::unordered_map<UpstreamId, EngineCache> m_Caches; ///< By engine.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_CACHE_MODEL_H
