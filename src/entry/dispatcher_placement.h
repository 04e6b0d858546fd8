/// Placement through the dispatcher that owns the request's pool.
#ifndef CROWSTEP_ENTRY_DISPATCHER_PLACEMENT_H
#define CROWSTEP_ENTRY_DISPATCHER_PLACEMENT_H

#include "entry/fleet.h"
#include "entry/local_placement.h"
#include "entry/pause_guard.h"
#include "entry/placement.h"

#include <unordered_map>

namespace crowstep::entry {

/// Longest wait for a linked owner; then the bid is placed locally.
inline constexpr Duration OwnerPatience = std::chrono::seconds(1);

class DispatcherPlacement final : public Placement {
public:
  /// Bids that no dispatcher accepts within OwnerTimeout go to \p Local. Bid
  /// numbers start above \p FirstNumber, which must differ between two starts
  /// of the same entry.
  DispatcherPlacement(Fleet &Dispatchers, LocalPlacement &Local,
                      PauseGuard &Guard, const Clock &Time, Scheduler &Timers,
                      std::uint64_t FirstNumber);

  BidNumber bid(const BidTerms &Terms, PlacementListener &Listener) override;
  void withdraw(BidNumber Number) override;
  void firstToken(BidNumber Number, Duration Latency) override;
  void release(BidNumber Number, const ReleaseSlot &Release) override;

  /// Handles the grants, refusals and preemptions in \p Frame.
  void frame(link::LinkId Link, const wire::Frame &Frame);

private:
  /// A bid that waits, or the call on its slot.
  struct Held {
    BidTerms m_Terms;              ///< As placed at m_BidAt.
    PoolId m_Pool;                 ///< Pool of the service.
    PlacementListener *m_Listener; ///< Outlives the bid.
    link::LinkId m_Link;  ///< Link to the owner that has it; may be none.
    TimePoint m_BidAt;    ///< To compute the time left.
    TimePoint m_Homeless; ///< Start of the wait for an owner.
    std::optional<UpstreamId> m_Slot; ///< Set once granted.
    std::optional<BidNumber> m_Alone; ///< Set while placed locally.
  };
  using HeldMap = std::unordered_map<std::uint64_t, Held>;

  void reroute();
  void route(std::uint64_t Number, Held &Bid);
  void send(std::uint64_t Number, const Held &Bid);
  [[nodiscard]] std::unique_ptr<wire::BidT> wireBid(std::uint64_t Number,
                                                    const Held &Bid) const;
  void granted(link::LinkId Link, const wire::Grant &Grant);
  void refused(link::LinkId Link, const wire::Refusal &Refusal);
  void unused(link::LinkId Link, const wire::Grant &Grant, PoolId Pool);
  void rerouteSoon(Duration Wait);
  void decideAlone();
  bool backToOwner(Held &Bid);
  void woke();

  LocalPlacement &m_Alone;    ///< Outlives this object.
  Fleet &m_Fleet;             ///< Outlives this object.
  PauseGuard &m_Guard;        ///< Outlives this object.
  const Clock &m_Clock;       ///< Outlives this object.
  Timer m_Reroute;            ///< For bids that no owner has.
  std::uint64_t m_LastNumber; ///< Of the last bid; only grows.
  HeldMap m_Held;             ///< By bid number.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_DISPATCHER_PLACEMENT_H
