/// The pools that this dispatcher owns, and the entries that hold requests.
///
/// Ownership follows from the membership. The state of a pool is soft: a new
/// owner rebuilds it from the requests that entries send again.
#ifndef CROWSTEP_DISPATCHER_POOL_SET_H
#define CROWSTEP_DISPATCHER_POOL_SET_H

#include "contract_type.h"
#include "dispatcher/load_monitor.h"
#include "dispatcher/pool_runner.h"
#include "dispatcher/upstream_directory.h"
#include "membership/membership_type.h"

#include <map>
#include <memory>

namespace crowstep::dispatcher {

class PoolSet {
public:
  PoolSet(InstanceId Self, decision::DeciderConfig Config, const Clock &Time,
          Scheduler &Timers, link::Links &Wire, HttpClientInterface &Http,
          Duration LoadInterval, const UpstreamDirectory &Directory);

  void linkUp(link::LinkId Link, const link::Peer &Peer);
  void linkFrame(link::LinkId Link, const wire::Frame &Frame);
  void linkDown(link::LinkId Link, const link::Peer &Peer);

  /// Acquires and releases pools according to the membership.
  void membersChanged(const std::vector<membership::Member> &Members);

  /// Acquires the pools of new services; gives all pools their upstreams.
  void upstreamsChanged();

  /// Passes the table in force to the pools.
  void tableChanged(const ContractTable &Table);

  /// Releases all pools for good; entries bid to the new owners.
  void releaseAll();

  [[nodiscard]] const std::map<PoolId, std::unique_ptr<PoolRunner>> &
  pools() const {
    return m_Pools;
  }

private:
  struct Session {
    EntrySession m_Entry;                ///< Incarnation and zone.
    link::LinkId m_Link;                 ///< Its newest link.
    std::unique_ptr<Timer> m_GraceTimer; ///< Runs while it has no link.
  };

  void updateOwnership();
  void acquire(PoolId Pool, const std::string &Service);
  /// Answers bids for pools that are not owned here with not_owner.
  void answerForeignBids(link::LinkId Link, const wire::Frame &Frame);
  void removeSession(InstanceId Session);
  void updateLoadMonitor();

  InstanceId m_Self;                         ///< This dispatcher.
  decision::DeciderConfig m_Config;          ///< For each new pool.
  const Clock &m_Clock;                      ///< Outlives this object.
  Scheduler &m_Timers;                       ///< Outlives this object.
  link::Links &m_Links;                      ///< Outlives this object.
  const UpstreamDirectory &m_Directory;      ///< Outlives this object.
  LoadMonitor m_LoadMonitor;                 ///< Of the owned pools' upstreams.
  bool m_IsReleased = false;                 ///< After releaseAll().
  ContractTable m_Table;                     ///< In force; version 0: none yet.
  std::vector<membership::Member> m_Members; ///< As last received.
  std::map<PoolId, std::unique_ptr<PoolRunner>> m_Pools; ///< Owned now.
  std::map<InstanceId, Session> m_Sessions; ///< Linked or in grace time.
  std::map<link::LinkId, InstanceId> m_SessionOfLink; ///< Of entries' links.
};

} // namespace crowstep::dispatcher

#endif // CROWSTEP_DISPATCHER_POOL_SET_H
