/// Timing of the attachment of an entry to a dispatcher, used by both sides.
#ifndef CROWSTEP_ATTACHMENT_TYPE_H
#define CROWSTEP_ATTACHMENT_TYPE_H

#include "core/clock.h"

namespace crowstep {

/// How long an entry may serve after it sent an acknowledgement that a
/// dispatcher has echoed. The dispatcher counts the same time from the receipt
/// of it, so it never treats an entry's right as expired too early.
inline constexpr Duration EntryRightToServe = std::chrono::seconds(2);

/// Time between two attachments to an entry.
inline constexpr Duration AttachmentInterval = std::chrono::milliseconds(500);

} // namespace crowstep

#endif // CROWSTEP_ATTACHMENT_TYPE_H
