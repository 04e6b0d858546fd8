/// What makes two attempts the same request, however often its caller sends it.
#ifndef CROWSTEP_CONTENT_HASH_H
#define CROWSTEP_CONTENT_HASH_H

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace crowstep {

/// A hash of a request's content, the same on every instance.
struct ContentHash {
  std::uint64_t m_High = 0; ///< First half.
  std::uint64_t m_Low = 0;  ///< Second half.

  // The check takes the generated comparison for ours.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const ContentHash &) const = default;
};

/// What a request consists of beside what differs between its attempts.
struct RequestContent {
  std::string_view m_Method;    ///< HTTP method.
  std::string_view m_Host;      ///< As the caller named it.
  std::string_view m_Target;    ///< Path and query.
  std::string_view m_Workspace; ///< Whose key it bears; empty: none.
  std::string_view m_Body;      ///< Whole; may be empty.
};

/// Returns the hash of \p Content. Fields don't run into one another.
ContentHash contentHashOf(const RequestContent &Content);

/// Returns 32 lower-case hexadecimal digits.
std::string toString(const ContentHash &Hash);

/// Returns what toString() was given, or nothing for any other text.
std::optional<ContentHash> parseContentHash(std::string_view Text);

} // namespace crowstep

template <> struct std::hash<crowstep::ContentHash> {
  std::size_t operator()(const crowstep::ContentHash &Hash) const noexcept {
    return Hash.m_Low;
  }
};

#endif // CROWSTEP_CONTENT_HASH_H
