/// The customary JSON forms of chat and text completions, plain and streamed.
#ifndef CROWSTEP_STANDIN_COMPLETION_H
#define CROWSTEP_STANDIN_COMPLETION_H

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace crowstep::standin {

/// One completion call as its body asks for it.
struct Completion {
  bool m_Chat = true;               ///< Chat form; false: text form.
  bool m_Stream = false;            ///< Server-sent events.
  std::string m_RequestId;          ///< From the router, or empty.
  std::string m_Model;              ///< As given.
  std::string m_Prompt;             ///< Contents, joined.
  std::uint32_t m_Hash = 0;         ///< Of the prompt, for its tokens.
  int m_Priority = 0;               ///< 0 is the most urgent.
  std::uint64_t m_PromptTokens = 0; ///< A token for four characters.
  std::uint64_t m_From = 0;         ///< Tokens that the caller has.
  std::uint64_t m_MaxTokens = 0;    ///< 0: no limit given.

  /// Reads a body. \throws nlohmann::json::exception.
  static Completion parse(const std::string &Path, const std::string &Body);

  /// Returns one event with the text of a token.
  [[nodiscard]] std::string tokenEvent(const std::string &Text) const;

  /// Returns the last events, with the usage.
  [[nodiscard]] std::string endEvents(const std::string &Reason,
                                      std::uint64_t Tokens) const;

  /// Returns the whole plain answer.
  [[nodiscard]] std::string plainBody(const std::string &Text,
                                      const std::string &Reason,
                                      std::uint64_t Tokens) const;

private:
  [[nodiscard]] nlohmann::json frame(nlohmann::json Choice) const;
  [[nodiscard]] nlohmann::json usage(std::uint64_t Tokens) const;

  std::string m_Before; ///< Of an event, up to the token's text.
  std::string m_After;  ///< Of an event, after the token's text.
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_COMPLETION_H
