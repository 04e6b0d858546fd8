/// Hashes of requests' contents.
#include "content_hash.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <string>
#include <xxhash.h>

namespace crowstep {

namespace {

constexpr std::size_t HalfDigits = 16;

std::optional<std::uint64_t> parseHalf(std::string_view Digits) {
  std::uint64_t Value = 0;
  const char *Last = Digits.data() + Digits.size();
  const auto [End, Code] = std::from_chars(Digits.data(), Last, Value, 16);
  if (Code != std::errc() || End != Last)
    return std::nullopt;
  return Value;
}

} // namespace

ContentHash contentHashOf(const RequestContent &Content) {
  std::string Head;
  for (const std::string_view Field : {Content.m_Method, Content.m_Host,
                                       Content.m_Target, Content.m_Workspace})
    Head.append(std::to_string(Field.size())).append(":").append(Field);
  const XXH64_hash_t Seed = XXH3_64bits(Head.data(), Head.size());
  const XXH128_hash_t Hash =
      XXH3_128bits_withSeed(Content.m_Body.data(), Content.m_Body.size(), Seed);
  return {Hash.high64, Hash.low64};
}

std::string toString(const ContentHash &Hash) {
  std::array<char, 2 * HalfDigits + 1> Text{};
  std::snprintf(Text.data(), Text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(Hash.m_High),
                static_cast<unsigned long long>(Hash.m_Low));
  return Text.data();
}

std::optional<ContentHash> parseContentHash(std::string_view Text) {
  if (Text.size() != 2 * HalfDigits)
    return std::nullopt;
  const auto High = parseHalf(Text.substr(0, HalfDigits));
  const auto Low = parseHalf(Text.substr(HalfDigits));
  if (!High || !Low)
    return std::nullopt;
  return ContentHash{*High, *Low};
}

} // namespace crowstep
