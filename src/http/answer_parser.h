/// Parses one HTTP/1.1 answer from the bytes of a connection.
///
/// http_parser decodes heads and chunks; this class decides which bytes belong
/// to the answer and whether it is complete.
#ifndef CROWSTEP_HTTP_ANSWER_PARSER_H
#define CROWSTEP_HTTP_ANSWER_PARSER_H

#include "http/answer_fault.h"
#include "http/header_collector.h"
#include "http/status_line_check.h"

#include <cstdint>
#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>

namespace crowstep {

/// Progress of an answer.
enum class AnswerState : std::uint8_t {
  Reading,  ///< More bytes are expected.
  Complete, ///< Received in full.
  Invalid,  ///< Truncated, or not HTTP.
};

class AnswerParser {
public:
  /// Limit on the 1xx answers before the final one. The parser limits each
  /// head, but not their number.
  static constexpr unsigned MaxInformational = 16;

  /// \p IsHeadRequest: the answer has no body, even if its head states one.
  explicit AnswerParser(bool IsHeadRequest);
  AnswerParser(const AnswerParser &) = delete;
  AnswerParser &operator=(const AnswerParser &) = delete;

  /// Parses bytes read from the connection.
  void feed(std::string_view Bytes);

  /// Reports that the peer closed the connection in order, not by a reset.
  void peerClosed();

  /// Reports that the connection failed, for example by a reset.
  void connectionFailed();

  [[nodiscard]] AnswerState state() const { return m_State; }

  /// Returns why the state is Invalid. Unset in other states, and if not a byte
  /// of an answer was received.
  [[nodiscard]] std::optional<AnswerFault> fault() const { return m_Fault; }

  /// Returns whether the final head, not a 1xx one, has been received.
  [[nodiscard]] bool hasHead() const { return m_HasHead; }
  [[nodiscard]] unsigned status() const { return m_Parser.status_code; }
  [[nodiscard]] const HeaderList &headers() const { return m_Headers; }

  /// Returns the body bytes received since the last call.
  [[nodiscard]] std::string takeBody();

  /// Returns whether the connection can serve a further call. False unless the
  /// answer is complete and no bytes followed it.
  [[nodiscard]] bool canReuseConnection() const { return m_CanReuse; }

private:
  static int onMessageBegin(http_parser *Parser);
  static int onHeaderField(http_parser *Parser, const char *At, size_t Size);
  static int onHeaderValue(http_parser *Parser, const char *At, size_t Size);
  static int onHeadersComplete(http_parser *Parser);
  static int onChunkHeader(http_parser *Parser);
  static int onBody(http_parser *Parser, const char *At, size_t Size);
  static int onMessageComplete(http_parser *Parser);
  static const http_parser_settings &callbacks();
  int fail(AnswerFault Fault);
  bool skipChunkEnd(std::string_view Bytes);
  void cutOff();
  bool resumeAtStatusLine();
  [[nodiscard]] bool hasValidStatusLine() const;
  [[nodiscard]] bool hasUnknownCoding() const;
  [[nodiscard]] bool isInformational() const;
  [[nodiscard]] bool hasNoBody() const;

  http_parser m_Parser{};              ///< Points back to this object.
  bool m_IsHeadRequest;                ///< See the constructor.
  HeaderCollector m_HeaderCollector;   ///< Of the head being read.
  HeaderList m_Headers;                ///< Of the final answer; see hasHead().
  unsigned m_InformationalCount = 0;   ///< 1xx answers so far.
  StatusLineCheck m_StatusLine;        ///< Of the head being read.
  bool m_HasHead = false;              ///< See hasHead().
  bool m_CanReuse = false;             ///< See canReuseConnection().
  std::string m_Body;                  ///< Not yet taken.
  std::string_view m_Input;            ///< Being parsed.
  std::uint64_t m_ChunkBytesLeft = 0;  ///< Of the chunk being read.
  std::size_t m_ChunkEndBytesLeft = 0; ///< Of the CRLF behind a chunk.
  bool m_HasBegun = false;             ///< A byte was received.
  AnswerState m_State = AnswerState::Reading; ///< Leaves Reading once.
  std::optional<AnswerFault> m_Fault;         ///< See fault().
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_ANSWER_PARSER_H
