/// Prefix hints.
#include "decision/prefix_index.h"

#include "decision/tuning.h"

#include <algorithm>

namespace crowstep::decision {

void PrefixIndex::add(PrefixHash Prefix, std::uint32_t Tag) {
  const auto [At, IsNew] = m_Holders.try_emplace(Prefix, Holders{});
  Holders &Tags = At->second;
  auto Place = std::find(Tags.begin(), Tags.end(), Tag);
  if (Place == Tags.end())
    Place = std::prev(Tags.end());
  std::move_backward(Tags.begin(), Place, std::next(Place));
  Tags.front() = Tag;
  if (!IsNew)
    return;
  m_Age.push_back(Prefix);
  if (m_Age.size() > tuning::MaxPrefixes) {
    m_Holders.erase(m_Age.front());
    m_Age.pop_front();
  }
}

void PrefixIndex::remove(PrefixHash Prefix, std::uint32_t Tag) {
  const auto At = m_Holders.find(Prefix);
  if (At != m_Holders.end())
    std::replace(At->second.begin(), At->second.end(), Tag, 0U);
}

const PrefixIndex::Holders *PrefixIndex::find(PrefixHash Prefix) const {
  const auto At = m_Holders.find(Prefix);
  return At == m_Holders.end() ? nullptr : &At->second;
}

} // namespace crowstep::decision
