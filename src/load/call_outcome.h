/// What became of one request, as its caller saw it.
#ifndef CROWSTEP_LOAD_CALL_OUTCOME_H
#define CROWSTEP_LOAD_CALL_OUTCOME_H

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crowstep::load {

/// How a request ended.
enum class CallEnd : std::uint8_t {
  Whole,    ///< A whole answer to the caller's own request.
  Refused,  ///< A typed refusal; the reason says why.
  Cut,      ///< Some of the answer, then a typed error or a closed connection.
  Wrong,    ///< Tokens of another request, doubled, or out of order.
  NoAnswer, ///< Closed without an answer, or no connection.
  TimedOut, ///< The caller gave up.
  Count,    ///< Number of ends; not an end.
};

/// Returns the name in reports, such as "whole".
const char *nameOf(CallEnd End);

/// One request's measurements.
struct CallOutcome {
  std::size_t m_Source = 0;       ///< Index.
  std::size_t m_Workspace = 0;    ///< Index.
  Duration m_At{};                ///< Due time since the start.
  Duration m_Late{};              ///< Sent so long after it was due.
  CallEnd m_End = CallEnd::Whole; ///< How it ended.
  unsigned m_Status = 0;          ///< HTTP status; 0: none came.
  std::string m_Reason;           ///< Code of the refusal or the cut.
  std::string m_RunState;         ///< Header Crowstep-Run, or empty.
  std::string m_Key;              ///< Idempotency key, or empty.
  Duration m_First{};             ///< To the first token or the answer.
  Duration m_Total{};             ///< To the end.
  std::uint64_t m_Tokens = 0;     ///< That reached the caller.
  std::vector<Duration> m_Gaps;   ///< Between tokens; streams only.
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_CALL_OUTCOME_H
