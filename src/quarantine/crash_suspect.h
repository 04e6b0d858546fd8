/// What may be the reason for the crash of an upstream.
#ifndef CROWSTEP_QUARANTINE_CRASH_SUSPECT_H
#define CROWSTEP_QUARANTINE_CRASH_SUSPECT_H

#include "content_hash.h"
#include "prompt_type.h"

#include <string_view>
#include <vector>

namespace crowstep::quarantine {

/// Kind of a suspect.
enum class SuspectKind : std::uint8_t {
  Request, ///< The whole content of a request.
  Segment, ///< A segment that prompts of a service share.
};

/// Returns the stable name in logs, such as "segment".
std::string_view nameOf(SuspectKind Kind);

/// Limit on the segments of a prompt that are suspects; further ones don't
/// count.
inline constexpr std::size_t MaxSuspectSegments = 32;

/// The suspects of a call. All are hashes that are the same on every instance.
struct CallSuspects {
  ContentHash m_Request; ///< Content of the request.

  /// Segments that other prompts may have too, in order, none twice. The last
  /// segment of the prompt is not among them.
  std::vector<ContentHash> m_Segments;
};

/// Returns the suspects of a call to \p Service.
CallSuspects suspectsOf(const ContentHash &Request, std::string_view Service,
                        const PromptInfo &Prompt);

} // namespace crowstep::quarantine

#endif // CROWSTEP_QUARANTINE_CRASH_SUSPECT_H
