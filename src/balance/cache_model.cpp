/// Model of the engines' prefix caches.
#include "balance/cache_model.h"

#include <algorithm>

namespace crowstep::balance {

void CacheModel::placed(UpstreamId Engine, const PromptPart &Segment,
                        std::uint64_t Capacity) {
  EngineCache &Cache = m_Engines[Engine];
  const auto Found = Cache.m_Where.find(Segment.m_Id);
  if (Found != Cache.m_Where.end()) {
    Cache.m_Order.splice(Cache.m_Order.begin(), Cache.m_Order, Found->second);
    return;
  }
  Cache.m_Order.push_front(Segment);
  Cache.m_Where[Segment.m_Id] = Cache.m_Order.begin();
  Cache.m_Tokens += Segment.m_Tokens;
  const auto Limit = static_cast<std::uint64_t>(
      KeptShare *
      static_cast<double>(Capacity == 0 ? DefaultCapacity : Capacity));
  while (Cache.m_Tokens > Limit && Cache.m_Order.size() > 1) {
    Cache.m_Tokens -= Cache.m_Order.back().m_Tokens;
    Cache.m_Where.erase(Cache.m_Order.back().m_Id);
    Cache.m_Order.pop_back();
  }
}

std::uint32_t CacheModel::kept(UpstreamId Engine,
                               const std::vector<PromptPart> &Segments) const {
  const auto Found = m_Engines.find(Engine);
  if (Found == m_Engines.end())
    return 0;
  std::uint32_t Result = 0;
  for (const PromptPart &Segment : Segments) {
    if (!Found->second.m_Where.contains(Segment.m_Id))
      break;
    Result += Segment.m_Tokens;
  }
  return Result;
}

void CacheModel::tell(UpstreamId Engine, std::vector<PromptPart> &Out) const {
  const auto Found = m_Engines.find(Engine);
  if (Found != m_Engines.end())
    Out.insert(Out.end(), Found->second.m_Order.rbegin(),
               Found->second.m_Order.rend());
}

void CacheModel::keepOnly(const std::vector<Upstream> &Listed) {
  std::erase_if(m_Engines, [&](const auto &Entry) {
    return std::none_of(Listed.begin(), Listed.end(),
                        [&](const Upstream &Candidate) {
                          return Candidate.m_Id == Entry.first;
                        });
  });
}

} // namespace crowstep::balance
