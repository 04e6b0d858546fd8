/// Parses events and documents and checks their tokens.
#include "load/answer_check.h"

#include "load/token_text.h"

#include <nlohmann/json.hpp>

using nlohmann::json;

namespace crowstep::load {

namespace {

constexpr std::string_view DataPrefix = "data: ";

/// Returns the text of a choice: of a chat or text completion, streamed or not.
std::string textOf(const json &Choice) {
  for (const char *Field : {"delta", "message"})
    if (Choice.contains(Field))
      return Choice[Field].value("content", "");
  return Choice.value("text", "");
}

} // namespace

AnswerCheck::AnswerCheck(const std::string &Prompt, bool Stream)
    : m_PromptHash(promptHashOf(Prompt)), m_Stream(Stream) {}

std::uint64_t AnswerCheck::feed(std::string_view Bytes) {
  const std::uint64_t FirstNew = m_NextToken;
  m_Buffer += Bytes;
  if (!m_Stream)
    return 0;
  std::size_t Start = 0;
  for (std::size_t End = m_Buffer.find('\n'); End != std::string::npos;
       End = m_Buffer.find('\n', Start)) {
    parseLine(std::string_view(m_Buffer).substr(Start, End - Start));
    Start = End + 1;
  }
  m_Buffer.erase(0, Start);
  return m_NextToken - FirstNew;
}

void AnswerCheck::finish() {
  if (m_Stream)
    return;
  parseDocument(m_Buffer);
  m_EndReceived = m_ReportedTokens > 0;
}

void AnswerCheck::parseLine(std::string_view Line) {
  if (!Line.starts_with(DataPrefix))
    return;
  const std::string_view Data = Line.substr(DataPrefix.size());
  if (Data == "[DONE]")
    m_EndReceived = true;
  else
    parseDocument(Data);
}

void AnswerCheck::parseDocument(std::string_view Text) {
  const json Event = json::parse(Text, nullptr, false);
  if (!Event.is_object()) {
    m_Wrong = true;
    return;
  }
  if (Event.contains("error"))
    m_ErrorCode = Event["error"].value("code", "unnamed");
  if (Event.contains("choices") && !Event["choices"].empty())
    checkTokens(textOf(Event["choices"][0]));
  if (Event.contains("usage") && Event["usage"].is_object())
    m_ReportedTokens =
        Event["usage"].value("completion_tokens", std::uint64_t{0});
}

void AnswerCheck::checkTokens(std::string_view Text) {
  while (!Text.empty()) {
    const std::size_t End = Text.find(' ');
    const std::string_view Token = Text.substr(0, End + 1);
    if (Token != tokenText(m_NextToken, m_PromptHash)) {
      m_Wrong = true;
      return;
    }
    ++m_NextToken;
    Text.remove_prefix(Token.size());
  }
}

} // namespace crowstep::load
