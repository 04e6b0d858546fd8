/// Answers by the parser library.
#include "http/answer_parser.h"

#include <utility>

namespace crowstep {

namespace {

constexpr unsigned HttpSwitchingProtocols = 101;
constexpr unsigned HttpOk = 200;
constexpr unsigned HttpNoContent = 204;
constexpr unsigned HttpNotModified = 304;

AnswerParser &ownerOf(http_parser *Parser) {
  return *static_cast<AnswerParser *>(Parser->data);
}

} // namespace

AnswerParser::AnswerParser(bool HeadOnly) : m_HeadOnly(HeadOnly) {
  http_parser_init(&m_Parser, HTTP_RESPONSE);
  m_Parser.data = this;
}

const http_parser_settings &AnswerParser::callbacks() {
  static const http_parser_settings Result = [] {
    http_parser_settings Fresh{};
    Fresh.on_message_begin = onMessageBegin;
    Fresh.on_header_field = onHeaderField;
    Fresh.on_header_value = onHeaderValue;
    Fresh.on_headers_complete = onHeadersComplete;
    Fresh.on_body = onBody;
    Fresh.on_message_complete = onMessageComplete;
    return Fresh;
  }();
  return Result;
}

void AnswerParser::feed(std::string_view Bytes) {
  if (m_State != AnswerState::Reading || Bytes.empty()) {
    // Bytes after the answer belong to no request.
    m_MayKeep = m_MayKeep && Bytes.empty();
    return;
  }
  const std::size_t Used =
      http_parser_execute(&m_Parser, &callbacks(), Bytes.data(), Bytes.size());
  if (m_State == AnswerState::Complete)
    m_MayKeep = m_MayKeep && Used == Bytes.size();
  else if (HTTP_PARSER_ERRNO(&m_Parser) != HPE_OK)
    m_State = AnswerState::Invalid;
}

void AnswerParser::closed() {
  m_MayKeep = false;
  if (m_State != AnswerState::Reading)
    return;
  http_parser_execute(&m_Parser, &callbacks(), nullptr, 0);
  if (m_State != AnswerState::Complete)
    m_State = AnswerState::Invalid;
}

std::string AnswerParser::takeBody() { return std::exchange(m_Body, {}); }

bool AnswerParser::informational() const { return status() < HttpOk; }

bool AnswerParser::withoutBody() const {
  return m_HeadOnly || informational() || status() == HttpNoContent ||
         status() == HttpNotModified;
}

int AnswerParser::onMessageBegin(http_parser *Parser) {
  ownerOf(Parser).m_Pieces.clear();
  return 0;
}

int AnswerParser::onHeaderField(http_parser *Parser, const char *At,
                                size_t Size) {
  AnswerParser &Self = ownerOf(Parser);
  if (!Self.m_HeadKnown) // Trailers are not passed on.
    Self.m_Pieces.appendName({At, Size});
  return 0;
}

int AnswerParser::onHeaderValue(http_parser *Parser, const char *At,
                                size_t Size) {
  AnswerParser &Self = ownerOf(Parser);
  if (!Self.m_HeadKnown)
    Self.m_Pieces.appendValue({At, Size});
  return 0;
}

int AnswerParser::onHeadersComplete(http_parser *Parser) {
  constexpr int Fail = -1;
  constexpr int SkipBody = 1;
  AnswerParser &Self = ownerOf(Parser);
  // No call asks for another protocol.
  if (Self.status() == HttpSwitchingProtocols)
    return Fail;
  Self.m_Headers = Self.m_Pieces.take();
  for (HeaderField &Each : Self.m_Headers)
    Each.m_Name.resize(Each.m_Name.find_last_not_of(" \t") + 1);
  Self.m_HeadKnown = !Self.informational();
  return Self.withoutBody() ? SkipBody : 0;
}

int AnswerParser::onBody(http_parser *Parser, const char *At, size_t Size) {
  ownerOf(Parser).m_Body.append(At, Size);
  return 0;
}

int AnswerParser::onMessageComplete(http_parser *Parser) {
  AnswerParser &Self = ownerOf(Parser);
  if (Self.informational())
    return 0;
  Self.m_State = AnswerState::Complete;
  Self.m_MayKeep = http_should_keep_alive(Parser) != 0;
  http_parser_pause(Parser, 1);
  return 0;
}

} // namespace crowstep
