/// Outcome of one request, as its caller observed it.
#ifndef CROWSTEP_LOAD_CALL_OUTCOME_H
#define CROWSTEP_LOAD_CALL_OUTCOME_H

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crowstep::load {

/// How a request ended.
enum class CallEnd : std::uint8_t {
  Whole,    ///< A complete answer to the caller's own request.
  Refused,  ///< A status other than 200; the reason says why.
  Cut,      ///< Ended early, by an error in the answer or a closed connection.
  Wrong,    ///< Tokens of another request, duplicated, or out of order.
  NoAnswer, ///< Closed without an answer, or no connection.
  TimedOut, ///< The caller's timeout expired.
  Count,    ///< Number of ends; not an end itself.
};

/// Returns the name used in result files, such as "whole".
const char *nameOf(CallEnd End);

/// Measurements of one request.
struct CallOutcome {
  std::size_t m_Source = 0;       ///< Index in the plan.
  std::size_t m_Workspace = 0;    ///< Index in the plan.
  Duration m_DueTime{};           ///< From the start of the warm-up.
  Duration m_Lateness{};          ///< Delay from due time to sending.
  CallEnd m_End = CallEnd::Whole; ///< How it ended.
  unsigned m_Status = 0;          ///< HTTP status; 0: none received.
  std::string m_Reason;           ///< Error code of a refusal or a cut answer.
  std::string m_RunState;         ///< Header Crowstep-Run, or empty.
  std::string m_IdempotencyKey;   ///< Idempotency key, or empty.
  Duration m_TimeToFirstToken{};  ///< To the first token or the whole document.
  Duration m_TotalTime{};         ///< From sending to the end.
  std::uint64_t m_Tokens = 0;     ///< Received by the caller.
  std::vector<Duration> m_TokenGaps; ///< Between tokens; streams only.
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_CALL_OUTCOME_H
