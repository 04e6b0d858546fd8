/// Placement through the dispatcher that owns the request's pool.
#ifndef CROWSTEP_ENTRY_DISPATCHER_PLACEMENT_H
#define CROWSTEP_ENTRY_DISPATCHER_PLACEMENT_H

#include "entry/fleet.h"
#include "entry/local_placement.h"
#include "entry/pause_guard.h"
#include "entry/placement.h"

#include <unordered_map>

namespace crowstep::entry {

/// Longest wait for an owner that is linked; then the bid is decided here.
inline constexpr Duration OwnerPatience = std::chrono::seconds(1);

class DispatcherPlacement final : public Placement {
public:
  /// \p FirstNumber must differ between two starts of the same entry.
  /// Bids that no dispatcher takes within OwnerPatience go to \p Alone.
  DispatcherPlacement(Fleet &Dispatchers, LocalPlacement &Alone,
                      PauseGuard &Guard, const Clock &Time, Scheduler &Timers,
                      std::uint64_t FirstNumber);

  BidNumber bid(const BidTerms &Terms, PlacementListener &Listener) override;
  void withdraw(BidNumber Bid) override;
  void firstToken(BidNumber Bid, Duration Latency) override;
  void release(BidNumber Bid, const ReleaseSlot &How) override;

  /// Takes what \p Frame says of bids.
  void frame(link::LinkId Link, const wire::Frame &Frame);

private:
  struct Held {
    BidTerms m_Terms;                 ///< As bid.
    PoolId m_Pool;                    ///< Of the service.
    PlacementListener *m_Listener;    ///< Outlives the bid.
    link::LinkId m_Link;              ///< Where it was sent; none: nowhere.
    TimePoint m_BidAt;                ///< For what is left of its times.
    TimePoint m_Homeless;             ///< Since when no owner is linked.
    std::optional<UpstreamId> m_Slot; ///< Once granted.
    std::optional<BidNumber> m_Alone; ///< While it is decided here.
  };
  using HeldMap = std::unordered_map<std::uint64_t, Held>;

  void reroute();
  void route(std::uint64_t Number, Held &Each);
  void send(std::uint64_t Number, const Held &Each);
  [[nodiscard]] std::unique_ptr<wire::BidT> wireBid(std::uint64_t Number,
                                                    const Held &Each) const;
  void granted(link::LinkId Link, const wire::Grant &What);
  void refused(link::LinkId Link, const wire::Refusal &What);
  void unused(link::LinkId Link, const wire::Grant &What, PoolId Pool);
  void rerouteSoon(Duration Wait);
  void decideAlone();
  bool backToOwner(Held &Each);
  void woke();

  LocalPlacement &m_Alone;    ///< Outlives this object.
  Fleet &m_Fleet;             ///< Outlives this object.
  PauseGuard &m_Guard;        ///< Outlives this object.
  const Clock &m_Clock;       ///< Outlives this object.
  Timer m_Reroute;            ///< For bids that no owner holds.
  std::uint64_t m_LastNumber; ///< Numbers only grow.
  HeldMap m_Held;             ///< Bids and running work, by number.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_DISPATCHER_PLACEMENT_H
