/// Parsing of answers with http_parser.
#include "http/answer_parser.h"

#include <algorithm>
#include <utility>

namespace crowstep {

namespace {

/// Range of valid statuses (RFC 9110, 15).
constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 599;

/// What follows the data of a chunk (RFC 9112, 7.1).
constexpr std::string_view ChunkEnd = "\r\n";

constexpr unsigned HttpSwitchingProtocols = 101;
constexpr unsigned HttpOk = 200;
constexpr unsigned HttpNoContent = 204;
constexpr unsigned HttpNotModified = 304;

AnswerParser &ownerOf(http_parser *Parser) {
  return *static_cast<AnswerParser *>(Parser->data);
}

/// Returns the fault that http_parser has found.
AnswerFault faultOf(http_errno Error) {
  switch (Error) {
  case HPE_INVALID_VERSION:
  case HPE_INVALID_STATUS:
    return AnswerFault::StatusLine;
  case HPE_INVALID_HEADER_TOKEN:
    return AnswerFault::Header;
  default:
    return AnswerFault::Malformed;
  }
}

} // namespace

AnswerParser::AnswerParser(bool IsHeadRequest)
    : m_IsHeadRequest(IsHeadRequest) {
  http_parser_init(&m_Parser, HTTP_RESPONSE);
  m_Parser.data = this;
}

const http_parser_settings &AnswerParser::callbacks() {
  static const http_parser_settings Result = [] {
    http_parser_settings Settings{};
    Settings.on_message_begin = onMessageBegin;
    Settings.on_header_field = onHeaderField;
    Settings.on_header_value = onHeaderValue;
    Settings.on_headers_complete = onHeadersComplete;
    Settings.on_chunk_header = onChunkHeader;
    Settings.on_body = onBody;
    Settings.on_message_complete = onMessageComplete;
    return Settings;
  }();
  return Result;
}

void AnswerParser::feed(std::string_view Bytes) {
  if (m_State != AnswerState::Reading || Bytes.empty()) {
    // Bytes after the answer belong to no request: the connection is unusable.
    m_CanReuse = m_CanReuse && Bytes.empty();
    return;
  }
  m_HasBegun = true;
  if (!skipChunkEnd(Bytes)) {
    fail(AnswerFault::Malformed);
    return;
  }
  do {
    m_StatusLine.feed(Bytes);
    m_Input = Bytes;
    Bytes.remove_prefix(http_parser_execute(&m_Parser, &callbacks(),
                                            Bytes.data(), Bytes.size()));
  } while (resumeAtStatusLine() && !Bytes.empty());
  if (m_State == AnswerState::Complete)
    m_CanReuse = m_CanReuse && Bytes.empty();
  else if (HTTP_PARSER_ERRNO(&m_Parser) != HPE_OK)
    fail(m_Fault.value_or(faultOf(HTTP_PARSER_ERRNO(&m_Parser))));
}

/// Returns what ends the parsing if a callback returns it.
int AnswerParser::fail(AnswerFault Fault) {
  m_State = AnswerState::Invalid;
  m_Fault = Fault;
  return -1;
}

/// Resumes the parser if onMessageBegin() has paused it; returns whether it
/// had.
bool AnswerParser::resumeAtStatusLine() {
  if (m_State != AnswerState::Reading ||
      HTTP_PARSER_ERRNO(&m_Parser) != HPE_PAUSED)
    return false;
  http_parser_pause(&m_Parser, 0);
  return true;
}

/// Returns whether \p Bytes begin with what is left of the end of a chunk.
/// http_parser takes any two bytes for it.
bool AnswerParser::skipChunkEnd(std::string_view Bytes) {
  const std::string_view Left =
      ChunkEnd.substr(ChunkEnd.size() - m_ChunkEndBytesLeft);
  const std::size_t Size = std::min(Left.size(), Bytes.size());
  m_ChunkEndBytesLeft -= Size;
  return Left.substr(0, Size) == Bytes.substr(0, Size);
}

void AnswerParser::peerClosed() {
  m_CanReuse = false;
  if (m_State != AnswerState::Reading)
    return;
  http_parser_execute(&m_Parser, &callbacks(), nullptr, 0);
  if (m_State != AnswerState::Complete)
    cutOff();
}

void AnswerParser::connectionFailed() {
  m_CanReuse = false;
  if (m_State == AnswerState::Reading)
    cutOff();
}

void AnswerParser::cutOff() {
  m_State = AnswerState::Invalid;
  if (m_HasBegun)
    m_Fault = AnswerFault::CutOff;
}

std::string AnswerParser::takeBody() { return std::exchange(m_Body, {}); }

bool AnswerParser::hasValidStatusLine() const {
  return m_StatusLine.isValid() && m_Parser.http_major == 1 &&
         status() >= MinStatus && status() <= MaxStatus;
}

/// The end of a body is known of no other coding than chunks. http_parser looks
/// for chunks, and reads any other body until the connection ends.
bool AnswerParser::hasUnknownCoding() const {
  constexpr std::string_view Name = "Transfer-Encoding";
  const std::string *Coding = findHeader(m_Headers, Name);
  return Coding != nullptr && (countHeaders(m_Headers, Name) > 1 ||
                               !equalsIgnoreCase(*Coding, "chunked"));
}

bool AnswerParser::isInformational() const { return status() < HttpOk; }

bool AnswerParser::hasNoBody() const {
  return m_IsHeadRequest || isInformational() || status() == HttpNoContent ||
         status() == HttpNotModified;
}

int AnswerParser::onMessageBegin(http_parser *Parser) {
  AnswerParser &Self = ownerOf(Parser);
  Self.m_HeaderCollector.clear();
  Self.m_StatusLine.begin();
  // Pause: feed() has what follows checked.
  http_parser_pause(Parser, 1);
  return 0;
}

int AnswerParser::onHeaderField(http_parser *Parser, const char *At,
                                size_t Size) {
  AnswerParser &Self = ownerOf(Parser);
  // http_parser accepts blanks.
  if (!hasOnlyTokenCharacters({At, Size}))
    return Self.fail(AnswerFault::Header);
  if (!Self.m_HasHead) // Trailers are not forwarded.
    Self.m_HeaderCollector.appendName({At, Size});
  return 0;
}

int AnswerParser::onHeaderValue(http_parser *Parser, const char *At,
                                size_t Size) {
  AnswerParser &Self = ownerOf(Parser);
  // http_parser accepts any first byte of a line.
  if (!hasOnlyValueCharacters({At, Size}))
    return Self.fail(AnswerFault::Header);
  if (!Self.m_HasHead)
    Self.m_HeaderCollector.appendValue({At, Size});
  return 0;
}

int AnswerParser::onHeadersComplete(http_parser *Parser) {
  constexpr int SkipBody = 1;
  AnswerParser &Self = ownerOf(Parser);
  // No request asks for an upgrade, so a 101 answer is invalid.
  if (!Self.hasValidStatusLine() || Self.status() == HttpSwitchingProtocols)
    return Self.fail(AnswerFault::StatusLine);
  if (Self.isInformational() && ++Self.m_InformationalCount > MaxInformational)
    return Self.fail(AnswerFault::Malformed);
  Self.m_Headers = Self.m_HeaderCollector.take();
  if (!Self.hasNoBody() && Self.hasUnknownCoding())
    return Self.fail(AnswerFault::TransferCoding);
  Self.m_HasHead = !Self.isInformational();
  return Self.hasNoBody() ? SkipBody : 0;
}

int AnswerParser::onChunkHeader(http_parser *Parser) {
  ownerOf(Parser).m_ChunkBytesLeft = Parser->content_length;
  return 0;
}

int AnswerParser::onBody(http_parser *Parser, const char *At, size_t Size) {
  AnswerParser &Self = ownerOf(Parser);
  Self.m_Body.append(At, Size);
  if (Self.m_ChunkBytesLeft == 0) // There are no chunks.
    return 0;
  Self.m_ChunkBytesLeft -= Size;
  if (Self.m_ChunkBytesLeft > 0)
    return 0;
  Self.m_ChunkEndBytesLeft = ChunkEnd.size();
  const auto End = static_cast<std::size_t>(At + Size - Self.m_Input.data());
  return Self.skipChunkEnd(Self.m_Input.substr(End))
             ? 0
             : Self.fail(AnswerFault::Malformed);
}

int AnswerParser::onMessageComplete(http_parser *Parser) {
  AnswerParser &Self = ownerOf(Parser);
  if (Self.isInformational())
    return 0;
  Self.m_State = AnswerState::Complete;
  Self.m_CanReuse = http_should_keep_alive(Parser) != 0;
  http_parser_pause(Parser, 1);
  return 0;
}

} // namespace crowstep
