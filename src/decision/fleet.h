/// The upstreams of a pool and their state.
#ifndef CROWSTEP_DECISION_FLEET_H
#define CROWSTEP_DECISION_FLEET_H

#include "decision/class_base.h"
#include "decision/prefix_index.h"
#include "decision/upstream_state_base.h"

#include <map>
#include <set>
#include <vector>

namespace crowstep::decision {

/// Keeps the upstreams; placement_func.h chooses among them.
class Fleet {
public:
  /// Replaces the list of upstreams.
  void setUpstreams(const std::vector<Upstream> &Listed, TimePoint Now);

  void apply(const LoadReport &Report, TimePoint Now);
  void apply(const CacheEvent &Event);
  void apply(const UpstreamDrained &Drained);

  /// Records that the upstream itself reported to be draining.
  static void noteDraining(UpstreamState &State, TimePoint Now);

  /// Ends the draining of upstreams that only the list reported to be draining,
  /// once it has not done so for tuning::DrainingHoldTime. Returns whether any
  /// changed.
  bool expireDraining(TimePoint Now);

  /// Records a failed call and makes the upstream pause: a crashed one looks
  /// idle, and would get every bid until it is no longer listed.
  static void noteFailure(UpstreamState &State, bool IsConnect, TimePoint Now);
  static void noteSuccess(UpstreamState &State);

  /// Records the start and the end of granted work.
  void addWork(UpstreamState &State, const Request &Work, TimePoint Now);
  void endWork(UpstreamState &State, const Request &Work, TimePoint Now);

  /// Returns the upstream, or null if it is unknown.
  [[nodiscard]] UpstreamState *find(UpstreamId Id);

  /// Returns the upstream; creates an unlisted one if it is unknown.
  UpstreamState &findOrCreate(UpstreamId Id);

  /// Updates the eligible upstreams of \p Class and the number of their slots.
  void updateClass(ClassState &Class);

  /// Tells whether any usable upstream has a free slot.
  [[nodiscard]] bool hasFreeSlot(TimePoint Now) const;

  [[nodiscard]] std::map<UpstreamId, UpstreamState> &upstreams() {
    return m_Upstreams;
  }
  [[nodiscard]] const std::map<UpstreamId, UpstreamState> &upstreams() const {
    return m_Upstreams;
  }
  /// Increases with every change of an upstream's work or a class's upstreams.
  [[nodiscard]] std::uint64_t changeCount() const { return m_ChangeCount; }

  [[nodiscard]] PrefixIndex &prefixes() { return m_Prefixes; }
  [[nodiscard]] const PrefixIndex &prefixes() const { return m_Prefixes; }

  /// Returns the service of the listed upstreams; empty if there are none.
  [[nodiscard]] std::string service() const;

private:
  /// Listed, still running work, or held as draining.
  std::map<UpstreamId, UpstreamState> m_Upstreams;
  /// Subset of m_Upstreams, for fast iteration.
  std::vector<UpstreamState *> m_ListedUpstreams;
  /// Includes unlisted upstreams, so that one that disappears from the list for
  /// a while stays drained.
  std::set<UpstreamId> m_DrainedByOperators;
  PrefixIndex m_Prefixes;          ///< By UpstreamState::m_HintTag.
  std::uint64_t m_ChangeCount = 1; ///< See changeCount().
  std::uint32_t m_NextTag = 1;     ///< 0 is not a valid tag.
};

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_FLEET_H
