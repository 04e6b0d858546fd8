/// Parses completion requests and builds their answers.
#include "standin/completion.h"

#include "load/token_text.h"

using nlohmann::json;

namespace crowstep::standin {

namespace {

constexpr std::size_t CharactersPerToken = 4;

/// Placeholder for a token's text, by which an event is split into the head
/// and the tail that all tokens of an answer share.
constexpr const char *TextPlaceholder = "@TEXT@";

} // namespace

json Completion::envelope(json Choice) const {
  Choice["index"] = 0;
  const char *Object = "text_completion";
  if (m_IsChat)
    Object = m_Stream ? "chat.completion.chunk" : "chat.completion";
  return {{"id", "cmpl-" + m_RequestId},
          {"object", Object},
          {"model", m_Model},
          {"choices", json::array({std::move(Choice)})}};
}

Completion Completion::parse(const std::string &Path,
                             const std::string &BodyText) {
  const json Body = json::parse(BodyText);
  Completion Result;
  Result.m_IsChat = Path == "/v1/chat/completions";
  Result.m_Stream = Body.value("stream", false);
  Result.m_RequestId = Body.value("request_id", "");
  Result.m_Model = Body.value("model", "");
  Result.m_Prompt = load::promptOf(Body);
  Result.m_PromptHash = load::promptHashOf(Result.m_Prompt);
  Result.m_Priority = Body.value("priority", 0);
  Result.m_PromptTokens =
      (Result.m_Prompt.size() + CharactersPerToken - 1) / CharactersPerToken;
  Result.m_ResumeTokens = Body.value("resume_tokens", std::uint64_t{0});
  Result.m_MaxTokens = Body.value("max_tokens", std::uint64_t{0});
  const json Choice = Result.m_IsChat
                          ? json{{"delta", {{"content", TextPlaceholder}}}}
                          : json{{"text", TextPlaceholder}};
  json Envelope = Result.envelope(Choice);
  Envelope["choices"][0]["finish_reason"] = nullptr;
  const std::string Event = "data: " + Envelope.dump() + "\n\n";
  const std::size_t TextStart = Event.rfind(TextPlaceholder);
  Result.m_EventHead = Event.substr(0, TextStart);
  Result.m_EventTail =
      Event.substr(TextStart + std::string(TextPlaceholder).size());
  return Result;
}

std::string Completion::tokenEvent(const std::string &Text) const {
  std::string Result;
  Result.reserve(m_EventHead.size() + Text.size() + m_EventTail.size());
  Result += m_EventHead;
  Result += Text;
  Result += m_EventTail;
  return Result;
}

json Completion::usage(std::uint64_t Tokens) const {
  return {{"prompt_tokens", m_PromptTokens},
          {"completion_tokens", Tokens},
          {"total_tokens", m_PromptTokens + Tokens}};
}

std::string Completion::endEvents(const std::string &Reason,
                                  std::uint64_t Tokens) const {
  json Choice = {{"finish_reason", Reason}};
  if (m_IsChat)
    Choice["delta"] = json::object();
  else
    Choice["text"] = "";
  json Envelope = envelope(std::move(Choice));
  Envelope["usage"] = usage(Tokens);
  return "data: " + Envelope.dump() + "\n\ndata: [DONE]\n\n";
}

std::string Completion::plainBody(const std::string &Text,
                                  const std::string &Reason,
                                  std::uint64_t Tokens) const {
  json Choice = {{"finish_reason", Reason}};
  if (m_IsChat)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  json Envelope = envelope(std::move(Choice));
  Envelope["usage"] = usage(Tokens);
  return Envelope.dump();
}

} // namespace crowstep::standin
