/// How long one call waits in its gateway, and when it is refused.
///
/// A call that is held and then refused is worse off than one refused at once,
/// so it waits only as long as it is predicted to be placed within its limit.
#ifndef CROWSTEP_WAITING_CALL_WAIT_H
#define CROWSTEP_WAITING_CALL_WAIT_H

#include "waiting/backlog.h"

#include <optional>

namespace crowstep::waiting {

/// Returns how long a caller of a stream waits for its first event before it
/// gives up.
Duration patienceOf(Duration Target, Duration MaxPause);

/// Returns the age up to which a call may wait.
Duration waitLimitOf(const CallFacts &Facts, const CallWork &Work);

class CallWait {
public:
  /// \p Waiting outlives this object.
  CallWait(Backlog &Waiting, const CallFacts &Facts)
      : m_Backlog(Waiting), m_Facts(Facts) {}
  ~CallWait() { leave(m_LastSeenAt); }
  CallWait(const CallWait &) = delete;
  CallWait &operator=(const CallWait &) = delete;

  /// Returns the longest predicted wait at an engine with which the call is
  /// placed there. \p Yields: its workspace has many calls waiting. \p IdleWait
  /// is what is predicted at an idle engine, where any call may go.
  [[nodiscard]] Duration engineWaitLimit(bool Yields, Duration IdleWait,
                                         TimePoint Now) const;

  /// Returns whether the call can still be in time.
  [[nodiscard]] bool canBeInTime(TimePoint Now) const;

  /// The call was not placed. Unless the verdict is to wait, it is counted as
  /// waiting no longer.
  WaitVerdict handleNoRoom(const CallWork &Work, TimePoint Now);

  /// The call was placed; it is counted as waiting no longer.
  void handlePlaced(TimePoint Now);

  /// Returns whether the call has ever waited.
  [[nodiscard]] bool hasWaited() const { return m_HasWaited; }

  /// Returns when the caller should return: between the time when capacity is
  /// expected and 1.5 times that, and at most a third of the time left.
  /// \p Random is in [0, 1).
  [[nodiscard]] Duration retryAfter(double Random, TimePoint Now);

private:
  [[nodiscard]] CallStanding standing(TimePoint Now) const;
  [[nodiscard]] Duration age(TimePoint Now) const {
    return Now - m_Facts.m_ArrivedAt;
  }
  [[nodiscard]] double callsInFront(TimePoint Now);
  [[nodiscard]] bool willBePlaced(Duration Limit, TimePoint Now);
  void join(CallStanding Standing, TimePoint Now);
  void leave(TimePoint Now);

  Backlog &m_Backlog;                   ///< Of all instances.
  CallFacts m_Facts;                    ///< Of the call.
  std::optional<CallStanding> m_Joined; ///< As which it waits; none: it
                                        ///< doesn't.
  double m_FrontAtJoin = 0;             ///< Calls that waited before it then.
  double m_PlacedAtJoin = 0;            ///< Placed until then.
  TimePoint m_LastSeenAt{};             ///< Last decision.
  bool m_HasWaited = false;             ///< See hasWaited().
};

} // namespace crowstep::waiting

#endif // CROWSTEP_WAITING_CALL_WAIT_H
