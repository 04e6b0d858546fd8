/// Plain types for the prompt of a model call.
#ifndef CROWSTEP_PROMPT_TYPE_H
#define CROWSTEP_PROMPT_TYPE_H

#include <cstdint>
#include <vector>

namespace crowstep {

/// One hashed piece of a prompt's prefix, which other prompts may share.
struct PromptPart {
  std::uint64_t m_Id = 0;     ///< Equal for equal text.
  std::uint32_t m_Tokens = 0; ///< Length.

  bool operator==(const PromptPart &) const = default;
};

/// Size of the work that a model call is for an engine.
struct PromptSize {
  std::vector<PromptPart> m_Parts;  ///< In order; may be empty.
  std::uint32_t m_PromptTokens = 0; ///< Length; 0: unknown.
  std::uint32_t m_MaxOutput = 0;    ///< Limit on generated tokens; 0: unknown.
  std::uint32_t m_ExpectedOutput = 0; ///< The caller's estimate; 0: none.
};

} // namespace crowstep

#endif // CROWSTEP_PROMPT_TYPE_H
