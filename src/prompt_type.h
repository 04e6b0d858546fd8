/// Plain types of a model call's prompt.
#ifndef CROWSTEP_PROMPT_TYPE_H
#define CROWSTEP_PROMPT_TYPE_H

#include <cstdint>
#include <vector>

namespace crowstep {

/// A part of a prompt that other calls may begin with as well.
struct PromptPart {
  std::uint64_t m_Id = 0;     ///< The same for the same text.
  std::uint32_t m_Tokens = 0; ///< Its length.

  bool operator==(const PromptPart &) const = default;
};

/// What a model call asks of an engine.
struct PromptSize {
  std::vector<PromptPart> m_Parts;    ///< In order; may be empty.
  std::uint32_t m_PromptTokens = 0;   ///< Tokens to read; 0: unknown.
  std::uint32_t m_MaxOutput = 0;      ///< Tokens to make at most; 0: unknown.
  std::uint32_t m_ExpectedOutput = 0; ///< The caller's guess; 0: none.
};

} // namespace crowstep

#endif // CROWSTEP_PROMPT_TYPE_H
