/// What one process believes of all members.
///
/// Merging is a join: incarnation first, then state, then table version, each
/// only growing. Views that have merged the same news in any order and any
/// number of times are therefore equal.
#ifndef CROWSTEP_MEMBERSHIP_MEMBER_VIEW_H
#define CROWSTEP_MEMBERSHIP_MEMBER_VIEW_H

#include "core/clock.h"
#include "membership/membership_type.h"

#include <map>
#include <set>

namespace crowstep::membership {

/// What a merge changed.
enum class MergeResult : std::uint8_t {
  Nothing,     ///< The news was known or is outdated.
  VersionOnly, ///< Only the confirmed table version rose.
  StateOnly,   ///< Same incarnation, higher state.
  Joined,      ///< A new member or a higher incarnation.
};

/// All members known, the dead included until they are forgotten.
class MemberView {
public:
  explicit MemberView(const Member &Self);

  /// Merges news. A dead member that is not known stays unknown: taking it in
  /// would let the memory of the dead circulate for ever.
  MergeResult merge(const Member &News, TimePoint Now);

  /// Forgets who has been dead or gone since before \p Limit.
  bool forgetBefore(TimePoint Limit);

  /// Returns a member, or null.
  [[nodiscard]] const Member *find(InstanceId Id) const;

  /// Returns the ids of suspects that have been so since before \p Limit.
  [[nodiscard]] std::vector<InstanceId> suspectsBefore(TimePoint Limit) const;

  /// Returns all members in the order of their ids; valid until a change.
  [[nodiscard]] const std::vector<Member> &all() const;

  /// Returns the hash of the live members; equal for equal views. The dead are
  /// left out, as processes forget them at different times.
  [[nodiscard]] std::uint64_t hash() const { return m_Hash; }

private:
  struct Known {
    Member m_Member;   ///< As last merged.
    TimePoint m_Since; ///< When its state or incarnation changed.
  };

  void store(const Member &News, TimePoint Now);

  std::map<InstanceId, Known> m_Known; ///< By id; the process itself is in.
  std::set<InstanceId> m_Suspects;     ///< Those of m_Known in state Suspect.
  std::uint64_t m_Hash = 0;            ///< XOR over the live members.
  mutable std::vector<Member> m_All;   ///< Copy of m_Known, made on demand.
  mutable bool m_AllIsCurrent = false; ///< m_All equals m_Known.
};

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_MEMBER_VIEW_H
