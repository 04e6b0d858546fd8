/// The usual JSON formats of chat and text completions, plain and streamed.
#ifndef CROWSTEP_STANDIN_COMPLETION_H
#define CROWSTEP_STANDIN_COMPLETION_H

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace crowstep::standin {

/// One completion request, as read from its body.
struct Completion {
  bool m_IsChat = true;             ///< Chat format; false: text format.
  bool m_Stream = false;            ///< Server-sent events.
  std::string m_RequestId;          ///< Set by the router, or empty.
  std::string m_Model;              ///< Requested model, or empty.
  std::string m_Prompt;             ///< All contents, joined.
  std::uint32_t m_PromptHash = 0;   ///< Part of each token's text.
  int m_Priority = 0;               ///< 0 is the most urgent.
  std::uint64_t m_PromptTokens = 0; ///< One for four characters.
  std::uint64_t m_ResumeTokens = 0; ///< Tokens the caller already has.
  std::uint64_t m_MaxTokens = 0;    ///< 0: no limit given.

  /// Parses a body. \throws nlohmann::json::exception.
  static Completion parse(const std::string &Path, const std::string &Body);

  /// Returns one event with a token's text.
  [[nodiscard]] std::string tokenEvent(const std::string &Text) const;

  /// Returns the events that end a stream, with the token usage.
  [[nodiscard]] std::string endEvents(const std::string &Reason,
                                      std::uint64_t Tokens) const;

  /// Returns the body of an answer that is not streamed.
  [[nodiscard]] std::string plainBody(const std::string &Text,
                                      const std::string &Reason,
                                      std::uint64_t Tokens) const;

private:
  [[nodiscard]] nlohmann::json envelope(nlohmann::json Choice) const;
  [[nodiscard]] nlohmann::json usage(std::uint64_t Tokens) const;

  std::string m_EventHead; ///< Of an event, before the token's text.
  std::string m_EventTail; ///< Of an event, after the token's text.
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_COMPLETION_H
