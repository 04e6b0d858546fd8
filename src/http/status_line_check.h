/// Checks what http_parser leaves open in a status line.
#ifndef CROWSTEP_HTTP_STATUS_LINE_CHECK_H
#define CROWSTEP_HTTP_STATUS_LINE_CHECK_H

#include <cstddef>
#include <string_view>

namespace crowstep {

/// http_parser takes any bytes between the first one and the version, and any
/// number of digits whose value is below 1000.
class StatusLineCheck {
public:
  /// Starts a check behind the first byte of a status line.
  void begin();

  /// Checks the bytes that follow; those behind the status's first byte count
  /// for nothing.
  void feed(std::string_view Bytes);

  /// Returns false for another protocol than HTTP and for a leading zero.
  [[nodiscard]] bool isValid() const { return m_IsValid; }

private:
  std::size_t m_ProtocolBytesLeft = 0; ///< With the version.
  bool m_AwaitsStatus = false;         ///< The status has not begun.
  bool m_IsValid = true;               ///< See isValid().
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_STATUS_LINE_CHECK_H
