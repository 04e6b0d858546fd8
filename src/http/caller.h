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
  virtual void answer(const CallerAnswer &What) = 0;

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
  virtual void onGone(std::function<void()> Job) = 0;
  virtual void onDrained(std::function<void()> Job) = 0;
};

/// Puts status, headers and body into \p Message.
void fillAnswer(SoupServerMessage *Message, const CallerAnswer &What);

/// A caller behind libsoup's server.
class HttpServerCaller final : public Caller {
public:
  /// Takes over \p Message, which stays paused until it is answered.
  explicit HttpServerCaller(SoupServerMessage *Message);
  ~HttpServerCaller() override;
  HttpServerCaller(const HttpServerCaller &) = delete;
  HttpServerCaller &operator=(const HttpServerCaller &) = delete;

  void answer(const CallerAnswer &What) override;
  void beginStream(const CallerAnswer &Head) override;
  void append(const std::string &Bytes) override;
  void endStream() override;
  void drop() override;
  [[nodiscard]] bool hasLeft() const override;
  [[nodiscard]] std::size_t backlog() const override { return m_Backlog; }
  void onGone(std::function<void()> Job) override;
  void onDrained(std::function<void()> Job) override;

private:
  static void onFinished(SoupServerMessage *Message, void *Self);
  static void onWrote(SoupServerMessage *Message, unsigned Size, void *Self);
  static int onSocket(int Socket, GIOCondition What, void *Self);
  void watch(GIOCondition What);
  void stopWatching();
  void gone();

  SoupServerMessage *m_Message;    ///< Owned reference.
  GSource *m_Watch = nullptr;      ///< Sees the caller's close; may be null.
  std::function<void()> m_Gone;    ///< Empty once it has run.
  std::function<void()> m_Drained; ///< May be empty.
  std::size_t m_Backlog = 0;       ///< Appended and not yet written.
  bool m_Open = true;              ///< Until answered, dropped or gone.
  bool m_Finished = false;         ///< libsoup is done with the message.
  bool m_Streaming = false;        ///< The head of a stream is given.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_CALLER_H
