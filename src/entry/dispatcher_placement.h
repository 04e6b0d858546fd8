/// Placement through the dispatcher that owns the request's pool.
#ifndef CROWSTEP_ENTRY_DISPATCHER_PLACEMENT_H
#define CROWSTEP_ENTRY_DISPATCHER_PLACEMENT_H

#include "entry/dispatcher_links.h"
#include "entry/local_placement.h"
#include "entry/pause_guard.h"
#include "entry/placement.h"

#include <unordered_map>

namespace crowstep::entry {

/// Longest wait for a linked owner; then the bid is placed locally.
inline constexpr Duration OwnerTimeout = std::chrono::seconds(1);

class DispatcherPlacement final : public Placement {
public:
  /// Bids that no dispatcher accepts within OwnerTimeout go to \p Local. Bid
  /// numbers start above \p FirstNumber, which must differ between two starts
  /// of the same entry.
  DispatcherPlacement(DispatcherLinks &Dispatchers, LocalPlacement &Local,
                      PauseGuard &Guard, const Clock &Time, Scheduler &Timers,
                      std::uint64_t FirstNumber);

  BidNumber bid(const BidTerms &Terms, PlacementListener &Listener) override;
  void withdraw(BidNumber Number) override;
  void reportFirstToken(BidNumber Number, Duration Latency) override;
  void release(BidNumber Number, const ReleaseSlot &Release) override;

  /// Handles the grants, refusals and preemptions in \p Frame.
  void handleFrame(link::LinkId Link, const wire::Frame &Frame);

  /// Returns how many bids wait or have a slot.
  [[nodiscard]] std::size_t openBids() const { return m_Bids.size(); }

private:
  class LocalListener;

  /// A bid that waits, or the call on its slot.
  struct BidState {
    BidTerms m_Terms;              ///< As placed at m_BidAt.
    PoolId m_Pool;                 ///< Pool of the service.
    PlacementListener *m_Listener; ///< Outlives the bid.
    link::LinkId m_Link;      ///< Link to the owner that has it; may be none.
    TimePoint m_BidAt;        ///< To compute the time left.
    TimePoint m_NoOwnerSince; ///< Start of the wait for an owner.
    std::optional<UpstreamId> m_GrantedUpstream; ///< Set once granted.
    std::optional<BidNumber> m_LocalBid;         ///< Set while placed locally.
    std::unique_ptr<PlacementListener> m_LocalListener; ///< Of m_LocalBid.
  };
  using BidMap = std::unordered_map<std::uint64_t, BidState>;

  void reroute();
  void route(std::uint64_t Number, BidState &Bid);
  void sendToOwner(std::uint64_t Number, const BidState &Bid);
  [[nodiscard]] std::unique_ptr<wire::BidT>
  makeWireBid(std::uint64_t Number, const BidState &Bid) const;
  void handleGrant(link::LinkId Link, const wire::Grant &Grant);
  void handleRefusal(link::LinkId Link, const wire::Refusal &Refusal);
  void refuse(std::uint64_t Number, RefusalReason Reason, Duration RetryAfter);
  void returnGrant(link::LinkId Link, const wire::Grant &Grant, PoolId Pool);
  void scheduleReroute(Duration Wait);
  void placeLocally();
  bool returnToOwner(BidState &Bid);
  void handlePause();

  LocalPlacement &m_LocalPlacement;   ///< Outlives this object.
  DispatcherLinks &m_DispatcherLinks; ///< Outlives this object.
  PauseGuard &m_PauseGuard;           ///< Outlives this object.
  const Clock &m_Clock;               ///< Outlives this object.
  Timer m_RerouteTimer;               ///< For bids that no owner has.
  std::uint64_t m_LastNumber;         ///< Of the last bid; only grows.
  BidMap m_Bids;                      ///< By bid number.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_DISPATCHER_PLACEMENT_H
