/// Changes of the list of upstreams.
#include "gateway/upstream_list.h"

#include <algorithm>
#include <utility>

namespace crowstep::gateway {

namespace {

/// A call that is placed at the last moment still has to be sent.
constexpr Duration SendMargin = std::chrono::milliseconds(100);

} // namespace

void UpstreamList::setListed(const Upstream &Entry) {
  m_Unlisted.erase(Entry.m_Name);
  Upstream &Known = m_ByName[Entry.m_Name];
  SoftwareVersion Software =
      Known.m_Id == Entry.m_Id ? Known.m_Software : SoftwareVersion();
  Software.merge(Entry.m_Software);
  Known = Entry;
  Known.m_Software = std::move(Software);
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
  m_Unlisted[Name] = keptUntil(OutOfReach);
  return true;
}

std::vector<Upstream> UpstreamList::dropUnlisted(TimePoint OutOfReach,
                                                 TimePoint Now) {
  std::vector<std::string> Due;
  for (const auto &[Name, Until] : m_Unlisted)
    if (Now >= dropAt(Name, OutOfReach))
      Due.push_back(Name);
  std::vector<Upstream> Result;
  for (const std::string &Name : Due) {
    Result.push_back(std::move(m_ByName.extract(Name).mapped()));
    m_Unlisted.erase(Name);
  }
  return Result;
}

TimePoint UpstreamList::nextDropAt(TimePoint OutOfReach) const {
  TimePoint Result = TimePoint::max();
  for (const auto &[Name, Until] : m_Unlisted)
    Result = std::min(Result, dropAt(Name, OutOfReach));
  return Result;
}

TimePoint UpstreamList::dropAt(const std::string &Name,
                               TimePoint OutOfReach) const {
  const TimePoint Until = m_Unlisted.at(Name);
  return areMostListed(m_ByName.at(Name).m_Service)
             ? Until
             : std::max(Until, keptUntil(OutOfReach));
}

bool UpstreamList::areMostListed(const std::string &Service) const {
  std::size_t Listed = 0;
  std::size_t Unlisted = 0;
  for (const auto &[Name, Entry] : m_ByName)
    if (Entry.m_Service == Service)
      ++(m_Unlisted.contains(Name) ? Unlisted : Listed);
  return Listed > Unlisted;
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
