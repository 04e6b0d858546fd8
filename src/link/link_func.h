/// Functions on link types.
#ifndef CROWSTEP_LINK_LINK_FUNC_H
#define CROWSTEP_LINK_LINK_FUNC_H

#include "link/link_type.h"

namespace crowstep::link {

/// Returns the reason's name for metrics and logs.
const char *closeReasonName(CloseReason Reason);

} // namespace crowstep::link

#endif // CROWSTEP_LINK_LINK_FUNC_H
