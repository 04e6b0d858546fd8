/// The view that one process has of all members.
#include "membership/member_view.h"

#include "membership/member_func.h"

namespace crowstep::membership {

namespace {

std::uint64_t hashOf(const Member &Hashed) {
  if (!isLive(Hashed.m_State))
    return 0;
  const std::uint64_t Start =
      pairHash(Hashed.m_Id.value(), Hashed.m_Incarnation.value());
  return pairHash(pairHash(Start, static_cast<std::uint64_t>(Hashed.m_State)),
                  Hashed.m_TableVersion.value());
}

} // namespace

MemberView::MemberView(const Member &Self) { store(Self, TimePoint()); }

MergeResult MemberView::merge(const Member &Update, TimePoint Now) {
  const auto Found = m_Records.find(Update.m_Id);
  if (Found == m_Records.end() && !isLive(Update.m_State))
    return MergeResult::Unchanged;
  if (Found == m_Records.end() ||
      Update.m_Incarnation > Found->second.m_Member.m_Incarnation) {
    store(Update, Now);
    return MergeResult::Joined;
  }
  const Member &Old = Found->second.m_Member;
  if (Update.m_Incarnation < Old.m_Incarnation)
    return MergeResult::Unchanged;
  Member Merged = Old;
  Merged.m_State = std::max(Old.m_State, Update.m_State);
  Merged.m_TableVersion = std::max(Old.m_TableVersion, Update.m_TableVersion);
  if (Merged == Old)
    return MergeResult::Unchanged;
  const bool SameState = Merged.m_State == Old.m_State;
  store(Merged, SameState ? Found->second.m_Since : Now);
  return SameState ? MergeResult::VersionOnly : MergeResult::StateChanged;
}

void MemberView::store(const Member &Update, TimePoint Now) {
  MemberRecord &Entry = m_Records[Update.m_Id];
  if (!Entry.m_Member.m_Name.empty())
    m_Hash ^= hashOf(Entry.m_Member);
  Entry = {Update, Now};
  m_Hash ^= hashOf(Update);
  if (Update.m_State == MemberState::Suspect)
    m_Suspects.insert(Update.m_Id);
  else
    m_Suspects.erase(Update.m_Id);
  m_AllIsCurrent = false;
}

bool MemberView::removeTombstonesBefore(TimePoint Limit) {
  const std::size_t Forgotten =
      std::erase_if(m_Records, [Limit](const auto &Record) {
        return !isLive(Record.second.m_Member.m_State) &&
               Record.second.m_Since < Limit;
      });
  m_AllIsCurrent = m_AllIsCurrent && Forgotten == 0;
  return Forgotten > 0;
}

const Member *MemberView::find(InstanceId Id) const {
  const auto Found = m_Records.find(Id);
  return Found == m_Records.end() ? nullptr : &Found->second.m_Member;
}

std::vector<InstanceId> MemberView::suspectsBefore(TimePoint Limit) const {
  std::vector<InstanceId> Result;
  for (const InstanceId Id : m_Suspects)
    if (m_Records.at(Id).m_Since < Limit)
      Result.push_back(Id);
  return Result;
}

const std::vector<Member> &MemberView::all() const {
  if (!m_AllIsCurrent) {
    m_All.clear();
    for (const auto &[Id, Entry] : m_Records)
      m_All.push_back(Entry.m_Member);
    m_AllIsCurrent = true;
  }
  return m_All;
}

} // namespace crowstep::membership
