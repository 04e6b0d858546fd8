/// Runs the Decider of one pool that this dispatcher owns.
#ifndef CROWSTEP_DISPATCHER_POOL_RUNNER_H
#define CROWSTEP_DISPATCHER_POOL_RUNNER_H

#include "core/scheduler.h"
#include "decision/decider.h"
#include "link/link_type.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace crowstep::dispatcher {

/// An entry that holds requests of the pool.
struct EntrySession {
  InstanceId m_Id;         ///< See sessionIdOf().
  AvailabilityZone m_Zone; ///< Where it is.
};

/// Returns the id of one incarnation of an entry. Request numbers restart with
/// each incarnation, so under the instance's id the requests of a restarted
/// entry would be taken for those of its previous incarnation.
InstanceId sessionIdOf(const link::Peer &Entry);

/// Passes entries' frames and due ticks to one Decider and sends its actions.
class PoolRunner {
public:
  PoolRunner(PoolId Pool, std::string Service,
             const decision::DeciderConfig &Config, const Clock &Time,
             Scheduler &Timers, link::Links &Wire);

  /// Passes an event to the Decider and carries out the resulting actions.
  void handle(const decision::Event &Event);

  /// Handles what \p Frame contains for this pool; answers go out on \p Link.
  void handleFrame(link::LinkId Link, const EntrySession &Sender,
                   const wire::Frame &Frame);

  /// Drops the requests of an entry that counts as dead.
  void entryLost(InstanceId Session);

  [[nodiscard]] PoolId pool() const { return m_Pool; }
  [[nodiscard]] const std::string &service() const { return m_Service; }
  [[nodiscard]] decision::DeciderStats stats() const {
    return m_Decider.stats();
  }

  /// Returns the upstreams that the Decider has ejected.
  [[nodiscard]] const std::map<UpstreamId, std::string> &ejected() const {
    return m_Ejected;
  }

  /// Replaces the pool's upstreams.
  void setUpstreams(std::vector<Upstream> Upstreams);

private:
  decision::Bid decodeBid(const wire::Bid &In,
                          const EntrySession &Sender) const;
  void carryOut();
  void carryOut(const decision::Grant &Grant);
  void carryOut(const decision::Refuse &Refusal);
  void carryOut(const decision::Preempt &Preemption);
  void carryOut(const decision::EjectionChanged &Change);
  /// Returns the frame to the request's entry, or null if it has no link.
  wire::FrameT *outboxOf(const decision::RequestId &Request);
  void armTimer();

  PoolId m_Pool;                           ///< Of the service below.
  std::string m_Service;                   ///< Name of the service.
  const Clock &m_Clock;                    ///< Outlives this object.
  link::Links &m_Links;                    ///< Outlives this object.
  Timer m_Timer;                           ///< For the next Tick.
  decision::Decider m_Decider;             ///< Places the pool's requests.
  std::vector<decision::Action> m_Actions; ///< Of the current event.
  std::map<InstanceId, link::LinkId> m_EntryLinks; ///< Newest link of each.
  std::map<UpstreamId, Upstream> m_Upstreams;      ///< For addresses in grants.
  std::map<UpstreamId, std::string> m_Ejected;     ///< Names of the ejected.
};

} // namespace crowstep::dispatcher

#endif // CROWSTEP_DISPATCHER_POOL_RUNNER_H
