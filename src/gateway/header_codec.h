/// What headers mean, apart from how they are called.
///
/// The gateway passes headers on and needs a few facts from them. How those
/// are spelled belongs to the platform that callers and upstreams live on.
#ifndef CROWSTEP_GATEWAY_HEADER_CODEC_H
#define CROWSTEP_GATEWAY_HEADER_CODEC_H

#include "balance/balance_type.h"
#include "core/clock.h"
#include "http/header_list.h"
#include "prompt_type.h"

#include <optional>
#include <string>
#include <variant>

namespace crowstep::gateway {

/// What a caller's headers say.
struct RequestFacts {
  std::string m_Id;                         ///< Of this attempt of the caller.
  std::string m_Key;                        ///< Empty: none.
  std::optional<Duration> m_Deadline;       ///< How long the caller waits.
  std::optional<std::uint64_t> m_LastEvent; ///< Goes on after this event.
  PromptSize m_Prompt;                      ///< Empty for plain calls.
};

/// A header that the gateway needs is missing or can't be read.
struct UnreadableHeader {
  std::string m_Name; ///< Which one.
};

/// What the gateway tells an upstream beside the caller's own headers.
struct SendFacts {
  Duration m_TimeLeft{};                    ///< The upstream stops after it.
  std::string m_Upstream;                   ///< The only one that may run it.
  std::string m_Workspace;                  ///< Whose key it is; empty: none.
  unsigned m_Priority = 0;                  ///< 0 is the most urgent.
  std::optional<std::uint64_t> m_LastEvent; ///< Goes on after this event.
};

/// What an upstream's headers say.
struct AnswerFacts {
  std::string m_RequestId;          ///< Of the call that it answers.
  bool m_Signed = false;            ///< Bears the upstream's signature.
  bool m_NotRun = false;            ///< The upstream did not run the call.
  bool m_OtherUpstream = false;     ///< It is not the one that was named.
  bool m_Encoded = false;           ///< The body isn't what was made.
  bool m_Leaving = false;           ///< It closes its connections.
  std::optional<LoadReport> m_Load; ///< As of this answer.
  std::optional<double> m_Limit;    ///< Requests a second, from all instances.
  bool m_BadLimit = false;          ///< One is stated and can't be read.
};

/// Translates headers; one for each platform.
class HeaderCodec {
public:
  virtual ~HeaderCodec() = default;

  [[nodiscard]] virtual std::variant<RequestFacts, UnreadableHeader>
  readRequest(const HeaderList &Headers) const = 0;

  /// Returns what an upstream gets: the caller's headers without those that
  /// are the gateway's to set, and the gateway's own.
  [[nodiscard]] virtual HeaderList writeRequest(const HeaderList &FromCaller,
                                                const SendFacts &Own) const = 0;

  [[nodiscard]] virtual AnswerFacts
  readAnswer(unsigned Status, const HeaderList &Headers) const = 0;

  /// Returns the headers of a refusal: the attempt's id and, unless
  /// \p RetryAfter is 0, when to come back.
  [[nodiscard]] virtual HeaderList writeRefusal(const std::string &RequestId,
                                                Duration RetryAfter) const = 0;
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_HEADER_CODEC_H
