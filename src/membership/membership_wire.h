/// Members and heartbeats between the state machine and the wire.
#ifndef CROWSTEP_MEMBERSHIP_MEMBERSHIP_WIRE_H
#define CROWSTEP_MEMBERSHIP_MEMBERSHIP_WIRE_H

#include "membership/membership_event.h"

namespace crowstep::membership {

/// Returns the member as a peer's handshake shows it.
Member memberOf(const link::Peer &Who);

/// Returns a member as it stands in a frame, and the other way round.
Member memberOf(const wire::Member &From);
std::unique_ptr<wire::MemberT> wireOf(const Member &From);

/// Returns the events in a frame that came over \p Link, in the order in which
/// they must be handled. Members without a name or an address are left out.
std::vector<Event> eventsOf(LinkId Link, const wire::Frame &Frame);

/// Puts messages into the frame under assembly.
void put(const SendMembers &What, wire::FrameT &Frame);
void put(const SendNews &What, wire::FrameT &Frame);
void put(const SendHeartbeat &What, wire::FrameT &Frame);

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_MEMBERSHIP_WIRE_H
