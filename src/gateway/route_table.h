/// The route table in force, indexed for lookups.
#ifndef CROWSTEP_GATEWAY_ROUTE_TABLE_H
#define CROWSTEP_GATEWAY_ROUTE_TABLE_H

#include "gateway/route_type.h"

#include <memory>
#include <set>
#include <string_view>
#include <unordered_map>

namespace crowstep::gateway {

/// Ranks of all pairs of priorities in a table; the first of a pair decides,
/// then the second.
class PriorityRanks {
public:
  using Priorities = std::pair<unsigned, unsigned>;

  void add(Priorities Pair) { m_Pairs.insert(Pair); }

  /// Returns the rank of a pair that was added; 0 is the most urgent. Engines
  /// know ten ranks; with more pairs, adjacent ones share a rank.
  [[nodiscard]] unsigned rankOf(Priorities Pair) const;

private:
  std::set<Priorities> m_Pairs; ///< Never shrinks.
};

/// An immutable table; requests keep the one that they began with.
class RouteTable {
public:
  explicit RouteTable(RouteTableData Data);
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;

  [[nodiscard]] RouteTableVersion version() const { return m_Data.m_Version; }
  [[nodiscard]] const RouteTableData &data() const { return m_Data; }

  /// Returns the route of \p Host with the longest path prefix that matches
  /// \p Path, or null. \p Host may be in any case and have a port.
  [[nodiscard]] const Route *find(std::string_view Host,
                                  std::string_view Path) const;

  /// Returns the workspace that owns \p Key, or null.
  [[nodiscard]] const WorkspaceEntry *
  workspaceOfKey(const std::string &Key) const;

  /// Returns the rank of a call in the wait queue: by the workspace's priority,
  /// or the route's if it has none, and among equals by the route's.
  [[nodiscard]] unsigned queueRank(const Route &CallRoute,
                                   const WorkspaceEntry *KeyOwner) const;

  /// Returns the rank of a call at an engine: by the route's priority, and
  /// among equals by the workspace's. An engine preempts its least urgent rank
  /// for a more urgent call; by the workspace first, a call of an urgent route
  /// would be preempted while one of a less urgent route runs on.
  [[nodiscard]] unsigned engineRank(const Route &CallRoute,
                                    const WorkspaceEntry *KeyOwner) const;

  /// Returns whether the table has any keys to check.
  [[nodiscard]] bool hasKeys() const { return !m_Data.m_Workspaces.empty(); }

private:
  RouteTableData m_Data; ///< The pointers below point into it.
  std::unordered_map<std::string, const Route *>
      m_ByHostAndPrefix; ///< Host + path prefix.
  std::unordered_map<std::string, const WorkspaceEntry *>
      m_ByKey;                 ///< By API key.
  PriorityRanks m_QueueRanks;  ///< See queueRank().
  PriorityRanks m_EngineRanks; ///< See engineRank().
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_ROUTE_TABLE_H
