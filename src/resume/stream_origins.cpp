/// Origins of streams with an expiry each.
#include "resume/stream_origins.h"

#include <algorithm>

namespace crowstep::resume {

void StreamOrigins::record(const StreamRecord &Record, TimePoint Now) {
  expire(Now);
  const StreamOrigin &Origin = Record.m_Origin;
  if (!Origin.m_Software.isKnown() || Record.m_Lifetime <= Duration::zero() ||
      Origin.m_Service.size() > MaxNameBytes ||
      Origin.m_Software.text().size() > MaxNameBytes)
    return;
  const TimePoint ExpiresAt = Now + std::min(Record.m_Lifetime, MaxLifetime);
  const auto [Found, IsNew] =
      m_Entries.try_emplace(Record.m_Key, Entry{Origin, ExpiresAt});
  Entry &Kept = Found->second;
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

const StreamOrigin *StreamOrigins::find(const StreamKey &Key,
                                        TimePoint Now) const {
  const auto Found = m_Entries.find(Key);
  if (Found == m_Entries.end() || Now >= Found->second.m_ExpiresAt ||
      !Found->second.m_Origin.m_Software.isKnown())
    return nullptr;
  return &Found->second.m_Origin;
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
