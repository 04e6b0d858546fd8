/// The suspects of a call.
#include "quarantine/crash_suspect.h"

#include <algorithm>
#include <array>
#include <string>
#include <xxhash.h>

namespace crowstep::quarantine {

namespace {

/// Engines of different services may run different models.
ContentHash segmentHashOf(std::string_view Service,
                          const PrefixSegment &Segment) {
  const std::string Text =
      std::to_string(Segment.m_Id) + "/" + std::string(Service);
  const XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  return {Hash.high64, Hash.low64};
}

} // namespace

std::string_view nameOf(SuspectKind Kind) {
  static constexpr std::array<std::string_view, 2> Names = {"request",
                                                            "segment"};
  return Names.at(static_cast<std::size_t>(Kind));
}

CallSuspects suspectsOf(const ContentHash &Request, std::string_view Service,
                        const PromptInfo &Prompt) {
  CallSuspects Result{Request, {}};
  const std::size_t Shared =
      std::min(Prompt.m_Segments.size(), MaxSuspectSegments + 1);
  for (std::size_t I = 0; I + 1 < Shared; ++I) {
    const ContentHash Hash = segmentHashOf(Service, Prompt.m_Segments[I]);
    if (std::ranges::find(Result.m_Segments, Hash) == Result.m_Segments.end())
      Result.m_Segments.push_back(Hash);
  }
  return Result;
}

} // namespace crowstep::quarantine
