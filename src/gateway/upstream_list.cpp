/// Changes of the list of upstreams.
#include "gateway/upstream_list.h"

#include <algorithm>

namespace crowstep::gateway {

namespace {

/// A call that is placed at the last moment still has to be sent.
constexpr Duration SendMargin = std::chrono::milliseconds(100);

} // namespace

void UpstreamList::listed(const Upstream &Entry) {
  m_Missing.erase(Entry.m_Name);
  m_ByName[Entry.m_Name] = Entry;
}

void UpstreamList::unreadable(const std::string &Name) {
  m_Missing.erase(Name);
  m_ByName.erase(Name);
}

bool UpstreamList::gone(const std::string &Name, TimePoint OutOfReach,
                        TimePoint Now) {
  const auto Found = m_ByName.find(Name);
  if (Found == m_ByName.end())
    return false;
  // A draining upstream's entry was removed and has not expired.
  if (Found->second.m_Leaving || Now >= keptUntil(OutOfReach)) {
    unreadable(Name);
    return false;
  }
  m_Missing.insert(Name);
  return true;
}

std::vector<std::string> UpstreamList::dropMissing(TimePoint OutOfReach,
                                                   TimePoint Now) {
  // During another outage upstreams can't renew their entries either.
  if (Now < keptUntil(OutOfReach))
    return {};
  std::vector<std::string> Result(m_Missing.begin(), m_Missing.end());
  m_Missing.clear();
  for (const std::string &Name : Result)
    m_ByName.erase(Name);
  return Result;
}

TimePoint UpstreamList::keptUntil(TimePoint OutOfReach) const {
  if (OutOfReach == TimePoint())
    return {};
  return OutOfReach + std::max(m_Settle - SendMargin, Duration::zero());
}

std::vector<Upstream> UpstreamList::all() const {
  std::vector<Upstream> Result;
  for (const auto &[Name, Entry] : m_ByName)
    Result.push_back(Entry);
  return Result;
}

} // namespace crowstep::gateway
