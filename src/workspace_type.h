/// Plain types of customers.
#ifndef CROWSTEP_WORKSPACE_TYPE_H
#define CROWSTEP_WORKSPACE_TYPE_H

#include "core/strong_id.h"

namespace crowstep {

/// Names a workspace; the number stands in the platform's workspace rows.
using WorkspaceId = StrongId<struct WorkspaceTag, std::uint32_t>;

} // namespace crowstep

#endif // CROWSTEP_WORKSPACE_TYPE_H
