/// Reading of JSON that another program wrote.
#ifndef CROWSTEP_CORE_UNTRUSTED_JSON_H
#define CROWSTEP_CORE_UNTRUSTED_JSON_H

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace crowstep {

/// Deepest nesting that is read.
constexpr std::size_t MaxJsonNesting = 64;

/// A document nests deeper than MaxJsonNesting.
class JsonNestingError : public nlohmann::json::exception {
public:
  JsonNestingError();
};

/// A value is no number, or one that its field can't hold.
class JsonNumberError : public nlohmann::json::exception {
public:
  explicit JsonNumberError(const std::string &Field);
};

/// Returns whether brackets outside of strings nest deeper than MaxJsonNesting.
/// The JSON library copies, compares and serialises by recursion, so that a
/// text of brackets overflows the stack. No document that passes the scan nests
/// deeper.
bool nestsTooDeep(std::string_view Text);

/// Parses \p Text. \throws nlohmann::json::exception if it is no JSON or nests
/// too deeply.
nlohmann::json parseUntrustedJson(std::string_view Text);

/// As parseUntrustedJson(), but returns a discarded value instead of throwing.
nlohmann::json parseUntrustedJsonOrDiscard(std::string_view Text);

/// Returns \p Value, a whole number from 0 to \p Max. The library's own
/// conversions accept booleans and fractions, and reduce numbers that are out
/// of range. \throws JsonNumberError.
std::uint64_t wholeNumberOf(const nlohmann::json &Value,
                            const std::string &Field, std::uint64_t Max);

} // namespace crowstep

#endif // CROWSTEP_CORE_UNTRUSTED_JSON_H
