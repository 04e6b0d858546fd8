/// JSON bodies of the platform's calls; no I/O.
#ifndef CROWSTEP_PLATFORM_PLATFORM_CODEC_H
#define CROWSTEP_PLATFORM_PLATFORM_CODEC_H

#include "platform/platform_type.h"

namespace crowstep::platform {

/// Returns the body of a write.
std::string encodeWrites(const std::vector<RowWrite> &Writes);

/// Reads the outcomes of a write of \p Expected rows.
/// \throws PlatformAnswerError, also where the number differs.
std::vector<RowOutcome> decodeOutcomes(const std::string &Body,
                                       std::size_t Expected);

/// Reads rows. \throws PlatformAnswerError.
std::vector<Row> decodeRows(const std::string &Body);

/// Reads the instance list. A single entry that can't be read is left out and
/// logged: one bad line must not blind the fleet to all the others.
/// \throws PlatformAnswerError where the whole is no list.
InstanceListing decodeInstances(const std::string &Body);

} // namespace crowstep::platform

#endif // CROWSTEP_PLATFORM_PLATFORM_CODEC_H
