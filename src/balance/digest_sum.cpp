/// The sum of several instances' digests.
#include "balance/digest_sum.h"

#include <map>

namespace crowstep::balance {

void DigestSum::take(InstanceId From, const LoadDigest &Digest, TimePoint Now) {
  m_Said[From] = {Digest.m_Loads, Now};
  m_Parts.insert(m_Parts.end(), Digest.m_Parts.begin(), Digest.m_Parts.end());
  for (const auto &[Pool, Work] : Digest.m_Work) {
    m_Work[Pool].m_Short += Work.m_Short;
    m_Work[Pool].m_Long += Work.m_Long;
  }
}

void DigestSum::clear() {
  m_Said.clear();
  m_Parts.clear();
  m_Work.clear();
}

LoadDigest DigestSum::takeSum(TimePoint Now) {
  std::erase_if(m_Said, [&](const auto &Each) {
    return Now - Each.second.m_At > PeerLoads::DigestLife;
  });
  std::map<std::pair<UpstreamId, Urgency>, UpstreamLoad> Sum;
  for (const auto &[From, Said] : m_Said)
    for (const UpstreamLoad &Each : Said.m_Loads) {
      UpstreamLoad &Into = Sum[{Each.m_Upstream, Each.m_Urgency}];
      Into.m_Upstream = Each.m_Upstream;
      Into.m_Urgency = Each.m_Urgency;
      Into.m_Running += Each.m_Running;
      Into.m_UnreadTokens += Each.m_UnreadTokens;
      Into.m_HeldTokens += Each.m_HeldTokens;
    }
  LoadDigest Result;
  Result.m_Loads.reserve(Sum.size());
  for (const auto &[Where, Load] : Sum)
    Result.m_Loads.push_back(Load);
  Result.m_Parts = std::move(m_Parts);
  m_Parts.clear();
  Result.m_Work = std::move(m_Work);
  m_Work.clear();
  return Result;
}

} // namespace crowstep::balance
