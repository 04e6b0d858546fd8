/// Plain types for the prompt of a model call.
#ifndef CROWSTEP_PROMPT_TYPE_H
#define CROWSTEP_PROMPT_TYPE_H

#include <cstdint>
#include <vector>

namespace crowstep {

/// One hashed piece of a prompt's prefix, which other prompts may share.
struct PrefixSegment {
  std::uint64_t m_Id = 0;     ///< Equal for equal text.
  std::uint32_t m_Tokens = 0; ///< Length.

  bool operator==(const PrefixSegment &) const = default;
};

/// Size of the work that a model call is for an engine.
struct PromptInfo {
  std::vector<PrefixSegment> m_Segments; ///< In order; may be empty.
  std::uint32_t m_PromptTokens = 0;      ///< Length; 0: unknown.
  std::uint32_t m_MaxOutputTokens =
      0; ///< Limit on generated tokens; 0: unknown.
  std::uint32_t m_ExpectedOutputTokens = 0; ///< The caller's estimate; 0: none.
};

} // namespace crowstep

#endif // CROWSTEP_PROMPT_TYPE_H
