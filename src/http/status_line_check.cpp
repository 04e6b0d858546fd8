/// Checks of status lines.
#include "http/status_line_check.h"

namespace crowstep {

namespace {

/// The digits of the version are left to http_parser.
constexpr std::string_view Protocol = "TTP/?.?";

} // namespace

void StatusLineCheck::begin() {
  m_ProtocolBytesLeft = Protocol.size();
  m_AwaitsStatus = true;
  m_IsValid = true;
}

void StatusLineCheck::feed(std::string_view Bytes) {
  for (; m_ProtocolBytesLeft > 0 && !Bytes.empty(); Bytes.remove_prefix(1)) {
    const char Expected = Protocol[Protocol.size() - m_ProtocolBytesLeft--];
    m_IsValid = m_IsValid && (Expected == '?' || Bytes.front() == Expected);
  }
  const std::size_t First = Bytes.find_first_not_of(' ');
  if (!m_AwaitsStatus || First == std::string_view::npos)
    return;
  m_AwaitsStatus = false;
  m_IsValid = m_IsValid && Bytes[First] != '0';
}

} // namespace crowstep
