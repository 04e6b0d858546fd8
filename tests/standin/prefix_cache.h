/// An engine's cache of prompt prefixes, with LRU eviction.
#ifndef CROWSTEP_STANDIN_PREFIX_CACHE_H
#define CROWSTEP_STANDIN_PREFIX_CACHE_H

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace crowstep::standin {

/// Prompt characters in one block of the cache.
inline constexpr std::size_t CharactersPerBlock = 256;

/// Returns the hashes of the first 256, 512, ... characters of \p Prompt.
std::vector<std::uint64_t> prefixHashes(const std::string &Prompt);

/// Cache of blocks, each keyed by the hash of the prefix that it ends.
class PrefixCache {
public:
  using Listener = std::function<void(std::uint64_t Prefix, bool Added)>;

  PrefixCache(std::size_t Blocks, Listener OnChange)
      : m_Capacity(Blocks), m_OnChange(std::move(OnChange)) {}

  /// Returns how many leading blocks of a prompt are cached, then inserts all
  /// its blocks; of a prompt beyond the capacity the first blocks stay.
  std::size_t matchAndInsert(const std::vector<std::uint64_t> &Prefixes);

  [[nodiscard]] std::size_t freeBlocks() const {
    return m_Capacity - m_LruOrder.size();
  }

private:
  void insert(std::uint64_t Prefix);

  std::size_t m_Capacity; ///< In blocks.
  Listener m_OnChange;    ///< Called on each insertion and eviction.
  std::list<std::uint64_t> m_LruOrder; ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      m_Index; ///< Position of each block in m_LruOrder.
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_PREFIX_CACHE_H
