/// Numbers and times in header values.
#include "http/header_value.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace crowstep {

namespace {

/// Longest time in seconds that fits the arithmetic of times.
constexpr double MaxSeconds = 1e6;

} // namespace

std::string_view withoutBlanks(std::string_view Text) {
  while (!Text.empty() && Text.front() == ' ')
    Text.remove_prefix(1);
  while (!Text.empty() && Text.back() == ' ')
    Text.remove_suffix(1);
  return Text;
}

std::optional<double> parseDecimal(std::string_view Text) {
  Text = withoutBlanks(Text);
  double Value = 0;
  const auto [End, Code] = std::from_chars(
      Text.data(), Text.data() + Text.size(), Value, std::chars_format::fixed);
  if (Code != std::errc() || End != Text.data() + Text.size() ||
      !std::isfinite(Value) || std::signbit(Value))
    return std::nullopt;
  return Value;
}

std::optional<Duration> parseSeconds(std::string_view Text) {
  const auto Seconds = parseDecimal(Text);
  if (!Seconds)
    return std::nullopt;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(*Seconds, MaxSeconds)));
}

} // namespace crowstep
