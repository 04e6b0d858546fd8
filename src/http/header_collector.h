/// Joins the fragments in which http_parser delivers headers.
#ifndef CROWSTEP_HTTP_HEADER_COLLECTOR_H
#define CROWSTEP_HTTP_HEADER_COLLECTOR_H

#include "http/header_list.h"

#include <string_view>

namespace crowstep {

class HeaderCollector {
public:
  void clear();

  /// A name or a value ends when a fragment of the other kind is appended.
  void appendName(std::string_view Piece);
  void appendValue(std::string_view Piece);

  /// Returns the headers so far, with trailing blanks removed from their
  /// values.
  [[nodiscard]] HeaderList take();

private:
  HeaderList m_Headers;        ///< Collected so far.
  bool m_LastWasValue = false; ///< The last fragment was part of a value.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_HEADER_COLLECTOR_H
