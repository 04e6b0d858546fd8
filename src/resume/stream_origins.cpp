/// Origins of streams with an expiry each.
#include "resume/stream_origins.h"

#include <algorithm>

namespace crowstep::resume {

void StreamOrigins::record(const StreamRecord &Record, TimePoint Now) {
  expire(Now);
  const StreamOrigin &Origin = Record.m_Origin;
  if (Record.m_Lifetime <= Duration::zero() ||
      Origin.m_Service.size() > MaxNameBytes ||
      Origin.m_Software.text().size() > MaxNameBytes)
    return;
  const TimePoint ExpiresAt = Now + std::min(Record.m_Lifetime, MaxLifetime);
  const auto [Found, IsNew] =
      m_Entries.try_emplace(Record.m_Key, Entry{Origin, ExpiresAt});
  Entry &Kept = Found->second;
  if (!Origin.m_Software.isKnown() ||
      Kept.m_Origin.m_Service != Origin.m_Service)
    Kept.m_Origin.m_Software.invalidate();
  if (!IsNew) {
    Kept.m_Origin.m_Software.merge(Origin.m_Software);
    if (ExpiresAt <= Kept.m_ExpiresAt)
      return;
    m_Expiries.erase({Kept.m_ExpiresAt, Record.m_Key});
    Kept.m_ExpiresAt = ExpiresAt;
  }
  m_Expiries.emplace(ExpiresAt, Record.m_Key);
  if (m_Entries.size() > MaxStreams)
    forgetFirst();
}

const StreamOrigin *StreamOrigins::findAny(const StreamKey &Key,
                                           TimePoint Now) const {
  const auto Found = m_Entries.find(Key);
  return Found == m_Entries.end() || Now >= Found->second.m_ExpiresAt
             ? nullptr
             : &Found->second.m_Origin;
}

const StreamOrigin *StreamOrigins::find(const StreamKey &Key,
                                        TimePoint Now) const {
  const StreamOrigin *Found = findAny(Key, Now);
  return Found != nullptr && Found->m_Software.isKnown() ? Found : nullptr;
}

const StreamOrigin *StreamOrigins::findUnproven(const StreamKey &Key,
                                                TimePoint Now) const {
  const StreamOrigin *Found = findAny(Key, Now);
  return Found != nullptr && !Found->m_Software.isKnown() ? Found : nullptr;
}

void StreamOrigins::expire(TimePoint Now) {
  while (!m_Expiries.empty() && m_Expiries.begin()->first <= Now)
    forgetFirst();
}

void StreamOrigins::forgetFirst() {
  m_Entries.erase(m_Expiries.begin()->second);
  m_Expiries.erase(m_Expiries.begin());
}

} // namespace crowstep::resume
