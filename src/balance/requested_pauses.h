/// Pauses that upstreams have requested from this instance.
///
/// An upstream that rejects a call may state for how long it wants no other one
/// from this instance. That concerns only the two of them, so it is not
/// broadcast: the upstream rejects others for itself. It ends with the
/// upstream's lifetime, as the id of the next one is another.
///
/// After a pause the upstream gets a single call, the trial, until that is
/// accepted. Without it, all calls that wait would be sent to the first
/// upstream whose pause ends, and it would reject them again.
#ifndef CROWSTEP_BALANCE_REQUESTED_PAUSES_H
#define CROWSTEP_BALANCE_REQUESTED_PAUSES_H

#include "balance/balance_type.h"

#include <unordered_map>

namespace crowstep::balance {

class RequestedPauses {
public:
  /// Longer pauses are shortened to this: an upstream that states a much longer
  /// one by mistake is tried again without a restart.
  static constexpr Duration MaxPause = std::chrono::hours(1);

  /// Without a call for this long after a pause, there is no need for a trial.
  static constexpr Duration TrialPeriod = std::chrono::seconds(10);

  /// \p Upstream wants no call for \p Span from now on. A pause that lasts
  /// longer stays in force.
  void record(UpstreamId Upstream, Duration Span, TimePoint Now);

  /// Returns the end of the pause of \p Upstream; TimePoint() if there is none.
  [[nodiscard]] TimePoint pausedUntil(UpstreamId Upstream) const;

  /// Returns whether a call may be placed on \p Upstream: it has no pause, and
  /// no trial.
  [[nodiscard]] bool maySend(UpstreamId Upstream, TimePoint Now) const;

  /// A call is placed on \p Upstream, which is the trial after a pause.
  void recordSend(UpstreamId Upstream, TicketId Call);

  /// \p Upstream has accepted a call: if it is the trial, others may follow.
  void recordAccepted(UpstreamId Upstream, TicketId Call, TimePoint Now);

  /// A call has ended: if it is the trial, the next call will be one.
  void recordCallEnd(UpstreamId Upstream, TicketId Call);

  /// Forgets pauses that ended TrialPeriod ago.
  void expire(TimePoint Now);

private:
  /// A pause that is in force or was followed by no accepted call yet.
  struct Pause {
    TimePoint m_Until; ///< End of the pause.
    TicketId m_Trial;  ///< Call that was placed since; 0: none.
  };

  std::unordered_map<UpstreamId, Pause> m_Pauses; ///< By upstream.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_REQUESTED_PAUSES_H
