/// Sum of several instances' digests.
#include "balance/digest_sum.h"

#include <utility>

namespace crowstep::balance {

void DigestSum::take(InstanceId From, const LoadDigest &Digest, TimePoint Now) {
  m_Loads.take(From, Digest.m_Loads, Now);
  m_Parts.insert(m_Parts.end(), Digest.m_Parts.begin(), Digest.m_Parts.end());
  for (const auto &[Pool, Work] : Digest.m_Work)
    m_Work[Pool] += Work;
  m_Crashes.insert(m_Crashes.end(), Digest.m_Crashes.begin(),
                   Digest.m_Crashes.end());
  for (const LimitNews &Update : Digest.m_Limits)
    m_Limits.emplace_back(Update, Now);
}

void DigestSum::clear() {
  m_Loads.clear();
  m_Parts.clear();
  m_Work.clear();
  m_Crashes.clear();
  m_Limits.clear();
}

LoadDigest DigestSum::takeSum(TimePoint Now) {
  m_Loads.expire(Now);
  LoadDigest Result;
  m_Loads.tell(Result.m_Loads);
  Result.m_Parts = std::exchange(m_Parts, {});
  Result.m_Work = std::exchange(m_Work, {});
  Result.m_Crashes = std::exchange(m_Crashes, {});
  for (auto [Update, ReceivedAt] : std::exchange(m_Limits, {})) {
    Update.m_Age += Now - ReceivedAt;
    Result.m_Limits.push_back(Update);
  }
  return Result;
}

} // namespace crowstep::balance
