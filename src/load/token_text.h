/// The deterministic token texts by which a caller proves that an answer is
/// whole and its own: token i of prompt P is "t<i>.<hash of P> ".
#ifndef CROWSTEP_LOAD_TOKEN_TEXT_H
#define CROWSTEP_LOAD_TOKEN_TEXT_H

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace crowstep::load {

/// Returns the prompt of a completion's body: the messages' contents joined by
/// newlines, or the text-completion form's prompt.
std::string promptOf(const nlohmann::json &Body);

/// Returns the hash that tells one prompt's tokens from another's.
std::uint32_t promptHashOf(const std::string &Prompt);

/// Returns token \p Index of the prompt with \p Hash, with a trailing space.
std::string tokenText(std::uint64_t Index, std::uint32_t Hash);

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_TOKEN_TEXT_H
