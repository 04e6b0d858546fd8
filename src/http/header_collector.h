/// Joins the pieces in which the parser library hands out headers.
#ifndef CROWSTEP_HTTP_HEADER_COLLECTOR_H
#define CROWSTEP_HTTP_HEADER_COLLECTOR_H

#include "http/header_list.h"

#include <string_view>

namespace crowstep {

class HeaderCollector {
public:
  void clear();

  /// A name or a value goes on until a piece of the other kind comes.
  void appendName(std::string_view Piece);
  void appendValue(std::string_view Piece);

  /// Returns the headers so far, their values without trailing blanks.
  [[nodiscard]] HeaderList take();

private:
  HeaderList m_Headers;        ///< So far.
  bool m_LastWasValue = false; ///< The last piece was a value's.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_HEADER_COLLECTOR_H
