/// The caller's side of one request.
#ifndef CROWSTEP_HTTP_CALLER_H
#define CROWSTEP_HTTP_CALLER_H

#include "core/clock.h"
#include "http/header_list.h"
#include "refusal_type.h"

#include <cstddef>
#include <functional>
#include <libsoup/soup.h>
#include <string>

namespace crowstep {

/// Status, headers and, unless it is streamed, the body of an answer.
struct CallerAnswer {
  unsigned m_Status = 200;                        ///< HTTP status.
  RunState m_RunState = RunState::Ran;            ///< Header Crowstep-Run.
  std::string m_ContentType = "application/json"; ///< Header.
  std::string m_Body;      ///< Complete; empty for a stream.
  Duration m_RetryAfter{}; ///< 0: no Retry-After header.
  HeaderList m_Headers;    ///< Further headers.
};

/// Returns the answer that refuses a request.
CallerAnswer refusalAnswer(RefusalReason Reason, RunState State,
                           Duration RetryAfter);

/// Sends the answer to the caller of one request; faked in tests.
class Caller {
public:
  virtual ~Caller() = default;

  /// Sends a complete answer.
  virtual void answer(const CallerAnswer &Answer) = 0;

  virtual void beginStream(const CallerAnswer &Head) = 0;
  virtual void append(const std::string &Bytes) = 0;
  virtual void endStream() = 0;

  /// Closes the connection without an answer, or within a stream in such a way
  /// that the caller sees that it is truncated.
  virtual void abortAnswer() = 0;

  /// Checks the socket and returns whether the caller has closed its
  /// connection. After the process was suspended the event loop reports the
  /// close late; a request sent to an upstream before that would be wasted.
  [[nodiscard]] virtual bool hasDisconnected() const = 0;

  /// Returns the number of bytes that the socket has not yet accepted.
  [[nodiscard]] virtual std::size_t backlog() const = 0;

  /// Returns whether more may be appended while the caller reads slowly;
  /// otherwise onBacklogReduced() runs once it may. Always true where the
  /// backlog is bounded otherwise.
  [[nodiscard]] virtual bool mayBuffer() { return true; }

  /// Sets the callbacks that run when the caller disconnects before its answer
  /// was given in full, and when the socket has accepted more of the backlog or
  /// there is room for more.
  virtual void onDisconnect(std::function<void()> Callback) = 0;
  virtual void onBacklogReduced(std::function<void()> Callback) = 0;
};

/// Copies status, headers and body into \p Message.
void fillAnswer(SoupServerMessage *Message, const CallerAnswer &Answer);

/// Returns the headers of an answer, except those that frame its body.
HeaderList headersOf(const CallerAnswer &Answer);

} // namespace crowstep

#endif // CROWSTEP_HTTP_CALLER_H
