/// Sum of the waiting calls of several instances, sent on as one report.
#ifndef CROWSTEP_WAITING_WAITING_SUM_H
#define CROWSTEP_WAITING_WAITING_SUM_H

#include "waiting/waiting_type.h"

#include <map>
#include <vector>

namespace crowstep::waiting {

class WaitingSum {
public:
  /// Replaces what \p From has stated.
  void add(InstanceId From, const std::vector<WaitingCalls> &Report,
           TimePoint Now);

  /// Forgets an instance.
  void drop(InstanceId From) { m_Reports.erase(From); }

  void clear() { m_Reports.clear(); }

  /// Returns the sum of the reports that are not older than \p Lifetime.
  std::vector<WaitingCalls> sum(Duration Lifetime, TimePoint Now);

private:
  struct Report {
    std::vector<WaitingCalls> m_Calls; ///< As received.
    TimePoint m_ReceivedAt;            ///< Time of receipt.
  };

  std::map<InstanceId, Report> m_Reports; ///< By sender.
};

} // namespace crowstep::waiting

#endif // CROWSTEP_WAITING_WAITING_SUM_H
