/// Decides when two neighbours must exchange their full views (anti-entropy).
///
/// Each update is flooded once. Updates that were lost with a broken link are
/// detected by comparing the view hashes that heartbeats carry.
#ifndef CROWSTEP_MEMBERSHIP_VIEW_EXCHANGE_H
#define CROWSTEP_MEMBERSHIP_VIEW_EXCHANGE_H

#include "membership/membership_event.h"

#include <map>

namespace crowstep::membership {

/// The last view hashes on each link.
class ViewExchange {
public:
  /// Records the hashes at a heartbeat and returns whether to send the full
  /// view now: if they differ at the first heartbeat of a link; later only if
  /// neither hash has changed since the last heartbeat, or after several
  /// differing heartbeats in a row. While hashes change, updates are still
  /// under way, and each change would cost a full view.
  bool shouldSendView(LinkId Link, std::uint64_t Own, std::uint64_t Theirs);

  /// Removes a closed link.
  void removeLink(LinkId Link) { m_LastHashes.erase(Link); }

private:
  struct LinkHashes {
    std::uint64_t m_Own = 0;            ///< At the last heartbeat.
    std::uint64_t m_Theirs = 0;         ///< In the last heartbeat.
    std::uint32_t m_DifferingCount = 0; ///< Differing heartbeats in a row
                                        ///< since the last exchange.
  };
  std::map<LinkId, LinkHashes>
      m_LastHashes; ///< By link; since its first heartbeat.
};

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_VIEW_EXCHANGE_H
