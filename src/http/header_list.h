/// HTTP headers as plain values.
#ifndef CROWSTEP_HTTP_HEADER_LIST_H
#define CROWSTEP_HTTP_HEADER_LIST_H

#include <libsoup/soup.h>
#include <string>
#include <string_view>
#include <vector>

namespace crowstep {

/// One header line.
struct HeaderField {
  std::string m_Name;  ///< As received; compared case-insensitively.
  std::string m_Value; ///< Without surrounding white space.

  bool operator==(const HeaderField &) const = default;
};

/// Headers in the order in which they were sent; names may repeat.
using HeaderList = std::vector<HeaderField>;

/// Compares header names, or values that are tokens.
bool equalsIgnoreCase(std::string_view Left, std::string_view Right);

/// Returns whether \p Text has only characters that the names of headers may
/// have (RFC 9110, 5.6.2).
bool hasOnlyTokenCharacters(std::string_view Text);

/// Returns whether \p Text has only characters that the values of headers may
/// have (RFC 9110, 5.5).
bool hasOnlyValueCharacters(std::string_view Text);

/// Returns the first header called \p Name, or null.
const std::string *findHeader(const HeaderList &Headers, std::string_view Name);

/// Returns how many headers are called \p Name.
std::size_t countHeaders(const HeaderList &Headers, std::string_view Name);

/// Returns what the headers occupy, the list's own allocation included.
std::size_t memoryBytesOf(const HeaderList &Headers);

/// Returns a copy of libsoup's headers.
HeaderList copyHeaders(SoupMessageHeaders *Headers);

/// Returns the headers that an intermediary forwards: all but the hop-by-hop
/// ones (RFC 9110, 7.6.1) and those that frame the body.
HeaderList endToEndHeaders(const HeaderList &Headers);

/// Returns whether the body of an answer with this head has neither a length
/// nor chunks, so that it ends with its connection (RFC 9112, 6.3).
bool isCloseDelimited(unsigned Status, const HeaderList &Headers);

} // namespace crowstep

#endif // CROWSTEP_HTTP_HEADER_LIST_H
