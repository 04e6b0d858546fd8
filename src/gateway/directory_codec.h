/// Directory updates as they go over links.
#ifndef CROWSTEP_GATEWAY_DIRECTORY_CODEC_H
#define CROWSTEP_GATEWAY_DIRECTORY_CODEC_H

#include "gateway/directory.h"
#include "wire/crowstep_generated.h"

#include <memory>
#include <optional>

namespace crowstep::gateway {

/// Returns \p What for a frame.
std::unique_ptr<wire::DirectoryUpdateT> packed(const DirectoryUpdate &What);

/// Returns what a peer sent, or nothing where it contradicts itself: a field is
/// missing, or a row has a version that the update doesn't cover.
std::optional<DirectoryUpdate> unpacked(const wire::DirectoryUpdate &From);

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_DIRECTORY_CODEC_H
