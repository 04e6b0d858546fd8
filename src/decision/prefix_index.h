/// Index of the upstreams that may hold a prompt's prefix. Entries are hints,
/// not guarantees.
#ifndef CROWSTEP_DECISION_PREFIX_INDEX_H
#define CROWSTEP_DECISION_PREFIX_INDEX_H

#include "decision/decision_type.h"

#include <array>
#include <deque>
#include <unordered_map>

namespace crowstep::decision {

/// Bounded map from a prefix to the tags of the upstreams that held it last.
/// Giving an upstream a new tag drops all its hints at once.
class PrefixIndex {
public:
  static constexpr std::size_t MaxHolders = 4;
  using Holders = std::array<std::uint32_t, MaxHolders>; ///< 0: none.

  void add(PrefixHash Prefix, std::uint32_t Tag);
  void remove(PrefixHash Prefix, std::uint32_t Tag);
  /// Returns the holders of \p Prefix, or null if it is unknown.
  [[nodiscard]] const Holders *find(PrefixHash Prefix) const;

private:
  /// At most tuning::MaxPrefixes.
  std::unordered_map<PrefixHash, Holders> m_Holders;
  std::deque<PrefixHash>
      m_InsertionOrder; ///< Keys of m_Holders, the oldest first.
};

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_PREFIX_INDEX_H
