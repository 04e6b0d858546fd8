/// The sum of several instances' digests, to be passed on as one.
#ifndef CROWSTEP_BALANCE_DIGEST_SUM_H
#define CROWSTEP_BALANCE_DIGEST_SUM_H

#include "balance/peer_loads.h"

namespace crowstep::balance {

class DigestSum {
public:
  /// Replaces the loads that \p From said before; the rest adds up until it is
  /// taken.
  void take(InstanceId From, const LoadDigest &Digest, TimePoint Now);

  /// Forgets an instance's loads.
  void drop(InstanceId From) { m_Loads.drop(From); }

  /// Forgets everything.
  void clear();

  /// Returns the sum of the loads said lately, and the rest since the last
  /// time.
  LoadDigest takeSum(TimePoint Now);

private:
  PeerLoads m_Loads;                             ///< What was said last.
  std::vector<PartPlaced> m_Parts;               ///< Not yet taken.
  std::unordered_map<PoolId, WorkTokens> m_Work; ///< Not yet taken.
  std::vector<CrashNews> m_Crashes;              ///< Not yet taken.
  std::vector<std::pair<LimitNews, TimePoint>> m_Limits; ///< And arrival.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_DIGEST_SUM_H
