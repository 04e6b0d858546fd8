/// Joins the fragments in which http_parser delivers headers.
#ifndef CROWSTEP_HTTP_HEADER_COLLECTOR_H
#define CROWSTEP_HTTP_HEADER_COLLECTOR_H

#include "http/header_list.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace crowstep {

/// Keeps the text of all headers in one piece: a head may consist of very many
/// short lines, and may never end.
class HeaderCollector {
public:
  void clear();

  /// A name or a value ends when a fragment of the other kind is appended.
  void appendName(std::string_view Piece);
  void appendValue(std::string_view Piece);

  /// Returns the headers so far, with trailing blanks removed from their
  /// values.
  [[nodiscard]] HeaderList take();

  /// Returns what the headers so far occupy, and what they will in the list
  /// that take() returns, which is many times their size if they are short.
  [[nodiscard]] std::size_t memoryBytes() const;

private:
  /// Sizes of one header's parts in m_Text.
  struct FieldSize {
    std::uint32_t m_Name = 0;
    std::uint32_t m_Value = 0;
  };

  std::string m_Text;             ///< Names and values, one after the other.
  std::vector<FieldSize> m_Sizes; ///< By header; their sum is m_Text's size.
  bool m_LastWasValue = false;    ///< The last fragment was part of a value.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_HEADER_COLLECTOR_H
