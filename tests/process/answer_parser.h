/// An incremental parser of HTTP/1.1 answers that tells complete ones from
/// truncated ones.
#ifndef CROWSTEP_TESTS_PROCESS_ANSWER_PARSER_H
#define CROWSTEP_TESTS_PROCESS_ANSWER_PARSER_H

#include "process/caller.h"

#include <string_view>

namespace crowstep::test {

/// Parses one answer.
class AnswerParser {
public:
  /// Parses further bytes; status and body go to \p Into.
  void parse(std::string_view Bytes, CallResult &Into);

  [[nodiscard]] bool isComplete() const { return m_IsComplete; }
  [[nodiscard]] bool allowsReuse() const { return m_IsComplete && !m_Close; }

  /// Returns the bytes that follow a complete answer.
  [[nodiscard]] const std::string &rest() const { return m_Pending; }

private:
  bool parseHead(CallResult &Into);
  void parseSizedBody(CallResult &Into);
  void parseChunks(CallResult &Into);

  std::string m_Pending;            ///< Not parsed yet.
  bool m_HasHead = false;           ///< The head is complete.
  bool m_Chunked = false;           ///< Transfer-Encoding.
  bool m_Close = false;             ///< Connection: close.
  bool m_IsComplete = false;        ///< The answer is complete.
  std::size_t m_RemainingBytes = 0; ///< By Content-Length.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_ANSWER_PARSER_H
