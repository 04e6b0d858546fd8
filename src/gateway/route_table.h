/// The route table in force, made fast to look up.
#ifndef CROWSTEP_GATEWAY_ROUTE_TABLE_H
#define CROWSTEP_GATEWAY_ROUTE_TABLE_H

#include "gateway/route_type.h"

#include <memory>
#include <set>
#include <string_view>
#include <unordered_map>

namespace crowstep::gateway {

/// Ranks of all priorities that occur, each a pair of which the first decides
/// and the second among equals.
class PriorityRanks {
public:
  using Priorities = std::pair<unsigned, unsigned>;

  void add(Priorities Which) { m_Known.insert(Which); }

  /// Returns the rank of a pair that was added; 0 goes first. Engines know ten
  /// ranks; with more pairs, neighbours share one.
  [[nodiscard]] unsigned rankOf(Priorities Which) const;

private:
  std::set<Priorities> m_Known; ///< Grows only.
};

/// A table that never changes; requests hold the one they began under.
class RouteTable {
public:
  explicit RouteTable(RouteTableData Data);
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;

  [[nodiscard]] RouteTableVersion version() const { return m_Data.m_Version; }
  [[nodiscard]] const RouteTableData &data() const { return m_Data; }

  /// Returns the route of \p Host whose prefix is the longest that begins
  /// \p Path, or null. \p Host may be in any case and have a port.
  [[nodiscard]] const Route *find(std::string_view Host,
                                  std::string_view Path) const;

  /// Returns whose key this is, or null.
  [[nodiscard]] const KeyHolder *holderOf(const std::string &Key) const;

  /// Returns in which turn a call that waits here goes, among all that the
  /// table allows: first by the workspace's priority, or the route's where it
  /// has none, and among equals by the route's.
  [[nodiscard]] unsigned urgency(const Route &Which,
                                 const KeyHolder *Holder) const;

  /// Returns the rank of a call at an engine: first by the route's priority and
  /// among equals by the workspace's. An engine stops its last rank for a more
  /// urgent call; by the workspace first, a call of an urgent route would be
  /// stopped while one of a lesser route runs on.
  [[nodiscard]] unsigned engineRank(const Route &Which,
                                    const KeyHolder *Holder) const;

  /// Returns whether callers bear keys at all.
  [[nodiscard]] bool hasKeys() const { return !m_Data.m_Workspaces.empty(); }

private:
  RouteTableData m_Data; ///< The pointers below point into it.
  std::unordered_map<std::string, const Route *> m_ByPlace; ///< Host + prefix.
  std::unordered_map<std::string, const KeyHolder *> m_ByKey; ///< See holderOf.
  PriorityRanks m_Turns;       ///< See urgency().
  PriorityRanks m_EngineRanks; ///< See engineRank().
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_ROUTE_TABLE_H
