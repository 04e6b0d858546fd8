/// The claim home on a dispatcher: connects its state machine to links and the
/// table service.
#ifndef CROWSTEP_CLAIM_CLAIM_HOME_H
#define CROWSTEP_CLAIM_CLAIM_HOME_H

#include "claim/claim_home_core.h"
#include "core/metrics.h"
#include "core/scheduler.h"
#include "link/link_type.h"
#include "platform/platform_type.h"

#include <map>
#include <vector>

namespace crowstep::claim {

class ClaimHome {
public:
  ClaimHome(const ClaimHomeConfig &Config, const Clock &Time, Scheduler &Timers,
            platform::TableService &Store, link::Links &Links, Metrics &Stats);

  /// Processes the claim requests in \p Frame; replies are sent on \p Link.
  void linkFrame(link::LinkId Link, const wire::Frame &Frame);

private:
  /// Where the reply to a request goes.
  struct Requester {
    link::LinkId m_Link;           ///< May have closed meanwhile.
    std::uint64_t m_RequestId = 0; ///< The requester's own number.
  };

  void handle(const HomeEvent &Event);
  void carryOut(const StartWrite &Action);
  void carryOut(const StartRead &Action);
  void carryOut(const SendReply &Action);

  const Clock &m_Clock;            ///< Outlives this object.
  platform::TableService &m_Store; ///< Outlives this object.
  link::Links &m_Links;            ///< Outlives this object.
  Timer m_Timer;                   ///< For the next tick.
  ClaimHomeCore m_Core;            ///< Decides what to do.
  std::uint64_t m_LastNumber = 0;  ///< Of requests; never reused.
  /// Of requests without a reply.
  std::map<RequestNumber, Requester> m_Requesters;
  std::vector<Counter *> m_RepliesByStatus; ///< Indexed by ClaimStatus.
  Counter &m_Batches;                       ///< Writes to the table service.
  Counter &m_Rows;                          ///< Rows in those writes.
};

} // namespace crowstep::claim

#endif // CROWSTEP_CLAIM_CLAIM_HOME_H
