/// JSON bodies of the platform's calls; no I/O.
#ifndef CROWSTEP_PLATFORM_PLATFORM_CODEC_H
#define CROWSTEP_PLATFORM_PLATFORM_CODEC_H

#include "platform/platform_type.h"

namespace crowstep::platform {

/// Returns the body of a write.
std::string encodeWrites(const std::vector<RowWrite> &Writes);

/// Parses the outcomes of a write of \p Expected rows.
/// \throws PlatformAnswerError, also if their number differs.
std::vector<RowOutcome> decodeOutcomes(const std::string &Body,
                                       std::size_t Expected);

/// Parses rows. \throws PlatformAnswerError.
std::vector<Row> decodeRows(const std::string &Body);

/// Parses the instance list. An entry that can't be parsed is skipped and
/// logged, so that it does not hide all others. \throws PlatformAnswerError if
/// the body is not such a list.
InstanceListing decodeInstances(const std::string &Body);

} // namespace crowstep::platform

#endif // CROWSTEP_PLATFORM_PLATFORM_CODEC_H
