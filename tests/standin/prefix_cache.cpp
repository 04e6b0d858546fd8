/// Prefix hashes and LRU eviction.
#include "standin/prefix_cache.h"

#include <xxhash.h>

namespace crowstep::standin {

std::vector<std::uint64_t> prefixHashes(const std::string &Prompt) {
  std::vector<std::uint64_t> Result;
  for (std::size_t End = CharactersPerBlock; End <= Prompt.size();
       End += CharactersPerBlock)
    Result.push_back(XXH3_64bits(Prompt.data(), End));
  return Result;
}

std::size_t
PrefixCache::matchAndInsert(const std::vector<std::uint64_t> &Prefixes) {
  std::size_t Cached = 0;
  while (Cached < Prefixes.size() && m_Index.contains(Prefixes[Cached]))
    ++Cached;
  // The first block is inserted last and so evicted last: without it the later
  // blocks are of no use.
  for (auto Prefix = Prefixes.rbegin(); Prefix != Prefixes.rend(); ++Prefix)
    insert(*Prefix);
  return Cached;
}

void PrefixCache::insert(std::uint64_t Prefix) {
  const auto Found = m_Index.find(Prefix);
  if (Found != m_Index.end()) {
    m_LruOrder.splice(m_LruOrder.begin(), m_LruOrder, Found->second);
    return;
  }
  if (m_Capacity == 0)
    return;
  if (m_LruOrder.size() == m_Capacity) {
    const std::uint64_t Evicted = m_LruOrder.back();
    m_LruOrder.pop_back();
    m_Index.erase(Evicted);
    m_OnChange(Evicted, false);
  }
  m_LruOrder.push_front(Prefix);
  m_Index[Prefix] = m_LruOrder.begin();
  m_OnChange(Prefix, true);
}

} // namespace crowstep::standin
