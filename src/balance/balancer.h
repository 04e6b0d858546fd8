/// Chooses an upstream for each call, from what one instance knows.
///
/// Every instance decides alone. What they must agree on follows from hashes
/// of ids that all of them know: which engines take long prompts, and where a
/// prompt's beginning is kept.
#ifndef CROWSTEP_BALANCE_BALANCER_H
#define CROWSTEP_BALANCE_BALANCER_H

#include "balance/upstream_state.h"

#include <unordered_map>

namespace crowstep::balance {

class Balancer {
public:
  /// \p Zone is the instance's own.
  explicit Balancer(AvailabilityZone Zone) : m_Zone(std::move(Zone)) {}

  /// Replaces the list; what is known of those that stay is kept. Calls at
  /// upstreams that went count on until they end.
  void setUpstreams(const std::vector<Upstream> &List);

  /// Chooses an upstream and counts the call there until ended().
  PlacementResult place(const PlacementQuery &Query, TimePoint Now);

  /// The first event or the whole answer came: the prompt has been read.
  void answered(TicketId Ticket);

  /// The upstream told its load.
  void reported(TicketId Ticket, const LoadReport &Load, TimePoint Now);

  /// The call is over at the upstream. Unknown tickets are ignored.
  void ended(TicketId Ticket, CallOutcome Outcome, TimePoint Now);

  /// Returns whether the upstream of a call is still listed and not leaving.
  [[nodiscard]] bool mayBegin(TicketId Ticket, TimePoint Now) const;

  /// Returns how many upstreams are listed.
  [[nodiscard]] std::size_t size() const { return m_States.size(); }

private:
  using States = std::vector<UpstreamState *>;

  /// A call that counts at an upstream.
  struct Ticket {
    UpstreamId m_Upstream;      ///< May have gone from the list.
    std::uint64_t m_Unread = 0; ///< Prompt tokens, until answered().
  };

  States candidates(const PlacementQuery &Query, TimePoint Now);
  UpstreamState *choose(const PlacementQuery &Query, const States &From,
                        TimePoint Now) const;
  UpstreamState *chooseForPlain(const States &From, TimePoint Now) const;
  UpstreamState *stateOf(TicketId Ticket);

  AvailabilityZone m_Zone;                                ///< Own.
  std::unordered_map<UpstreamId, UpstreamState> m_States; ///< Listed ones.
  std::unordered_map<TicketId, Ticket> m_Tickets;         ///< Not ended.
  std::uint64_t m_LastTicket = 0;                         ///< Ids start at 1.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_BALANCER_H
