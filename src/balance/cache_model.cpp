/// Model of the engines' prefix caches.
#include "balance/cache_model.h"

#include <algorithm>

namespace crowstep::balance {

void CacheModel::recordPlacement(UpstreamId Engine,
                                 const PrefixSegment &Segment,
                                 std::uint64_t Capacity) {
  EngineCache &Cache = m_Caches[Engine];
  const auto Found = Cache.m_Index.find(Segment.m_Id);
  if (Found != Cache.m_Index.end()) {
    Cache.m_LruOrder.splice(Cache.m_LruOrder.begin(), Cache.m_LruOrder,
                            Found->second);
    return;
  }
  Cache.m_LruOrder.push_front(Segment);
  Cache.m_Index[Segment.m_Id] = Cache.m_LruOrder.begin();
  Cache.m_Tokens += Segment.m_Tokens;
  const auto Limit = static_cast<std::uint64_t>(
      PrefixCacheShare *
      static_cast<double>(Capacity == 0 ? DefaultCapacity : Capacity));
  while (Cache.m_Tokens > Limit && Cache.m_LruOrder.size() > 1) {
    Cache.m_Tokens -= Cache.m_LruOrder.back().m_Tokens;
    Cache.m_Index.erase(Cache.m_LruOrder.back().m_Id);
    Cache.m_LruOrder.pop_back();
  }
}

std::uint32_t
CacheModel::cachedTokens(UpstreamId Engine,
                         const std::vector<PrefixSegment> &Segments) const {
  const auto Found = m_Caches.find(Engine);
  if (Found == m_Caches.end())
    return 0;
  std::uint32_t Result = 0;
  for (const PrefixSegment &Segment : Segments) {
    if (!Found->second.m_Index.contains(Segment.m_Id))
      break;
    Result += Segment.m_Tokens;
  }
  return Result;
}

void CacheModel::appendSegments(UpstreamId Engine,
                                std::vector<PrefixSegment> &Out) const {
  const auto Found = m_Caches.find(Engine);
  if (Found != m_Caches.end())
    Out.insert(Out.end(), Found->second.m_LruOrder.rbegin(),
               Found->second.m_LruOrder.rend());
}

void CacheModel::keepOnly(const std::vector<Upstream> &Listed) {
  std::erase_if(m_Caches, [&](const auto &Entry) {
    return std::none_of(Listed.begin(), Listed.end(),
                        [&](const Upstream &Candidate) {
                          return Candidate.m_Id == Entry.first;
                        });
  });
}

} // namespace crowstep::balance
