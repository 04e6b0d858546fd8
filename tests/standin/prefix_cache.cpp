/// Prefix hashes and LRU eviction.
#include "standin/prefix_cache.h"

#include <xxhash.h>

namespace crowstep::standin {

std::vector<std::uint64_t> prefixHashes(const std::string &Prompt) {
  std::vector<std::uint64_t> Result;
  for (std::size_t End = PrefixCharacters; End <= Prompt.size();
       End += PrefixCharacters)
    Result.push_back(XXH3_64bits(Prompt.data(), End));
  return Result;
}

std::size_t PrefixCache::use(const std::vector<std::uint64_t> &Prefixes) {
  std::size_t Cached = 0;
  while (Cached < Prefixes.size() && m_Where.contains(Prefixes[Cached]))
    ++Cached;
  // The first block is inserted last and so evicted last: without it the later
  // blocks are of no use.
  for (auto Prefix = Prefixes.rbegin(); Prefix != Prefixes.rend(); ++Prefix)
    insert(*Prefix);
  return Cached;
}

void PrefixCache::insert(std::uint64_t Prefix) {
  const auto Found = m_Where.find(Prefix);
  if (Found != m_Where.end()) {
    m_Order.splice(m_Order.begin(), m_Order, Found->second);
    return;
  }
  if (m_Blocks == 0)
    return;
  if (m_Order.size() == m_Blocks) {
    const std::uint64_t Evicted = m_Order.back();
    m_Order.pop_back();
    m_Where.erase(Evicted);
    m_OnChange(Evicted, false);
  }
  m_Order.push_front(Prefix);
  m_Where[Prefix] = m_Order.begin();
  m_OnChange(Prefix, true);
}

} // namespace crowstep::standin
