/// Sum of the waiting calls of several instances, sent on as one report.
#ifndef CROWSTEP_WAITING_WAITING_SUM_H
#define CROWSTEP_WAITING_WAITING_SUM_H

#include "waiting/waiting_type.h"

#include <map>
#include <vector>

namespace crowstep::waiting {

class WaitingSum {
public:
  /// Replaces the waiting calls of \p From; what it placed accumulates until
  /// take().
  void add(InstanceId From, const std::vector<WaitingCalls> &Report,
           TimePoint Now);

  /// Forgets the waiting calls of an instance.
  void drop(InstanceId From) { m_Reports.erase(From); }

  void clear();

  /// Returns the sum of the reports that are not older than \p Lifetime, and
  /// what was placed since the last call.
  std::vector<WaitingCalls> take(Duration Lifetime, TimePoint Now);

private:
  using Key = std::pair<PoolId, CallStanding>;

  struct Report {
    std::vector<WaitingCalls> m_Calls; ///< As received.
    TimePoint m_ReceivedAt;            ///< Time of receipt.
  };

  std::map<InstanceId, Report> m_Reports; ///< By sender.
  std::map<Key, std::uint32_t> m_Placed;  ///< Not yet taken.
};

} // namespace crowstep::waiting

#endif // CROWSTEP_WAITING_WAITING_SUM_H
