/// Conversion of upstreams and workspaces to and from frames.
#ifndef CROWSTEP_KNOWLEDGE_WIRE_H
#define CROWSTEP_KNOWLEDGE_WIRE_H

#include "upstream_type.h"
#include "wire/crowstep_generated.h"
#include "workspace_type.h"

#include <memory>

namespace crowstep {

std::unique_ptr<wire::UpstreamInfoT> toWire(const Upstream &Value);
std::unique_ptr<wire::WorkspaceInfoT> toWire(const Workspace &Value);

/// Returns what a peer sent; absent strings become empty.
Upstream fromWire(const wire::UpstreamInfo &Value);
Workspace fromWire(const wire::WorkspaceInfo &Value);

} // namespace crowstep

#endif // CROWSTEP_KNOWLEDGE_WIRE_H
