/// Checks, while an answer is received, that it is complete and belongs to the
/// caller's own prompt.
#ifndef CROWSTEP_LOAD_ANSWER_CHECK_H
#define CROWSTEP_LOAD_ANSWER_CHECK_H

#include <cstdint>
#include <string>
#include <string_view>

namespace crowstep::load {

/// Incremental check of one completion's answer.
class AnswerCheck {
public:
  /// \p Prompt is the caller's prompt; \p Stream is true for an answer as
  /// server-sent events, false for one JSON document.
  AnswerCheck(const std::string &Prompt, bool Stream);

  /// Adds received bytes; returns the number of tokens that they completed, 0
  /// for a JSON document, which finish() parses.
  std::uint64_t feed(std::string_view Bytes);

  /// Must be called once the whole answer has been fed.
  void finish();

  /// Tokens received in order and without a gap.
  [[nodiscard]] std::uint64_t tokenCount() const { return m_NextToken; }

  /// The end was received, after as many tokens as the engine's usage reports.
  [[nodiscard]] bool isComplete() const {
    return m_EndReceived && m_ReportedTokens == m_NextToken;
  }

  /// A token belonged to another prompt, was duplicated or out of order, or an
  /// event was not a JSON object.
  [[nodiscard]] bool isWrong() const { return m_Wrong; }

  /// Code of an error inside the answer, or empty.
  [[nodiscard]] const std::string &errorCode() const { return m_ErrorCode; }

private:
  void parseLine(std::string_view Line);
  void parseDocument(std::string_view Text);
  void checkTokens(std::string_view Text);

  std::uint32_t m_PromptHash; ///< Of the caller's prompt.
  bool m_Stream;              ///< Server-sent events; false: one JSON document.
  std::string m_Buffer;       ///< An incomplete line, or the document so far.
  std::uint64_t m_NextToken = 0; ///< Index of the next token to be received.
  std::uint64_t m_ReportedTokens = 0; ///< From the answer's usage field.
  bool m_EndReceived = false; ///< By [DONE], or by a usage in a document.
  bool m_Wrong = false;       ///< Never reset.
  std::string m_ErrorCode;    ///< Code of the last error.
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_ANSWER_CHECK_H
