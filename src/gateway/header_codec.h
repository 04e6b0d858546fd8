/// Meaning of headers, independent of their spelling.
///
/// The gateway passes headers on and needs a few facts from them. How those are
/// spelled depends on the platform of callers and upstreams.
#ifndef CROWSTEP_GATEWAY_HEADER_CODEC_H
#define CROWSTEP_GATEWAY_HEADER_CODEC_H

#include "balance/balance_type.h"
#include "core/clock.h"
#include "http/header_list.h"
#include "http/upstream_call.h"
#include "prompt_type.h"

#include <optional>
#include <string>
#include <variant>

namespace crowstep::gateway {

/// Facts from a caller's headers.
struct RequestFacts {
  std::string m_Id;                   ///< Of this attempt of the caller.
  std::string m_Key;                  ///< API key; empty: none.
  std::optional<Duration> m_Deadline; ///< How long the caller waits.
  std::optional<std::uint64_t> m_LastEventId; ///< The stream resumes after it.
  std::string m_Resumes; ///< Attempt that brought the resumed stream's first
                         ///< event; empty: not stated.
  PromptInfo m_Prompt;   ///< Empty for plain calls.
};

/// A header that the gateway needs is missing or malformed.
struct UnreadableHeader {
  std::string m_Name; ///< Of the header.
};

/// Facts that the gateway adds to the caller's headers for an upstream.
struct AttemptFacts {
  Duration m_TimeLeft{};   ///< The upstream stops after it.
  std::string m_Upstream;  ///< Only this one may run it.
  std::string m_Workspace; ///< Of the checked key; empty: none.
  unsigned m_Priority = 0; ///< 0 is the most urgent.
  std::optional<std::uint64_t> m_LastEventId; ///< The stream resumes after it.
};

/// Facts from an upstream's headers.
struct AnswerFacts {
  std::string m_RequestId;          ///< Of the call that it answers.
  bool m_Signed = false;            ///< Carries the upstream's signature.
  bool m_NotRun = false;            ///< The upstream did not run the call.
  bool m_WrongUpstream = false;     ///< The call was for another upstream.
  bool m_Encoded = false;           ///< The body was altered by an encoding.
  bool m_Draining = false;          ///< It closes its connections.
  bool m_Leaving = false;           ///< It states that it leaves.
  std::optional<LoadReport> m_Load; ///< At the time of this answer.
  std::optional<double> m_Limit;    ///< Requests a second, from all instances.
  bool m_LimitUnreadable = false;   ///< A limit is stated but malformed.

  /// Requests that the service's upstreams can reject in a second, from all
  /// instances together, without falling over; none: they are not brittle.
  std::optional<double> m_RejectionLimit;
  bool m_RejectionLimitUnreadable = false; ///< It is stated but malformed.

  /// The upstream rejected the call for now and wants no other one from this
  /// instance for so long.
  std::optional<Duration> m_RequestedPause;
  bool m_PauseUnreadable = false; ///< A pause is requested but malformed.
};

/// Reads and writes headers; one implementation for each platform.
class HeaderCodec {
public:
  virtual ~HeaderCodec() = default;

  [[nodiscard]] virtual std::variant<RequestFacts, UnreadableHeader>
  readRequest(const HeaderList &Headers) const = 0;

  /// Returns the headers for an upstream: the caller's, without those that only
  /// the gateway may set, and the gateway's own.
  [[nodiscard]] virtual HeaderList
  writeRequest(const HeaderList &FromCaller, const AttemptFacts &Own) const = 0;

  [[nodiscard]] virtual AnswerFacts
  readAnswer(unsigned Status, const HeaderList &Headers) const = 0;

  /// Returns how the upstream is asked which process it is, or nullopt if its
  /// name tells that.
  [[nodiscard]] virtual std::optional<ProcessCheck>
  processCheck(const balance::Placed &) const {
    return std::nullopt;
  }

  /// Returns the headers of a refusal: the attempt's id and, unless
  /// \p RetryAfter is 0, when to retry.
  [[nodiscard]] virtual HeaderList writeRefusal(const std::string &RequestId,
                                                Duration RetryAfter) const = 0;
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_HEADER_CODEC_H
