/// Placement that this entry decides alone.
///
/// It serves two ends: the baselines that crowstep is measured against, and
/// the time in which no dispatcher can be reached.
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

/// Who decides, and over which part of the upstreams' slots.
struct LocalPlacementConfig {
  decision::DeciderConfig m_Policy; ///< How it orders and places.
  InstanceId m_Self;                ///< This entry.
  AvailabilityZone m_Zone;          ///< Of this entry.
  /// Returns by how much each upstream's slots are divided, >= 1: as other
  /// entries may decide alone too, each takes only its own part.
  std::function<std::uint32_t()> m_Divisor;
};

class LocalPlacement final : public Placement {
public:
  LocalPlacement(LocalPlacementConfig Config, const Directory &Known,
                 const Clock &Time, Scheduler &Timers);

  BidNumber bid(const BidTerms &Terms, PlacementListener &Listener) override;
  void withdraw(BidNumber Bid) override;
  void firstToken(BidNumber Bid, Duration Latency) override;
  void release(BidNumber Bid, const ReleaseSlot &How) override;

  /// Takes over the table and the upstreams as they now are.
  void refresh();

  /// Returns whether the bid still waits.
  [[nodiscard]] bool waits(BidNumber Bid) const;

private:
  struct Pool {
    explicit Pool(const decision::DeciderConfig &Config, Scheduler &Timers)
        : m_Decider(Config), m_Timer(Timers) {}
    decision::Decider m_Decider; ///< Decides.
    Timer m_Timer;               ///< For its next tick.
  };
  struct Held {
    std::string m_Service;         ///< Names the pool.
    PlacementListener *m_Listener; ///< Outlives the bid.
    bool m_Granted = false;        ///< A slot is held.
  };

  void ensurePool(const std::string &Service);
  void refresh(const std::string &Service);
  void handle(const std::string &Service, const decision::Event &What);
  void later(const decision::Action &What);
  void deliver();
  void carryOut(const decision::Grant &What);
  void carryOut(const decision::Refuse &What);
  void carryOut(const decision::Preempt &What);
  void carryOut(const decision::EjectionChanged &) {}
  [[nodiscard]] const Upstream *upstream(UpstreamId Id) const;

  LocalPlacementConfig m_Config; ///< As given.
  const Directory &m_Directory;  ///< Outlives this object.
  const Clock &m_Clock;          ///< Outlives this object.
  Scheduler &m_Timers;           ///< Outlives this object.
  std::map<std::string, std::unique_ptr<Pool>> m_Pools; ///< By service.
  std::map<std::uint64_t, Held> m_Held; ///< Bids and running work.
  std::uint64_t m_LastNumber = 0;       ///< Numbers only grow.
  std::deque<decision::Action> m_Due;   ///< To be told to listeners.
  Timer m_Deliver;                      ///< Tells them.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_LOCAL_PLACEMENT_H
