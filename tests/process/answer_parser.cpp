/// Heads, sized bodies and chunks.
#include "process/answer_parser.h"

#include <algorithm>
#include <cstdlib>

namespace crowstep::test {

namespace {

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  return Text;
}

/// Returns the value of a header in \p Head, which is in lower case, or an
/// empty string if there is none.
std::string valueOf(const std::string &Head, const std::string &Name) {
  const std::string Begin = "\r\n" + Name + ": ";
  const std::size_t Found = Head.find(Begin);
  if (Found == std::string::npos)
    return {};
  const std::size_t Value = Found + Begin.size();
  return Head.substr(Value, Head.find("\r\n", Value) - Value);
}

} // namespace

void AnswerParser::parse(std::string_view Bytes, CallResult &Into) {
  m_Pending.append(Bytes);
  if (!m_HasHead && !parseHead(Into))
    return;
  if (m_Chunked)
    parseChunks(Into);
  else
    parseSizedBody(Into);
}

bool AnswerParser::parseHead(CallResult &Into) {
  const auto End = m_Pending.find("\r\n\r\n");
  if (End == std::string::npos)
    return false;
  const std::string Head = lower(m_Pending.substr(0, End + 2));
  m_Pending.erase(0, End + 4);
  Into.m_Status = static_cast<unsigned>(std::atoi(Head.c_str() + 9));
  m_Chunked = Head.find("\r\ntransfer-encoding: chunked") != std::string::npos;
  m_Close = Head.find("\r\nconnection: close") != std::string::npos;
  if (valueOf(Head, "server-leaving") == "1")
    Into.m_LeavingUpstream = valueOf(Head, "x-server-signature");
  m_RemainingBytes =
      std::strtoull(valueOf(Head, "content-length").c_str(), nullptr, 10);
  m_HasHead = true;
  return true;
}

void AnswerParser::parseSizedBody(CallResult &Into) {
  const std::size_t Size = std::min(m_RemainingBytes, m_Pending.size());
  Into.m_Body.append(m_Pending, 0, Size);
  m_Pending.erase(0, Size);
  m_RemainingBytes -= Size;
  m_IsComplete = m_RemainingBytes == 0;
}

void AnswerParser::parseChunks(CallResult &Into) {
  while (!m_IsComplete) {
    const auto Line = m_Pending.find("\r\n");
    if (Line == std::string::npos)
      return;
    const std::size_t Size = std::strtoull(m_Pending.c_str(), nullptr, 16);
    if (m_Pending.size() < Line + 2 + Size + 2)
      return;
    Into.m_Body.append(m_Pending, Line + 2, Size);
    m_Pending.erase(0, Line + 2 + Size + 2);
    m_IsComplete = Size == 0;
  }
}

} // namespace crowstep::test
