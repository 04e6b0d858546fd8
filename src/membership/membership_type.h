/// Membership as the rest of the program sees it: plain types.
#ifndef CROWSTEP_MEMBERSHIP_MEMBERSHIP_TYPE_H
#define CROWSTEP_MEMBERSHIP_MEMBERSHIP_TYPE_H

#include "contract_type.h"
#include "instance_type.h"
#include "upstream_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crowstep::membership {

/// What is believed of a member.
enum class MemberState : std::uint8_t {
  Alive,   ///< Answers, or nobody says otherwise.
  Suspect, ///< Silent; may still refute it.
  Dead,    ///< Removed; comes back only with a higher incarnation.
  Left,    ///< Said goodbye; comes back only with a higher incarnation.
};

/// One dispatcher process of the fleet.
struct Member {
  InstanceId m_Id;                          ///< Hash of the name.
  std::string m_Name;                       ///< Of the instance.
  Incarnation m_Incarnation;                ///< Higher wins.
  MemberState m_State = MemberState::Alive; ///< At equal incarnation the
                                            ///< higher state wins.
  Address m_Address;                        ///< Where it takes links.
  AvailabilityZone m_Zone;                  ///< Where it is.
  TableVersion m_TableVersion; ///< The highest that it has confirmed.

  bool operator==(const Member &) const = default;
};

/// Returns the member that owns \p Pool by rendezvous hashing over those of
/// \p Members that are alive or suspect, or null where there is none.
const Member *ownerOf(PoolId Pool, const std::vector<Member> &Members);

/// Returns the up to \p Count members that come first for \p Key by rendezvous
/// hashing, in order.
std::vector<const Member *> homesOf(std::uint64_t Key, std::size_t Count,
                                    const std::vector<Member> &Members);

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_MEMBERSHIP_TYPE_H
