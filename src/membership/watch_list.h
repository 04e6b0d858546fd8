/// The members that this process watches: its targets and all linked peers.
#ifndef CROWSTEP_MEMBERSHIP_WATCH_LIST_H
#define CROWSTEP_MEMBERSHIP_WATCH_LIST_H

#include "core/clock.h"
#include "membership/membership_event.h"

#include <functional>
#include <map>
#include <set>

namespace crowstep::membership {

/// When the last frame of each watched member arrived, and over which links it
/// is reached.
///
/// Uses two clocks. Silence is measured on running time, which stands still
/// while this process is frozen, so that its own pause is not taken for silence
/// of others. Contact with a majority is measured on real time, which goes on.
class WatchList {
public:
  explicit WatchList(Duration SuspectAfter) : m_SuspectAfter(SuspectAfter) {}

  void linkUp(InstanceId Peer, LinkId Link, TimePoint RunningTime,
              TimePoint Now);
  void linkDown(LinkId Link, CloseReason Reason);
  /// A frame arrived.
  void frameReceived(LinkId Link, TimePoint RunningTime, TimePoint Now);

  /// Replaces the targets, which are watched even without a link.
  void setTargets(const std::set<InstanceId> &Targets, TimePoint RunningTime);

  /// Returns the members silent for longer than their suspicion time. While
  /// everyone watched is silent, the fault is likely this process's own, and
  /// two more suspicion times must pass before any of them is returned.
  [[nodiscard]] std::vector<InstanceId>
  silentPeers(TimePoint RunningTime) const;

  /// Returns whether all watched members, and at least two, are silent.
  [[nodiscard]] bool areAllSilent(TimePoint RunningTime) const;

  /// Records that this process has reported \p Peer as suspect or dead.
  void recordFailureReport(InstanceId Peer);

  /// An update shows that \p Peer is alive. If this process had reported a
  /// failure of it, its own path to the peer is at fault: returns the links to
  /// close and doubles the suspicion time of the peer, until a frame of it
  /// arrives.
  std::vector<LinkId> handleRefutation(InstanceId Peer, TimePoint RunningTime);

  /// Returns whether \p Peer has no link left and closed the last one itself.
  [[nodiscard]] bool wasClosedByPeer(InstanceId Peer) const;

  /// Returns whether frames of more than half of the watched members for which
  /// \p Counts holds, this process counted in both, arrived within the
  /// suspicion time.
  [[nodiscard]] bool
  receivedFromMajority(TimePoint Now,
                       const std::function<bool(InstanceId)> &Counts) const;

  /// Returns the link with the lowest id to a member, or none.
  [[nodiscard]] LinkId linkTo(InstanceId Peer) const;

  /// Returns the member at the other end of a link, or 0 if it is unknown.
  [[nodiscard]] InstanceId peerOf(LinkId Link) const;

  /// Returns all links and the members that they lead to.
  [[nodiscard]] const std::map<LinkId, InstanceId> &links() const {
    return m_Links;
  }

private:
  struct Watch {
    std::set<LinkId> m_Links;        ///< Those that are up.
    TimePoint m_LastReceivedRunning; ///< Or start of the watch.
    TimePoint m_LastReceivedReal{
        -std::chrono::hours(1)};       ///< Initially long ago.
    std::uint32_t m_TimeoutFactor = 1; ///< Multiplies the suspicion time.
    bool m_IsTarget = false;           ///< Watched even without a link.
    bool m_ClosedByPeer = false;       ///< How the last link was closed.
    bool m_FailureReported = false; ///< By this process, and not refuted since.
  };

  [[nodiscard]] bool isSilent(const Watch &Watched,
                              TimePoint RunningTime) const;
  void removeUnused();

  Duration m_SuspectAfter;               ///< Of silence; > 0.
  std::map<InstanceId, Watch> m_Watches; ///< Targets and linked peers.
  std::map<LinkId, InstanceId> m_Links;  ///< All links of m_Watches.
};

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_WATCH_LIST_H
