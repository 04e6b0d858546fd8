/// Parses one HTTP/1.1 request from the bytes of a connection.
#ifndef CROWSTEP_HTTP_REQUEST_PARSER_H
#define CROWSTEP_HTTP_REQUEST_PARSER_H

#include "http/header_collector.h"

#include <cstdint>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace crowstep {

/// A request as received.
struct IncomingRequest {
  std::string m_Method; ///< HTTP method.
  std::string m_Target; ///< Path and query as received; isSendableTarget().
  HeaderList m_Headers; ///< All headers of the head.
  std::string m_Body;   ///< Complete.
};

/// Progress of a request.
enum class RequestParseState : std::uint8_t {
  NotStarted, ///< No byte received.
  Head,       ///< Part of the head received.
  Body,       ///< Head received; the body is incomplete.
  Complete,   ///< Received in full.
  Invalid,    ///< Not valid HTTP; later bytes can't be parsed.
};

class RequestParser {
public:
  RequestParser();
  RequestParser(const RequestParser &) = delete;
  RequestParser &operator=(const RequestParser &) = delete;

  /// Parses up to the end of the head or of the request and returns the number
  /// of bytes consumed; the caller passes the rest to the next feed().
  std::size_t feed(std::string_view Bytes);

  [[nodiscard]] RequestParseState state() const { return m_State; }

  /// Returns the request, whose body may be incomplete.
  [[nodiscard]] const IncomingRequest &request() const { return m_Request; }
  [[nodiscard]] IncomingRequest takeRequest() { return std::move(m_Request); }

  /// Returns what the request occupies so far.
  [[nodiscard]] std::size_t memoryBytes() const;

  /// Returns the Content-Length, or 0 if the head states none.
  [[nodiscard]] std::uint64_t contentLength() const { return m_ContentLength; }

  /// Returns whether the head was rejected as too long.
  [[nodiscard]] bool isHeadTooLarge() const;

  /// Returns whether the request was rejected because its headers, or the
  /// length of its body, could be read in different ways.
  [[nodiscard]] bool hasInvalidFraming() const;

  /// Returns whether the caller accepts chunked encoding (HTTP/1.1 or
  /// later 1.x).
  [[nodiscard]] bool acceptsChunked() const;

  /// Returns whether the caller asks to keep the connection open.
  [[nodiscard]] bool wantsKeepAlive() const { return m_KeepAlive; }

private:
  static int onMessageBegin(http_parser *Parser);
  static int onTarget(http_parser *Parser, const char *At, size_t Size);
  static int onHeaderField(http_parser *Parser, const char *At, size_t Size);
  static int onHeaderValue(http_parser *Parser, const char *At, size_t Size);
  static int onHeadersComplete(http_parser *Parser);
  static int onBody(http_parser *Parser, const char *At, size_t Size);
  static int onMessageComplete(http_parser *Parser);
  static const http_parser_settings &callbacks();
  bool processHead();
  void appendBody(std::string_view Piece);

  http_parser m_Parser{};            ///< Points back to this object.
  IncomingRequest m_Request;         ///< Received so far.
  HeaderCollector m_HeaderCollector; ///< Of the head.
  bool m_KeepAlive = false;          ///< See wantsKeepAlive().
  std::uint64_t m_ContentLength = 0; ///< See contentLength().
  std::size_t m_HeadBytes = 0;       ///< What a complete head occupies.
  RequestParseState m_State =
      RequestParseState::NotStarted; ///< Never goes back.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_REQUEST_PARSER_H
