/// Reads one HTTP/1.1 answer from the bytes of a connection.
///
/// The parser library decodes heads and chunks; this class says which bytes are
/// the answer's and whether it came whole.
#ifndef CROWSTEP_HTTP_ANSWER_PARSER_H
#define CROWSTEP_HTTP_ANSWER_PARSER_H

#include "http/header_collector.h"

#include <cstdint>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace crowstep {

/// How far an answer has come.
enum class AnswerState : std::uint8_t {
  Reading,  ///< More is to come.
  Complete, ///< Whole.
  Invalid,  ///< Ended early, or no HTTP.
};

class AnswerParser {
public:
  /// \p HeadOnly: the answer has no body, whatever its head says.
  explicit AnswerParser(bool IsHeadRequest);
  AnswerParser(const AnswerParser &) = delete;
  AnswerParser &operator=(const AnswerParser &) = delete;

  /// Takes what was read from the connection.
  void feed(std::string_view Bytes);

  /// The peer has closed the connection, without a reset.
  void closed();

  [[nodiscard]] AnswerState state() const { return m_State; }

  /// Returns whether the head of the final answer is known.
  [[nodiscard]] bool headKnown() const { return m_HasHead; }
  [[nodiscard]] unsigned status() const { return m_Parser.status_code; }
  [[nodiscard]] const HeaderList &headers() const { return m_Headers; }

  /// Returns the bytes of the body that came since the last call.
  [[nodiscard]] std::string takeBody();

  /// Returns whether a further call may use the connection. False unless the
  /// answer is complete and nothing followed it.
  [[nodiscard]] bool mayKeepConnection() const { return m_CanReuse; }

private:
  static int onMessageBegin(http_parser *Parser);
  static int onHeaderField(http_parser *Parser, const char *At, size_t Size);
  static int onHeaderValue(http_parser *Parser, const char *At, size_t Size);
  static int onHeadersComplete(http_parser *Parser);
  static int onBody(http_parser *Parser, const char *At, size_t Size);
  static int onMessageComplete(http_parser *Parser);
  static const http_parser_settings &callbacks();
  [[nodiscard]] bool isInformational() const;
  [[nodiscard]] bool hasNoBody() const;

  http_parser m_Parser{};            ///< Points back to this object.
  bool m_IsHeadRequest;              ///< See the constructor.
  HeaderCollector m_HeaderCollector; ///< Of the present head.
  HeaderList m_Headers;              ///< Of the final answer; see headKnown().
  bool m_HasHead = false;            ///< Of the final answer.
  bool m_CanReuse = false;           ///< See mayKeepConnection().
  std::string m_Body;                ///< Not yet taken.
  AnswerState m_State = AnswerState::Reading; ///< Leaves Reading once.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_ANSWER_PARSER_H
