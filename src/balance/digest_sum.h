/// Sum of several instances' digests, sent on as one digest.
#ifndef CROWSTEP_BALANCE_DIGEST_SUM_H
#define CROWSTEP_BALANCE_DIGEST_SUM_H

#include "balance/peer_loads.h"
#include "speed/speed_sums.h"
#include "waiting/waiting_sum.h"

namespace crowstep::balance {

class DigestSum {
public:
  /// \p SpeedLimit bounds what it takes about speeds, see SpeedSums.
  explicit DigestSum(double SpeedLimit = speed::SpeedSums::ZoneSumLimit)
      : m_Speeds(SpeedLimit) {}

  /// Replaces the loads of the last digest of \p From; the rest of the digests
  /// accumulates until takeSum().
  void add(InstanceId From, const LoadDigest &Digest, TimePoint Now);

  /// Forgets an instance's loads.
  void drop(InstanceId From) {
    m_Loads.drop(From);
    m_Waiting.drop(From);
  }

  void clear();

  /// Returns the sum of all loads that have not expired, and what else has
  /// accumulated since the last call.
  LoadDigest takeSum(TimePoint Now);

private:
  PeerLoads m_Loads;                              ///< Of the last digests.
  std::vector<SegmentPlacement> m_Segments;       ///< Not yet taken.
  std::unordered_map<PoolId, WorkTokens> m_Work;  ///< Not yet taken.
  std::vector<quarantine::CrashUpdate> m_Crashes; ///< Not yet taken.
  std::vector<std::pair<LimitUpdate, TimePoint>>
      m_Limits;                      ///< With time of receipt.
  std::vector<UpstreamId> m_Leaving; ///< Not yet taken.
  std::vector<std::pair<BrittleUpdate, TimePoint>>
      m_Brittle;                 ///< With time of receipt.
  speed::SpeedSums m_Speeds;     ///< Not yet taken.
  waiting::WaitingSum m_Waiting; ///< Of the last digests.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_DIGEST_SUM_H
