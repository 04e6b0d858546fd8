/// Public plain types of the membership protocol.
#ifndef CROWSTEP_MEMBERSHIP_MEMBERSHIP_TYPE_H
#define CROWSTEP_MEMBERSHIP_MEMBERSHIP_TYPE_H

#include "contract_type.h"
#include "instance_type.h"
#include "upstream_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crowstep::membership {

/// State of a member, as one process knows it.
enum class MemberState : std::uint8_t {
  Alive,   ///< Not suspected by anyone.
  Suspect, ///< Suspected to have failed; may refute it.
  Dead,    ///< Given up; returns only with a higher incarnation.
  Left,    ///< Announced that it leaves; returns like a dead one.
};

/// One dispatcher process of the fleet.
struct Member {
  InstanceId m_Id;                          ///< Hash of the name.
  std::string m_Name;                       ///< Of its instance.
  Incarnation m_Incarnation;                ///< Higher wins.
  MemberState m_State = MemberState::Alive; ///< At equal incarnation the
                                            ///< higher state wins.
  Address m_Address;                        ///< Where it accepts links.
  AvailabilityZone m_Zone;                  ///< Of its instance.
  TableVersion m_TableVersion; ///< The highest that it has confirmed.

  bool operator==(const Member &) const = default;
};

/// Returns the member that owns \p Pool by rendezvous hashing over those of
/// \p Members that are alive or suspect, or null if there is none.
const Member *ownerOf(PoolId Pool, const std::vector<Member> &Members);

/// Returns at most \p Count live members, in descending order of their
/// rendezvous score for \p Key.
std::vector<const Member *>
topRankedMembers(std::uint64_t Key, std::size_t Count,
                 const std::vector<Member> &Members);

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_MEMBERSHIP_TYPE_H
