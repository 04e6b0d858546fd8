/// Calendar time by the median of the instances' clocks.
///
/// Usage windows are defined in calendar time. The clock of a single machine
/// can jump by seconds and back: an instance that counted by it would put its
/// requests into the wrong window. While fewer than half of the machines are
/// wrong, the median of their clocks is right.
#ifndef CROWSTEP_DUTY_MAJORITY_CLOCK_H
#define CROWSTEP_DUTY_MAJORITY_CLOCK_H

#include "core/clock.h"
#include "instance_type.h"

#include <unordered_map>

namespace crowstep::duty {

class MajorityClock {
public:
  /// Clocks that differ by less than this count as equal, since a reading that
  /// a peer has sent is older than an own one.
  static constexpr Duration Tolerance = std::chrono::milliseconds(250);

  /// Readings older than this are not used: the peer's clock may have jumped
  /// since.
  static constexpr Duration ReadingLifetime = std::chrono::seconds(5);

  /// \p Steady counts the time since a reading was received, also while this
  /// machine is suspended. Both clocks outlive this object.
  MajorityClock(const WallClock &Wall, const Clock &Steady)
      : m_Wall(Wall), m_Steady(Steady) {}

  /// Records what a peer's clock showed when it sent its last message.
  void recordPeer(InstanceId Peer, WallTime Reading);

  /// Forgets a peer.
  void removePeer(InstanceId Peer) { m_Peers.erase(Peer); }

  /// Returns the calendar time.
  [[nodiscard]] WallTime now() const;

private:
  /// A peer's clock.
  struct PeerClock {
    Duration m_Offset{};    ///< Its reading less the steady clock's.
    TimePoint m_ReceivedAt; ///< By the steady clock.
  };

  const WallClock &m_Wall;                           ///< Of this machine.
  const Clock &m_Steady;                             ///< Of this machine.
  std::unordered_map<InstanceId, PeerClock> m_Peers; ///< By instance.
};

} // namespace crowstep::duty

#endif // CROWSTEP_DUTY_MAJORITY_CLOCK_H
