/// Converts between the types of the state machine and those of the wire.
#ifndef CROWSTEP_MEMBERSHIP_MEMBERSHIP_WIRE_H
#define CROWSTEP_MEMBERSHIP_MEMBERSHIP_WIRE_H

#include "membership/membership_event.h"

namespace crowstep::membership {

/// Returns the member that a peer's handshake describes.
Member memberOf(const link::Peer &Remote);

/// Converts a member from and to its form in a frame.
Member memberOf(const wire::Member &Source);
std::unique_ptr<wire::MemberT> wireOf(const Member &Source);

/// Returns the events in a frame received over \p Link, in the order in which
/// they must be handled. Leaves out members without a name or a port and
/// anything with an unknown state.
std::vector<Event> eventsOf(LinkId Link, const wire::Frame &Frame);

/// Adds a message to the frame under assembly.
void addToFrame(const SendMembers &Message, wire::FrameT &Frame);
void addToFrame(const SendUpdates &Message, wire::FrameT &Frame);
void addToFrame(const SendHeartbeat &Message, wire::FrameT &Frame);

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_MEMBERSHIP_WIRE_H
