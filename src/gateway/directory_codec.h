/// Encoding of directory updates on links.
#ifndef CROWSTEP_GATEWAY_DIRECTORY_CODEC_H
#define CROWSTEP_GATEWAY_DIRECTORY_CODEC_H

#include "gateway/directory.h"
#include "wire/crowstep_generated.h"

#include <memory>
#include <optional>

namespace crowstep::gateway {

/// Returns \p Update encoded for a frame.
std::unique_ptr<wire::DirectoryUpdateT>
packUpdate(const DirectoryUpdate &Update);

/// Returns the update that a peer sent, or nothing if it is inconsistent: a
/// field is missing, it ends before it begins, or a row is newer than it.
std::optional<DirectoryUpdate> unpack(const wire::DirectoryUpdate &From);

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_DIRECTORY_CODEC_H
