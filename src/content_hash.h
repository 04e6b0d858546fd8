/// Identity of a request by its content, however often its caller sends it.
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

  // The checks are wrongly applied to the generated comparison.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const ContentHash &) const = default;
};

/// The parts of a request that are the same for all of its attempts.
struct RequestContent {
  std::string_view m_Method;    ///< HTTP method.
  std::string_view m_Host;      ///< As the caller sent it.
  std::string_view m_Target;    ///< Path and query.
  std::string_view m_Workspace; ///< Workspace of its key; empty: none.
  std::string_view m_Body;      ///< Complete; may be empty.
};

/// Returns the hash of \p Content. Contents that differ only in where one field
/// ends and the next begins have different hashes.
ContentHash contentHashOf(const RequestContent &Content);

/// Returns 32 lower-case hexadecimal digits.
std::string toString(const ContentHash &Hash);

/// Inverse of toString(); returns nothing for any other text.
std::optional<ContentHash> parseContentHash(std::string_view Text);

} // namespace crowstep

template <> struct std::hash<crowstep::ContentHash> {
  std::size_t operator()(const crowstep::ContentHash &Hash) const noexcept {
    return Hash.m_Low;
  }
};

#endif // CROWSTEP_CONTENT_HASH_H
