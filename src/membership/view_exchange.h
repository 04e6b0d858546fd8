/// Decides when two neighbours must exchange their whole views.
///
/// News floods once. What a broken link has swallowed is found by comparing
/// hashes of views, which ride on the heartbeats.
#ifndef CROWSTEP_MEMBERSHIP_VIEW_EXCHANGE_H
#define CROWSTEP_MEMBERSHIP_VIEW_EXCHANGE_H

#include "membership/membership_event.h"

#include <map>

namespace crowstep::membership {

/// The hashes last seen on each link.
class ViewExchange {
public:
  /// Takes a heartbeat's hash and returns whether to send the whole view now:
  /// at the first difference on a new link; later only when neither side's
  /// hash has changed since the last heartbeat, as a difference that moves is
  /// news still under way and would cost whole views at each change.
  bool differs(LinkId Link, std::uint64_t Own, std::uint64_t Theirs);

  /// Forgets a link.
  void drop(LinkId Link) { m_Last.erase(Link); }

private:
  struct Seen {
    std::uint64_t m_Own = 0;    ///< At the last heartbeat.
    std::uint64_t m_Theirs = 0; ///< In the last heartbeat.
    std::uint32_t m_Count = 0;  ///< Differing heartbeats in a row.
  };
  std::map<LinkId, Seen> m_Last; ///< Links that have had a heartbeat.
};

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_VIEW_EXCHANGE_H
