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

/// Status, headers and, unless it is streamed, body of an answer.
struct CallerAnswer {
  unsigned m_Status = 200;                        ///< HTTP status.
  RunState m_State = RunState::Ran;               ///< Header Crowstep-Run.
  std::string m_ContentType = "application/json"; ///< Header.
  std::string m_Body;                             ///< Whole, or empty.
  Duration m_RetryAfter{};                        ///< 0: no header.
  HeaderList m_Headers;                           ///< Further headers.
};

/// Returns the answer that refuses a request.
CallerAnswer refusalAnswer(RefusalReason Reason, RunState State,
                           Duration RetryAfter);

/// Who is answered; faked in tests.
class Caller {
public:
  virtual ~Caller() = default;

  /// Answers at once and whole.
  virtual void answer(const CallerAnswer &Answer) = 0;

  virtual void beginStream(const CallerAnswer &Head) = 0;
  virtual void append(const std::string &Bytes) = 0;
  virtual void endStream() = 0;

  /// Closes the connection without an answer, or amid a stream, so that the
  /// caller sees that it is not whole.
  virtual void drop() = 0;

  /// Returns whether the caller has closed its connection, asked just now. A
  /// process that wakes from a freeze learns of the close only when its loop
  /// gets to the socket; what is sent before that would run for nobody.
  [[nodiscard]] virtual bool hasLeft() const = 0;

  /// Returns the bytes that the caller has not yet taken.
  [[nodiscard]] virtual std::size_t backlog() const = 0;

  /// Sets what runs when the caller goes before its answer is complete, and
  /// when the backlog has shrunk.
  virtual void onGone(std::function<void()> Callback) = 0;
  virtual void onDrained(std::function<void()> Callback) = 0;
};

/// Puts status, headers and body into \p Message.
void fillAnswer(SoupServerMessage *Message, const CallerAnswer &Answer);

/// Returns the headers of an answer but those that frame its body.
HeaderList headersOf(const CallerAnswer &Answer);

} // namespace crowstep

#endif // CROWSTEP_HTTP_CALLER_H
