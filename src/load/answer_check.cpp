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
    : m_Hash(promptHashOf(Prompt)), m_Stream(Stream) {}

std::uint64_t AnswerCheck::feed(std::string_view Bytes) {
  const std::uint64_t FirstNew = m_Next;
  m_Rest += Bytes;
  if (!m_Stream)
    return 0;
  std::size_t Start = 0;
  for (std::size_t End = m_Rest.find('\n'); End != std::string::npos;
       End = m_Rest.find('\n', Start)) {
    takeLine(std::string_view(m_Rest).substr(Start, End - Start));
    Start = End + 1;
  }
  m_Rest.erase(0, Start);
  return m_Next - FirstNew;
}

void AnswerCheck::finish() {
  if (m_Stream)
    return;
  takeJson(m_Rest);
  m_Done = m_Said > 0;
}

void AnswerCheck::takeLine(std::string_view Line) {
  if (!Line.starts_with(DataPrefix))
    return;
  const std::string_view Data = Line.substr(DataPrefix.size());
  if (Data == "[DONE]")
    m_Done = true;
  else
    takeJson(Data);
}

void AnswerCheck::takeJson(std::string_view Text) {
  const json Event = json::parse(Text, nullptr, false);
  if (!Event.is_object()) {
    m_Wrong = true;
    return;
  }
  if (Event.contains("error"))
    m_ErrorCode = Event["error"].value("code", "unnamed");
  if (Event.contains("choices") && !Event["choices"].empty())
    takeTokens(textOf(Event["choices"][0]));
  if (Event.contains("usage") && Event["usage"].is_object())
    m_Said = Event["usage"].value("completion_tokens", std::uint64_t{0});
}

void AnswerCheck::takeTokens(std::string_view Text) {
  while (!Text.empty()) {
    const std::size_t End = Text.find(' ');
    const std::string_view Token = Text.substr(0, End + 1);
    if (Token != tokenText(m_Next, m_Hash)) {
      m_Wrong = true;
      return;
    }
    ++m_Next;
    Text.remove_prefix(Token.size());
  }
}

} // namespace crowstep::load
