/// Calendar time by the median of the instances' clocks.
#include "duty/majority_clock.h"

#include <algorithm>
#include <vector>

namespace crowstep::duty {

void MajorityClock::recordPeer(InstanceId Peer, WallTime Reading) {
  const TimePoint Now = m_Steady.readNow();
  m_Peers[Peer] = {Reading.time_since_epoch() - Now.time_since_epoch(), Now};
}

WallTime MajorityClock::now() const {
  const TimePoint Now = m_Steady.readNow();
  const WallTime Own = m_Wall.now();
  const Duration OwnOffset = Own.time_since_epoch() - Now.time_since_epoch();
  std::vector<Duration> Offsets = {OwnOffset};
  for (const auto &[Id, Peer] : m_Peers)
    if (Now - Peer.m_ReceivedAt < ReadingLifetime)
      Offsets.push_back(Peer.m_Offset);
  // Of two clocks that differ none can be said to be right.
  constexpr std::size_t SmallestMajority = 3;
  if (Offsets.size() < SmallestMajority)
    return Own;
  const auto Middle =
      Offsets.begin() + static_cast<std::ptrdiff_t>(Offsets.size() / 2);
  std::nth_element(Offsets.begin(), Middle, Offsets.end());
  const Duration Difference = *Middle - OwnOffset;
  return std::chrono::abs(Difference) < Tolerance ? Own : Own + Difference;
}

} // namespace crowstep::duty
