/// Deterministic token texts, by which a caller verifies that an answer is
/// complete and belongs to its prompt: token i of prompt P is
/// "t<i>.<hash of P> ".
#ifndef CROWSTEP_LOAD_TOKEN_TEXT_H
#define CROWSTEP_LOAD_TOKEN_TEXT_H

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace crowstep::load {

/// Returns the prompt in a request body: the "prompt" field of a text
/// completion, or the messages' contents of a chat, joined by newlines.
std::string promptOf(const nlohmann::json &Body);

/// Returns the hash that distinguishes the tokens of different prompts.
std::uint32_t promptHashOf(const std::string &Prompt);

/// Returns token \p Index of the prompt with hash \p Hash, with a trailing
/// space.
std::string tokenText(std::uint64_t Index, std::uint32_t Hash);

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_TOKEN_TEXT_H
