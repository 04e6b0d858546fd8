/// Sum of several instances' digests.
#include "balance/digest_sum.h"

#include <utility>

namespace crowstep::balance {

void DigestSum::add(InstanceId From, const LoadDigest &Digest, TimePoint Now) {
  m_Loads.setPeerLoads(From, Digest.m_Loads, Now);
  m_Segments.insert(m_Segments.end(), Digest.m_Segments.begin(),
                    Digest.m_Segments.end());
  for (const auto &[Pool, Work] : Digest.m_Work)
    m_Work[Pool] += Work;
  m_Crashes.insert(m_Crashes.end(), Digest.m_Crashes.begin(),
                   Digest.m_Crashes.end());
  for (const LimitUpdate &Update : Digest.m_Limits)
    m_Limits.emplace_back(Update, Now);
  m_Leaving.insert(m_Leaving.end(), Digest.m_Leaving.begin(),
                   Digest.m_Leaving.end());
  for (const BrittleUpdate &Update : Digest.m_Brittle)
    m_Brittle.emplace_back(Update, Now);
  for (const speed::SpeedUpdate &Update : Digest.m_Speeds)
    m_Speeds.add(Update, Now);
  m_Waiting.add(From, Digest.m_Waiting, Now);
}

void DigestSum::clear() {
  m_Loads.clear();
  m_Segments.clear();
  m_Work.clear();
  m_Crashes.clear();
  m_Limits.clear();
  m_Leaving.clear();
  m_Brittle.clear();
  m_Speeds.clear();
  m_Waiting.clear();
}

LoadDigest DigestSum::takeSum(TimePoint Now) {
  m_Loads.expire(Now);
  LoadDigest Result;
  m_Loads.appendLoads(Result.m_Loads);
  Result.m_Segments = std::exchange(m_Segments, {});
  Result.m_Work = std::exchange(m_Work, {});
  Result.m_Crashes = std::exchange(m_Crashes, {});
  const auto TakeAged = [Now](auto &From, auto &Into) {
    for (auto [Update, ReceivedAt] : std::exchange(From, {})) {
      Update.m_Age += Now - ReceivedAt;
      Into.push_back(Update);
    }
  };
  TakeAged(m_Limits, Result.m_Limits);
  TakeAged(m_Brittle, Result.m_Brittle);
  Result.m_Leaving = std::exchange(m_Leaving, {});
  Result.m_Speeds = m_Speeds.take(Now);
  Result.m_Waiting = m_Waiting.sum(PeerLoads::DigestLifetime, Now);
  return Result;
}

} // namespace crowstep::balance
