/// Parsing of requests with http_parser.
#include "http/request_parser.h"

#include "http/request_target.h"

#include <algorithm>
#include <limits>

namespace crowstep {

namespace {

RequestParser &ownerOf(http_parser *Parser) {
  return *static_cast<RequestParser *>(Parser->data);
}

/// http_parser accepts names with blanks, and the upstream may read such a
/// header differently.
bool hasValidName(const HeaderField &Field) {
  return hasOnlyTokenCharacters(Field.m_Name);
}

/// Returns path and query of a target, which may be in absolute form.
std::string pathAndQuery(const std::string &Target) {
  const std::size_t Scheme = Target.find("://");
  if (Target.starts_with('/') || Scheme == std::string::npos)
    return Target;
  const std::size_t Path = Target.find_first_of("/?", Scheme + 3);
  if (Path == std::string::npos)
    return "/";
  return Target[Path] == '/' ? Target.substr(Path) : "/" + Target.substr(Path);
}

} // namespace

RequestParser::RequestParser() {
  http_parser_init(&m_Parser, HTTP_REQUEST);
  m_Parser.data = this;
}

const http_parser_settings &RequestParser::callbacks() {
  static const http_parser_settings Result = [] {
    http_parser_settings Settings{};
    Settings.on_message_begin = onMessageBegin;
    Settings.on_url = onTarget;
    Settings.on_header_field = onHeaderField;
    Settings.on_header_value = onHeaderValue;
    Settings.on_headers_complete = onHeadersComplete;
    Settings.on_body = onBody;
    Settings.on_message_complete = onMessageComplete;
    return Settings;
  }();
  return Result;
}

std::size_t RequestParser::memoryBytes() const {
  return m_HeadBytes + m_HeaderCollector.memoryBytes() +
         m_Request.m_Target.capacity() + m_Request.m_Body.capacity();
}

std::size_t RequestParser::feed(std::string_view Bytes) {
  if (m_State == RequestParseState::Complete ||
      m_State == RequestParseState::Invalid)
    return 0;
  const std::size_t Consumed =
      http_parser_execute(&m_Parser, &callbacks(), Bytes.data(), Bytes.size());
  const http_errno Error = HTTP_PARSER_ERRNO(&m_Parser);
  if (Error == HPE_PAUSED)
    http_parser_pause(&m_Parser, 0);
  else if (Error != HPE_OK || Consumed < Bytes.size())
    // http_parser stops early without an error at a protocol upgrade.
    m_State = RequestParseState::Invalid;
  return Consumed;
}

bool RequestParser::isHeadTooLarge() const {
  return HTTP_PARSER_ERRNO(&m_Parser) == HPE_HEADER_OVERFLOW;
}

bool RequestParser::hasInvalidFraming() const {
  switch (HTTP_PARSER_ERRNO(&m_Parser)) {
  case HPE_UNEXPECTED_CONTENT_LENGTH:
  case HPE_INVALID_CONTENT_LENGTH:
  case HPE_INVALID_TRANSFER_ENCODING:
  case HPE_INVALID_CHUNK_SIZE:
  case HPE_CB_headers_complete:
    return true;
  default:
    return false;
  }
}

bool RequestParser::acceptsChunked() const {
  return m_Parser.http_major == 1 && m_Parser.http_minor >= 1;
}

int RequestParser::onMessageBegin(http_parser *Parser) {
  ownerOf(Parser).m_State = RequestParseState::Head;
  return 0;
}

int RequestParser::onTarget(http_parser *Parser, const char *At, size_t Size) {
  ownerOf(Parser).m_Request.m_Target.append(At, Size);
  return 0;
}

int RequestParser::onHeaderField(http_parser *Parser, const char *At,
                                 size_t Size) {
  RequestParser &Self = ownerOf(Parser);
  if (Self.m_State == RequestParseState::Head) // Trailers are not forwarded.
    Self.m_HeaderCollector.appendName({At, Size});
  return 0;
}

int RequestParser::onHeaderValue(http_parser *Parser, const char *At,
                                 size_t Size) {
  RequestParser &Self = ownerOf(Parser);
  if (Self.m_State == RequestParseState::Head)
    Self.m_HeaderCollector.appendValue({At, Size});
  return 0;
}

bool RequestParser::processHead() {
  m_Request.m_Headers = m_HeaderCollector.take();
  // http_parser accepts tabs and form feeds in a target.
  if (!std::ranges::all_of(m_Request.m_Headers, hasValidName) ||
      !isSendableTarget(m_Request.m_Target))
    return false;
  m_Request.m_Method =
      http_method_str(static_cast<http_method>(m_Parser.method));
  m_Request.m_Target = pathAndQuery(m_Request.m_Target);
  if (m_Parser.content_length != std::numeric_limits<std::uint64_t>::max())
    m_ContentLength = m_Parser.content_length;
  m_KeepAlive = http_should_keep_alive(&m_Parser) != 0;
  m_HeadBytes = memoryBytesOf(m_Request.m_Headers);
  m_State = RequestParseState::Body;
  return true;
}

int RequestParser::onHeadersComplete(http_parser *Parser) {
  constexpr int Fail = -1;
  if (!ownerOf(Parser).processHead())
    return Fail;
  // Pause: the owner checks the head before the body is parsed.
  http_parser_pause(Parser, 1);
  return 0;
}

int RequestParser::onBody(http_parser *Parser, const char *At, size_t Size) {
  ownerOf(Parser).appendBody({At, Size});
  return 0;
}

/// The last growth is to the stated length: doubling would leave up to half of
/// the memory unused, and reserve() doubles what a text already has.
void RequestParser::appendBody(std::string_view Piece) {
  std::string &Body = m_Request.m_Body;
  const std::size_t Needed = Body.size() + Piece.size();
  if (Needed > Body.capacity() && Needed <= m_ContentLength) {
    std::string Grown;
    Grown.reserve(std::min<std::size_t>(m_ContentLength, 2 * Needed));
    Grown.append(Body);
    Body.swap(Grown);
  }
  Body.append(Piece);
}

int RequestParser::onMessageComplete(http_parser *Parser) {
  ownerOf(Parser).m_State = RequestParseState::Complete;
  http_parser_pause(Parser, 1);
  return 0;
}

} // namespace crowstep
