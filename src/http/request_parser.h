/// Reads HTTP/1.1 requests from the bytes of a connection, one at a time.
#ifndef CROWSTEP_HTTP_REQUEST_PARSER_H
#define CROWSTEP_HTTP_REQUEST_PARSER_H

#include "http/header_collector.h"

#include <cstdint>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace crowstep {

/// A request as it arrived.
struct IncomingRequest {
  std::string m_Method; ///< HTTP method.
  std::string m_Target; ///< Path and query, escaped as they came.
  HeaderList m_Headers; ///< All of them.
  std::string m_Body;   ///< Whole.
};

/// How far a request has come.
enum class ArrivalState : std::uint8_t {
  Nothing,  ///< Not a byte.
  Head,     ///< Some of its head.
  Body,     ///< The head; more of the body is to come.
  Complete, ///< Whole.
  Invalid,  ///< No HTTP; nothing that follows can be read.
};

class RequestParser {
public:
  RequestParser();
  RequestParser(const RequestParser &) = delete;
  RequestParser &operator=(const RequestParser &) = delete;

  /// Takes bytes up to the end of the head, or of the request; returns how
  /// many. Those that are left belong to what follows.
  std::size_t feed(std::string_view Bytes);

  [[nodiscard]] ArrivalState state() const { return m_State; }

  /// Returns the request, whose body may be incomplete.
  [[nodiscard]] const IncomingRequest &request() const { return m_Request; }
  [[nodiscard]] IncomingRequest takeRequest() { return std::move(m_Request); }

  /// Returns the length that the head states, or 0.
  [[nodiscard]] std::uint64_t statedLength() const { return m_ContentLength; }

  /// Returns whether the head was too long to be read.
  [[nodiscard]] bool headTooLarge() const;

  /// Returns whether the body's end is stated in two ways, or in none that can
  /// be read: two readers could then disagree about it.
  [[nodiscard]] bool framingUnclear() const;

  /// Returns whether the caller takes chunks, which came with HTTP/1.1.
  [[nodiscard]] bool takesChunks() const;

  /// Returns whether the caller wants to use the connection further.
  [[nodiscard]] bool wantsToKeepConnection() const { return m_KeepAlive; }

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

  http_parser m_Parser{};            ///< Points back to this object.
  IncomingRequest m_Request;         ///< So far.
  HeaderCollector m_HeaderCollector; ///< Of the head.
  bool m_KeepAlive = false;          ///< See wantsToKeepConnection().
  std::uint64_t m_ContentLength = 0; ///< See statedLength().
  ArrivalState m_State = ArrivalState::Nothing; ///< Only goes on.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_REQUEST_PARSER_H
