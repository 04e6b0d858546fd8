/// Splitting and parsing of engines' server-sent events.
#include "entry/event_stream.h"

#include "core/untrusted_json.h"

namespace crowstep::entry {

namespace {

using Json = nlohmann::json;

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DataField = "data:";
constexpr std::string_view DoneMark = "[DONE]";

std::string_view payloadOf(std::string_view Event) {
  if (Event.substr(0, DataField.size()) != DataField)
    return {}; // A comment or another field.
  Event.remove_prefix(DataField.size());
  while (!Event.empty() && Event.front() == ' ')
    Event.remove_prefix(1);
  while (!Event.empty() && (Event.back() == '\n' || Event.back() == '\r'))
    Event.remove_suffix(1);
  return Event;
}

/// Returns whether \p Payload has a non-empty string under \p Name, a quoted
/// key. It scans instead of parsing because it runs for each token. Quotes in a
/// JSON string are escaped, so the text of an answer can't look like the key.
bool hasText(std::string_view Payload, std::string_view Name) {
  const std::size_t Found = Payload.find(Name);
  if (Found == std::string_view::npos)
    return false;
  std::size_t Next = Found + Name.size();
  const auto SkipSpaces = [&] {
    while (Next < Payload.size() && Payload[Next] == ' ')
      ++Next;
  };
  SkipSpaces();
  if (Next >= Payload.size() || Payload[Next] != ':')
    return false;
  ++Next;
  SkipSpaces();
  return Next + 1 < Payload.size() && Payload[Next] == '"' &&
         Payload[Next + 1] != '"';
}

void classify(std::string_view Payload, EventBatch &Out) {
  if (Payload == DoneMark)
    Out.m_Done = true;
  else if (hasText(Payload, "\"content\"") || hasText(Payload, "\"text\""))
    ++Out.m_Tokens;
  else if (Payload.substr(0, 8) == "{\"error\"")
    Out.m_Failed = true;
}

} // namespace

EventBatch EventSplitter::feed(std::string_view Bytes) {
  EventBatch Result;
  m_Incomplete.append(Bytes);
  std::size_t Begin = 0;
  while (!Result.m_Done && !Result.m_Failed) {
    const std::size_t End = m_Incomplete.find(EventEnd, Begin);
    if (End == std::string::npos)
      break;
    const std::size_t Next = End + EventEnd.size();
    const std::string_view Event(m_Incomplete.data() + Begin, Next - Begin);
    classify(payloadOf(Event), Result);
    if (!Result.m_Failed) // The entry sends an error event of its own.
      Result.m_Events.append(Event);
    Begin = Next;
  }
  m_Incomplete.erase(0, Begin);
  return Result;
}

bool AnswerAssembler::feed(const std::string &Events) {
  std::size_t Begin = 0;
  for (std::size_t End = Events.find(EventEnd); End != std::string::npos;
       End = Events.find(EventEnd, Begin)) {
    const std::string_view Payload = payloadOf(
        std::string_view(Events).substr(Begin, End + EventEnd.size() - Begin));
    Begin = End + EventEnd.size();
    if (Payload.empty() || Payload == DoneMark)
      continue;
    const Json Chunk = parseUntrustedJsonOrDiscard(Payload);
    if (!Chunk.is_object() || !feedChunk(Chunk))
      return false;
  }
  return true;
}

bool AnswerAssembler::feedChunk(const Json &Chunk) {
  if (m_FirstChunk.is_null())
    m_FirstChunk = Chunk;
  if (const auto Usage = Chunk.find("usage");
      Usage != Chunk.end() && Usage->is_object())
    m_Usage = *Usage;
  const auto Choices = Chunk.find("choices");
  if (Choices == Chunk.end() || !Choices->is_array() || Choices->empty())
    return true;
  const Json &Choice = Choices->front();
  if (!Choice.is_object())
    return false;
  const Json Delta = Choice.value("delta", Json::object());
  const Json &Holder = m_Chat ? Delta : Choice;
  const auto Text = Holder.find(m_Chat ? "content" : "text");
  if (Text != Holder.end() && Text->is_string())
    m_Text += Text->get_ref<const std::string &>();
  if (const auto Finish = Choice.find("finish_reason");
      Finish != Choice.end() && Finish->is_string())
    m_FinishReason = Finish->get<std::string>();
  return true;
}

void AnswerAssembler::clear() { *this = AnswerAssembler(m_Chat); }

std::string AnswerAssembler::buildAnswer(std::uint32_t PromptTokens,
                                         std::uint32_t Tokens) const {
  Json Choice = {{"index", 0}, {"finish_reason", m_FinishReason}};
  if (m_Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", m_Text}};
  else
    Choice["text"] = m_Text;
  Json Result = {{"object", m_Chat ? "chat.completion" : "text_completion"},
                 {"choices", Json::array({Choice})}};
  for (const char *Name : {"id", "model", "created"})
    if (m_FirstChunk.is_object() && m_FirstChunk.contains(Name))
      Result[Name] = m_FirstChunk[Name];
  Result["usage"] = m_Usage.is_object() ? m_Usage
                                        : Json{{"prompt_tokens", PromptTokens},
                                               {"completion_tokens", Tokens}};
  // The last engine of a resumed answer counts only its own tokens.
  Result["usage"]["completion_tokens"] = Tokens;
  if (const Json &Usage = Result["usage"]; Usage.contains("prompt_tokens"))
    Result["usage"]["total_tokens"] =
        Usage["prompt_tokens"].get<std::uint64_t>() + Tokens;
  return Result.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace crowstep::entry
