/// The view that one process has of all members.
///
/// Merging is a join of a semilattice: a higher incarnation wins; within one,
/// state and table version only grow. Views that have merged the same updates,
/// in any order and any number of times, are therefore equal.
#ifndef CROWSTEP_MEMBERSHIP_MEMBER_VIEW_H
#define CROWSTEP_MEMBERSHIP_MEMBER_VIEW_H

#include "core/clock.h"
#include "membership/membership_type.h"

#include <map>
#include <set>

namespace crowstep::membership {

/// What a merge changed.
enum class MergeResult : std::uint8_t {
  Unchanged,    ///< The update is known or outdated.
  VersionOnly,  ///< Only the confirmed table version rose.
  StateChanged, ///< Higher state; the version may have risen too.
  Joined,       ///< A new member or a higher incarnation.
};

/// All known members, including tombstones of those that died or left.
class MemberView {
public:
  explicit MemberView(const Member &Self);

  /// Merges an update. Ignores an unknown member that is dead or left: storing
  /// it would let tombstones circulate for ever.
  MergeResult merge(const Member &Update, TimePoint Now);

  /// Removes the members that died or left before \p Limit; returns whether
  /// there were any.
  bool removeTombstonesBefore(TimePoint Limit);

  /// Returns a member, or null.
  [[nodiscard]] const Member *find(InstanceId Id) const;

  /// Returns the members that have been suspect since before \p Limit.
  [[nodiscard]] std::vector<InstanceId> suspectsBefore(TimePoint Limit) const;

  /// Returns all members in the order of their ids. The reference stays valid;
  /// the content is that of the last call.
  [[nodiscard]] const std::vector<Member> &all() const;

  /// Returns the hash of the live members; equal for equal views. Tombstones
  /// are left out, as processes remove them at different times.
  [[nodiscard]] std::uint64_t hash() const { return m_Hash; }

private:
  struct MemberRecord {
    Member m_Member;   ///< As last merged.
    TimePoint m_Since; ///< When its state or incarnation changed.
  };

  void store(const Member &Update, TimePoint Now);

  std::map<InstanceId, MemberRecord>
      m_Records;                       ///< By id; contains this process.
  std::set<InstanceId> m_Suspects;     ///< Members in state Suspect.
  std::uint64_t m_Hash = 0;            ///< XOR over the live members.
  mutable std::vector<Member> m_All;   ///< Copy of m_Records, made on demand.
  mutable bool m_AllIsCurrent = false; ///< m_All equals m_Records.
};

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_MEMBER_VIEW_H
