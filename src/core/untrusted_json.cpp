/// Checks of JSON that another program wrote.
#include "core/untrusted_json.h"

namespace crowstep {

namespace {

/// The library numbers its own exceptions from 101 on.
constexpr int NestingErrorId = 1;
constexpr int NumberErrorId = 2;

} // namespace

JsonNestingError::JsonNestingError()
    : exception(NestingErrorId, "nests too deeply") {}

JsonNumberError::JsonNumberError(const std::string &Field)
    : exception(NumberErrorId, (Field + " is no number in range").c_str()) {}

bool nestsTooDeep(std::string_view Text) {
  std::size_t Depth = 0;
  bool InString = false;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    const char Ch = Text[Index];
    if (InString && Ch == '\\')
      ++Index;
    else if (Ch == '"')
      InString = !InString;
    else if (!InString && (Ch == '[' || Ch == '{') && ++Depth > MaxJsonNesting)
      return true;
    else if (!InString && (Ch == ']' || Ch == '}') && Depth > 0)
      --Depth;
  }
  return false;
}

nlohmann::json parseUntrustedJson(std::string_view Text) {
  if (nestsTooDeep(Text))
    throw JsonNestingError();
  return nlohmann::json::parse(Text);
}

nlohmann::json parseUntrustedJsonOrDiscard(std::string_view Text) {
  return nestsTooDeep(Text) ? nlohmann::json(nlohmann::json::value_t::discarded)
                            : nlohmann::json::parse(Text, nullptr, false);
}

std::uint64_t wholeNumberOf(const nlohmann::json &Value,
                            const std::string &Field, std::uint64_t Max) {
  const bool IsNegative =
      !Value.is_number_unsigned() &&
      !(Value.is_number_integer() && Value.get<std::int64_t>() >= 0);
  if (IsNegative || Value.get<std::uint64_t>() > Max)
    throw JsonNumberError(Field);
  return Value.get<std::uint64_t>();
}

} // namespace crowstep
