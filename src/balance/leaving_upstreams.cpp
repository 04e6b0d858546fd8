/// Upstreams that have announced that they leave.
#include "balance/leaving_upstreams.h"

namespace crowstep::balance {

bool LeavingUpstreams::recordStatement(UpstreamId Upstream, bool IsListed) {
  const bool New = record(Upstream, IsListed);
  if (New)
    m_UnsentStatements.push_back(Upstream);
  return New;
}

std::vector<UpstreamId> LeavingUpstreams::snapshot() const {
  std::vector<UpstreamId> Result;
  Result.reserve(m_States.size());
  for (const auto &[Id, Entry] : m_States)
    Result.push_back(Id);
  return Result;
}

void LeavingUpstreams::setListed(const std::vector<Upstream> &All) {
  for (auto &[Id, Entry] : m_States)
    Entry.m_Listed = false;
  for (const Upstream &Listed : All)
    if (const auto Found = m_States.find(Listed.m_Id); Found != m_States.end())
      Found->second = {true, TimePoint()};
}

void LeavingUpstreams::expire(TimePoint Now) {
  for (auto &[Id, Entry] : m_States)
    if (!Entry.m_Listed && Entry.m_UnlistedAt == TimePoint())
      Entry.m_UnlistedAt = Now;
  std::erase_if(m_States, [Now](const auto &Entry) {
    const State &Known = Entry.second;
    return Known.m_UnlistedAt != TimePoint() &&
           Now - Known.m_UnlistedAt >= UnlistedMemory;
  });
}

} // namespace crowstep::balance
