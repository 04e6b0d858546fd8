/// Placement that this entry decides locally.
///
/// Used for the baselines that crowstep is measured against, and while no
/// dispatcher can be reached.
#ifndef CROWSTEP_ENTRY_LOCAL_PLACEMENT_H
#define CROWSTEP_ENTRY_LOCAL_PLACEMENT_H

#include "core/scheduler.h"
#include "decision/decider.h"
#include "entry/directory.h"
#include "entry/placement.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace crowstep::entry {

/// Configuration of the local decider, and its share of the slots.
struct LocalPlacementConfig {
  decision::DeciderConfig m_Decider; ///< For the decider of each pool.
  InstanceId m_Self;                 ///< Id of this entry.
  AvailabilityZone m_Zone;           ///< Zone of this entry.
  /// Returns the number by which the slots of each upstream are divided. Other
  /// entries may place locally at the same time, so each uses only a share;
  /// 0 counts as 1.
  std::function<std::uint32_t()> m_SlotDivisor;
};

class LocalPlacement final : public Placement {
public:
  LocalPlacement(LocalPlacementConfig Config, const Directory &Dir,
                 const Clock &Time, Scheduler &Timers);

  BidNumber bid(const BidTerms &Terms, PlacementListener &Listener) override;
  void withdraw(BidNumber Bid) override;
  void reportFirstToken(BidNumber Bid, Duration Latency) override;
  void release(BidNumber Bid, const ReleaseSlot &Release) override;

  /// Passes the current table and upstreams to the deciders.
  void refresh();

  /// Returns whether the bid is still waiting.
  [[nodiscard]] bool isWaiting(BidNumber Bid) const;

private:
  struct Pool {
    explicit Pool(const decision::DeciderConfig &Config, Scheduler &Timers)
        : m_Decider(Config), m_Timer(Timers) {}
    decision::Decider m_Decider; ///< Decider of the pool.
    Timer m_Timer;               ///< For the decider's next deadline.
  };
  /// A bid that waits, or the call on its slot.
  struct BidState {
    std::string m_Service;         ///< Service of the pool.
    PlacementListener *m_Listener; ///< Outlives the bid.
    bool m_HasSlot = false;        ///< The bid was granted.
  };

  void ensurePool(const std::string &Service);
  void refresh(const std::string &Service);
  void handle(const std::string &Service, const decision::Event &Event);
  void queueAction(const decision::Action &Action);
  void deliverActions();
  void carryOut(const decision::Grant &Action);
  void carryOut(const decision::Refuse &Action);
  void carryOut(const decision::Preempt &Action);
  void carryOut(const decision::EjectionChanged &) {}
  [[nodiscard]] const Upstream *findUpstream(UpstreamId Id) const;

  LocalPlacementConfig m_Config; ///< As given.
  const Directory &m_Directory;  ///< Outlives this object.
  const Clock &m_Clock;          ///< Outlives this object.
  Scheduler &m_Timers;           ///< Outlives this object.
  std::map<std::string, std::unique_ptr<Pool>> m_Pools; ///< By service.
  std::map<std::uint64_t, BidState> m_Bids;             ///< By bid number.
  std::uint64_t m_LastNumber = 0; ///< Of the last bid; only grows.
  std::deque<decision::Action> m_PendingActions; ///< Not yet delivered.
  Timer m_DeliverTimer;                          ///< Delivers to listeners.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_LOCAL_PLACEMENT_H
