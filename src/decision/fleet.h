/// The upstreams of a pool and what is known of them.
#ifndef CROWSTEP_DECISION_FLEET_H
#define CROWSTEP_DECISION_FLEET_H

#include "decision/class_base.h"
#include "decision/prefix_index.h"
#include "decision/serving_base.h"

#include <map>
#include <set>
#include <vector>

namespace crowstep::decision {

/// Keeps the upstreams; placement.h chooses among them.
class Fleet {
public:
  /// Takes over the whole list.
  void setUpstreams(const std::vector<Upstream> &Listed, TimePoint Now);

  void take(const LoadReport &Report, TimePoint Now);
  void take(const CacheEvent &Event);
  void take(const UpstreamDrained &Drained);

  /// Notes that \p Where said itself that it takes no new work.
  static void noteLeaving(Serving &State, TimePoint Now);

  /// Believes the list again about upstreams that it alone named as leaving,
  /// and for long no more. Returns whether that changed any.
  bool forgetLeaving(TimePoint Now);

  /// Notes a call that \p Where did not answer, and pauses it: a crashed
  /// upstream looks idle, and would get every bid until the list drops it.
  static void noteFailure(Serving &State, bool IsConnect, TimePoint Now);
  static void noteSuccess(Serving &State);

  /// Notes a grant of \p Tokens expected output, and its end.
  void addWork(Serving &State, const Request &Work, TimePoint Now);
  void endWork(Serving &State, const Request &Work, TimePoint Now);

  /// Returns the upstream, or null when it was never listed.
  [[nodiscard]] Serving *find(UpstreamId Id);

  /// Returns the upstream, made up when it is not listed (yet).
  Serving &findOrMake(UpstreamId Id);

  /// Lists the upstreams that can run \p Class, and counts their slots.
  void updateClass(ClassState &Class);

  /// Tells whether any upstream that may get work has a free slot.
  [[nodiscard]] bool hasFreeSlot(TimePoint Now) const;

  [[nodiscard]] std::map<UpstreamId, Serving> &all() { return m_Servings; }
  [[nodiscard]] const std::map<UpstreamId, Serving> &all() const {
    return m_Servings;
  }
  /// Grows with every change of an upstream's work or of a class's upstreams.
  [[nodiscard]] std::uint64_t changes() const { return m_Changes; }

  [[nodiscard]] PrefixIndex &prefixes() { return m_Prefixes; }
  [[nodiscard]] const PrefixIndex &prefixes() const { return m_Prefixes; }

  /// Returns the service that the listed upstreams belong to.
  [[nodiscard]] std::string service() const;

private:
  std::map<UpstreamId, Serving> m_Servings; ///< Listed, or still running work.
  std::vector<Serving *> m_Listed; ///< Of m_Servings; quicker to walk over.
  std::set<UpstreamId> m_Drained;  ///< Also unlisted ones: an upstream that
                                   ///< flickers in the list stays drained.
  PrefixIndex m_Prefixes;          ///< By Serving::m_HintTag.
  std::uint64_t m_Changes = 1;     ///< See changes().
  std::uint32_t m_NextTag = 1;     ///< 0 is no tag.
};

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_FLEET_H
