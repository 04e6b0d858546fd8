/// An answer given after the request handler of libsoup's server has returned.
///
/// The message stays paused until it is answered, streamed or closed. A close
/// by the caller is detected also while nothing is written. Every method may
/// be called after the caller has closed; it then does nothing.
#ifndef CROWSTEP_STANDIN_DEFERRED_ANSWER_H
#define CROWSTEP_STANDIN_DEFERRED_ANSWER_H

#include "core/socket_watch.h"

#include <cstddef>
#include <functional>
#include <libsoup/soup.h>
#include <optional>
#include <string>

namespace crowstep {

class DeferredAnswer final : public SocketListener {
public:
  /// Pauses \p Message and keeps a reference to it.
  explicit DeferredAnswer(SoupServerMessage *Message);

  /// Closes the connection if the answer is still open.
  ~DeferredAnswer() override;
  DeferredAnswer(const DeferredAnswer &) = delete;
  DeferredAnswer &operator=(const DeferredAnswer &) = delete;

  /// Returns the message, to set further headers before the answer begins.
  [[nodiscard]] SoupServerMessage *message() const { return m_Message; }

  /// Sends a complete answer.
  void answer(unsigned Status, const std::string &ContentType,
              const std::string &Body);

  /// Sends the status and headers of a chunked answer.
  void beginStream(unsigned Status, const std::string &ContentType);
  void append(const std::string &Bytes);
  void endStream();

  /// Closes the connection without an answer, or in mid-stream, so that the
  /// caller detects that the answer is incomplete.
  void closeConnection();

  /// Returns whether the answer can still be given or continued.
  [[nodiscard]] bool isOpen() const { return m_Open; }

  /// Returns whether beginStream() was called.
  [[nodiscard]] bool isStreaming() const { return m_Streaming; }

  /// Checks the socket and returns whether the caller has closed it.
  [[nodiscard]] bool isClosedByCaller() const;

  /// Returns the number of bytes appended and not yet written.
  [[nodiscard]] std::size_t backlog() const { return m_Backlog; }

  /// Sets the jobs to run when the caller closes before its answer is complete,
  /// and after each write.
  void onClosed(std::function<void()> Job) { m_OnClosed = std::move(Job); }
  void onDrained(std::function<void()> Job) { m_OnDrained = std::move(Job); }

private:
  static void onFinished(SoupServerMessage *Message, void *Self);
  static void onWrote(SoupServerMessage *Message, unsigned Size, void *Self);
  void socketReady(SocketEvents Events) override;
  void handleClosed();

  SoupServerMessage *m_Message;       ///< Owned reference.
  std::optional<SocketWatch> m_Watch; ///< Detects a close by the caller.
  std::function<void()> m_OnClosed;   ///< Empty once it has run.
  std::function<void()> m_OnDrained;  ///< May be empty.
  std::size_t m_Backlog = 0;          ///< Bytes appended, not yet written.
  bool m_Open = true;                 ///< Until answered or closed.
  bool m_Finished = false;            ///< By libsoup's signal "finished".
  bool m_Streaming = false;           ///< beginStream() was called.
};

} // namespace crowstep

#endif // CROWSTEP_STANDIN_DEFERRED_ANSWER_H
