/// Changes of the list of upstreams.
#include "gateway/upstream_list.h"

#include <algorithm>

namespace crowstep::gateway {

namespace {

/// A call that is placed at the last moment still has to be sent.
constexpr Duration SendMargin = std::chrono::milliseconds(100);

} // namespace

void UpstreamList::setListed(const Upstream &Entry) {
  m_Unlisted.erase(Entry.m_Name);
  m_ByName[Entry.m_Name] = Entry;
}

void UpstreamList::remove(const std::string &Name) {
  m_Unlisted.erase(Name);
  m_ByName.erase(Name);
}

bool UpstreamList::setUnlisted(const std::string &Name, TimePoint OutOfReach,
                               TimePoint Now) {
  const auto Found = m_ByName.find(Name);
  if (Found == m_ByName.end())
    return false;
  // A draining upstream's entry was removed and has not expired.
  if (Found->second.m_Draining || Now >= keptUntil(OutOfReach)) {
    remove(Name);
    return false;
  }
  Found->second.m_UnlistedAt = Now;
  m_Unlisted.insert(Name);
  return true;
}

std::vector<Upstream> UpstreamList::dropUnlisted(TimePoint OutOfReach,
                                                 TimePoint Now) {
  // During another outage upstreams can't renew their entries either.
  if (Now < keptUntil(OutOfReach))
    return {};
  std::vector<Upstream> Result;
  for (const std::string &Name : m_Unlisted)
    Result.push_back(std::move(m_ByName.extract(Name).mapped()));
  m_Unlisted.clear();
  return Result;
}

TimePoint UpstreamList::keptUntil(TimePoint OutOfReach) const {
  if (OutOfReach == TimePoint())
    return {};
  return OutOfReach + std::max(m_SettleTime - SendMargin, Duration::zero());
}

std::vector<Upstream> UpstreamList::all() const {
  std::vector<Upstream> Result;
  for (const auto &[Name, Entry] : m_ByName)
    Result.push_back(Entry);
  return Result;
}

} // namespace crowstep::gateway
