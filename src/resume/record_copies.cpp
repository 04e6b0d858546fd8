/// Records with too few copies at other instances.
#include "resume/record_copies.h"

#include <algorithm>
#include <utility>

namespace crowstep::resume {

bool RecordCopies::Entry::hasCopyAt(InstanceId Holder) const {
  return std::ranges::find(m_Copies, Holder, &RecordCopy::m_Holder) !=
         m_Copies.end();
}

void RecordCopies::add(const StreamRecord &Begun,
                       std::vector<RecordCopy> Copies, TimePoint Now) {
  m_Entries.push_back({Begun, Now, Now, std::move(Copies)});
  while (!m_Entries.empty() &&
         (m_Entries.size() > MaxRecords || m_Entries.front().hasExpired(Now) ||
          m_Entries.front().isDelivered(Now)))
    m_Entries.pop_front();
}

void RecordCopies::removeLink(link::LinkId Link, TimePoint Now) {
  removeSettled(Now);
  for (Entry &Tracked : m_Entries)
    std::erase_if(Tracked.m_Copies,
                  [&](const RecordCopy &Copy) { return Copy.m_Link == Link; });
}

void RecordCopies::sendMissing(const FindHolders &Holders,
                               const SendRecord &Send, TimePoint Now) {
  removeSettled(Now);
  for (Entry &Tracked : m_Entries) {
    StreamRecord Left = Tracked.m_Record;
    Left.m_Lifetime -= Now - Tracked.m_Since;
    for (const RecordCopy &Next : Holders(Left.m_Key)) {
      if (Tracked.hasCopyAt(Next.m_Holder))
        continue;
      Send(Next.m_Link, Left);
      Tracked.m_Copies.push_back(Next);
      Tracked.m_LastSentAt = Now;
    }
  }
}

void RecordCopies::removeSettled(TimePoint Now) {
  std::erase_if(m_Entries, [&](const Entry &Tracked) {
    return Tracked.hasExpired(Now) || Tracked.isDelivered(Now);
  });
}

} // namespace crowstep::resume
