/// Index of prefix hints.
#include "decision/prefix_index.h"

#include "decision/tuning.h"

#include <algorithm>

namespace crowstep::decision {

void PrefixIndex::add(PrefixHash Prefix, std::uint32_t Tag) {
  const auto [It, IsNew] = m_Holders.try_emplace(Prefix, Holders{});
  Holders &Tags = It->second;
  auto Position = std::find(Tags.begin(), Tags.end(), Tag);
  if (Position == Tags.end())
    Position = std::prev(Tags.end());
  std::move_backward(Tags.begin(), Position, std::next(Position));
  Tags.front() = Tag;
  if (!IsNew)
    return;
  m_InsertionOrder.push_back(Prefix);
  if (m_InsertionOrder.size() > tuning::MaxPrefixes) {
    m_Holders.erase(m_InsertionOrder.front());
    m_InsertionOrder.pop_front();
  }
}

void PrefixIndex::remove(PrefixHash Prefix, std::uint32_t Tag) {
  const auto It = m_Holders.find(Prefix);
  if (It != m_Holders.end())
    std::replace(It->second.begin(), It->second.end(), Tag, 0U);
}

const PrefixIndex::Holders *PrefixIndex::find(PrefixHash Prefix) const {
  const auto It = m_Holders.find(Prefix);
  return It == m_Holders.end() ? nullptr : &It->second;
}

} // namespace crowstep::decision
