/// Checks, while an answer comes, that it is whole and the caller's own.
#ifndef CROWSTEP_LOAD_ANSWER_CHECK_H
#define CROWSTEP_LOAD_ANSWER_CHECK_H

#include <cstdint>
#include <string>
#include <string_view>

namespace crowstep::load {

/// Takes the bytes of one answer to a completion.
class AnswerCheck {
public:
  /// \p Prompt is the caller's own; \p Stream tells the form of the answer.
  AnswerCheck(const std::string &Prompt, bool Stream);

  /// Takes more bytes; returns how many tokens they held.
  std::uint64_t feed(std::string_view Bytes);

  /// Takes the end of the answer.
  void finish();

  /// Tokens that came in their order, without a gap.
  [[nodiscard]] std::uint64_t tokens() const { return m_Next; }

  /// The end came, and with as many tokens as the engine said it has.
  [[nodiscard]] bool whole() const { return m_Done && m_Said == m_Next; }

  /// A token was another prompt's, doubled, or out of its order.
  [[nodiscard]] bool wrong() const { return m_Wrong; }

  /// The code of a typed error within the answer, or empty.
  [[nodiscard]] const std::string &errorCode() const { return m_ErrorCode; }

private:
  void takeLine(std::string_view Line);
  void takeJson(std::string_view Text);
  void takeTokens(std::string_view Text);

  std::uint32_t m_Hash;     ///< Of the caller's prompt.
  bool m_Stream;            ///< Lines of events; false: one JSON document.
  std::string m_Rest;       ///< An incomplete line, or the document.
  std::uint64_t m_Next = 0; ///< Index of the next token.
  std::uint64_t m_Said = 0; ///< Tokens that the usage names.
  bool m_Done = false;      ///< The end was announced.
  bool m_Wrong = false;     ///< Never goes back to false.
  std::string m_ErrorCode;  ///< Of the last error.
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_ANSWER_CHECK_H
