/// Whom this process watches: its targets, and whoever has a link to it.
#ifndef CROWSTEP_MEMBERSHIP_WATCH_LIST_H
#define CROWSTEP_MEMBERSHIP_WATCH_LIST_H

#include "core/clock.h"
#include "membership/membership_event.h"

#include <functional>
#include <map>
#include <set>

namespace crowstep::membership {

/// When each watched member was last heard, and over which links.
///
/// Two clocks: silence is measured on running time, which stands still while
/// this process is frozen, so that it does not accuse others of its own pause;
/// whether a majority is heard is measured on real time, which does not.
class WatchList {
public:
  explicit WatchList(Duration SuspectAfter) : m_SuspectAfter(SuspectAfter) {}

  void linkUp(InstanceId Peer, LinkId Link, TimePoint Running, TimePoint Now);
  void linkDown(LinkId Link, CloseReason Why);
  void heard(LinkId Link, TimePoint Running, TimePoint Now);

  /// Replaces the targets, which are watched even without a link.
  void setTargets(const std::set<InstanceId> &Targets, TimePoint Running);

  /// Returns who has been silent for too long; nobody while this process hears
  /// no one at all and is not \p Stretch times as late, as then the fault is
  /// rather its own.
  [[nodiscard]] std::vector<InstanceId> silent(TimePoint Running) const;

  /// Returns whether everyone watched is silent, with two at least.
  [[nodiscard]] bool allSilent(TimePoint Running) const;

  /// Remembers that this process has accused \p Peer.
  void accused(InstanceId Peer);

  /// \p Peer is alive by the word of others. If this process had accused it,
  /// its own path to it is at fault: returns the links to close, and accuses
  /// it only after twice the time from now on.
  std::vector<LinkId> vouched(InstanceId Peer, TimePoint Running);

  /// Returns whether \p Peer closed its last link to here.
  [[nodiscard]] bool closedByPeer(InstanceId Peer) const;

  /// Returns whether more than half of those watched that \p Counts, and this
  /// process, were heard within the suspicion time.
  [[nodiscard]] bool
  hearsMost(TimePoint Now, const std::function<bool(InstanceId)> &Counts) const;

  /// Returns the first link to a member, or none.
  [[nodiscard]] LinkId linkTo(InstanceId Peer) const;

  /// Returns the member at the other end of a link; id 0 for an unknown link.
  [[nodiscard]] InstanceId peerOf(LinkId Link) const;

  /// Returns every link and whom it leads to.
  [[nodiscard]] const std::map<LinkId, InstanceId> &links() const {
    return m_Links;
  }

private:
  struct Watch {
    std::set<LinkId> m_Links;                     ///< Up.
    TimePoint m_HeardRunning;                     ///< Or when the watch began.
    TimePoint m_HeardNow{-std::chrono::hours(1)}; ///< Long ago: never heard.
    std::uint32_t m_Patience = 1; ///< Multiplies the suspicion time.
    bool m_IsTarget = false;      ///< Watched even without a link.
    bool m_ClosedByPeer = false;  ///< How the last link ended.
    bool m_Accused = false;       ///< By this process, since last heard.
  };

  [[nodiscard]] bool isSilent(const Watch &Which, TimePoint Running) const;
  void dropUnused();

  Duration m_SuspectAfter;               ///< Of silence; > 0.
  std::map<InstanceId, Watch> m_Watches; ///< Targets and linked peers.
  std::map<LinkId, InstanceId> m_Links;  ///< All links of m_Watches.
};

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_WATCH_LIST_H
