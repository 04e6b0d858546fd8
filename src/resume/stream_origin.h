/// Where a stream began, which its continuation must match.
#ifndef CROWSTEP_RESUME_STREAM_ORIGIN_H
#define CROWSTEP_RESUME_STREAM_ORIGIN_H

#include "content_hash.h"
#include "core/clock.h"
#include "software_version.h"

#include <string>
#include <string_view>

namespace crowstep::resume {

/// Identifies a stream over all attempts of its caller.
using StreamKey = ContentHash;

/// Returns the key of the stream whose first event came with the attempt
/// \p Attempt of a caller in \p Workspace. Callers of different workspaces
/// can't name each other's streams.
StreamKey streamKeyOf(std::string_view Workspace, std::string_view Attempt);

/// The upstream of a stream's first event.
struct StreamOrigin {
  std::string m_Service;      ///< That the upstream belongs to.
  SoftwareVersion m_Software; ///< Of the upstream.

  bool operator==(const StreamOrigin &) const = default;
};

/// A stream that has begun.
struct StreamRecord {
  StreamKey m_Key;       ///< Of the stream.
  StreamOrigin m_Origin; ///< Where it began; with an unknown version it can't
                         ///< be continued anywhere.
  Duration m_Lifetime{}; ///< How long it may be resumed from now on.
};

} // namespace crowstep::resume

#endif // CROWSTEP_RESUME_STREAM_ORIGIN_H
