/// An engine's cache of prompt prefixes: limited, least recently used goes.
#ifndef CROWSTEP_STANDIN_PREFIX_CACHE_H
#define CROWSTEP_STANDIN_PREFIX_CACHE_H

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace crowstep::standin {

/// Characters that one block of the cache holds.
inline constexpr std::size_t PrefixCharacters = 256;

/// Returns the hashes of the first 256, 512, ... characters of \p Prompt.
std::vector<std::uint64_t> prefixHashes(const std::string &Prompt);

/// Blocks by the hash of the prefix that ends with them.
class PrefixCache {
public:
  using Listener = std::function<void(std::uint64_t Prefix, bool Added)>;

  PrefixCache(std::size_t Blocks, Listener OnChange)
      : m_Blocks(Blocks), m_OnChange(std::move(OnChange)) {}

  /// Returns how many leading blocks of a prompt are held, and holds them all
  /// from now on.
  std::size_t use(const std::vector<std::uint64_t> &Prefixes);

  [[nodiscard]] std::size_t freeBlocks() const {
    return m_Blocks - m_Order.size();
  }

private:
  void insert(std::uint64_t Prefix);

  std::size_t m_Blocks;             ///< Limit.
  Listener m_OnChange;              ///< Told of each change.
  std::list<std::uint64_t> m_Order; ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      m_Where; ///< Place of each block in m_Order.
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_PREFIX_CACHE_H
