/// Encoding of streams' origins on links.
#ifndef CROWSTEP_RESUME_ORIGIN_CODEC_H
#define CROWSTEP_RESUME_ORIGIN_CODEC_H

#include "resume/stream_origin.h"
#include "wire/crowstep_generated.h"

#include <memory>
#include <optional>

namespace crowstep::resume {

/// Returns the announcement of an instance that answers questions; one that is
/// stopping takes no records.
std::unique_ptr<wire::StreamPeerT> packPeerState(bool IsStopping);

std::unique_ptr<wire::StreamOriginT> packRecord(const StreamRecord &Record);

/// Returns nothing if the record is malformed.
std::optional<StreamRecord> unpack(const wire::StreamOrigin &From);

/// Returns the answer to a question; null: the stream is not known.
std::unique_ptr<wire::StreamAnswerT> packAnswer(std::uint64_t Question,
                                                const StreamOrigin *Origin);

/// Returns nothing if the stream is not known, or the answer is malformed. A
/// stream that is known to have no continuation has an unknown version.
std::optional<StreamOrigin> unpack(const wire::StreamAnswer &From);

} // namespace crowstep::resume

#endif // CROWSTEP_RESUME_ORIGIN_CODEC_H
