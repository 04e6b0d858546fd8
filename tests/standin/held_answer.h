/// The open answer to a request at libsoup's server.
///
/// The message stays paused until it is answered, streamed or cut, and its
/// caller's close is seen while nothing is written. Every method may be called
/// after the caller has gone; it then does nothing.
#ifndef CROWSTEP_STANDIN_HELD_ANSWER_H
#define CROWSTEP_STANDIN_HELD_ANSWER_H

#include "core/socket_watch.h"

#include <cstddef>
#include <functional>
#include <libsoup/soup.h>
#include <optional>
#include <string>

namespace crowstep {

class HeldAnswer final : public SocketListener {
public:
  /// Takes over \p Message.
  explicit HeldAnswer(SoupServerMessage *Message);

  /// Cuts what is still open.
  ~HeldAnswer() override;
  HeldAnswer(const HeldAnswer &) = delete;
  HeldAnswer &operator=(const HeldAnswer &) = delete;

  /// Returns the message, for further headers before the answer begins.
  [[nodiscard]] SoupServerMessage *message() const { return m_Message; }

  /// Answers at once and whole.
  void answer(unsigned Status, const std::string &ContentType,
              const std::string &Body);

  /// Sends the head of an answer that comes in pieces.
  void beginStream(unsigned Status, const std::string &ContentType);
  void append(const std::string &Bytes);
  void endStream();

  /// Closes the connection without an answer, or amid a stream, so that the
  /// caller sees that it is not whole.
  void cut();

  /// Returns whether the answer can still go on.
  [[nodiscard]] bool open() const { return m_Open; }

  /// Returns whether the head of a stream is given.
  [[nodiscard]] bool streaming() const { return m_Streaming; }

  /// Returns whether the caller has closed its connection, asked just now.
  [[nodiscard]] bool hasLeft() const;

  /// Returns the bytes that were appended and are not yet written.
  [[nodiscard]] std::size_t backlog() const { return m_Backlog; }

  /// Sets what runs when the caller goes before its answer is complete, and
  /// when the backlog has shrunk.
  void onGone(std::function<void()> Job) { m_Gone = std::move(Job); }
  void onDrained(std::function<void()> Job) { m_Drained = std::move(Job); }

private:
  static void onFinished(SoupServerMessage *Message, void *Self);
  static void onWrote(SoupServerMessage *Message, unsigned Size, void *Self);
  void socketReady(SocketEvents What) override;
  void gone();

  SoupServerMessage *m_Message;       ///< Owned reference.
  std::optional<SocketWatch> m_Watch; ///< Sees the caller's close.
  std::function<void()> m_Gone;       ///< Empty once it has run.
  std::function<void()> m_Drained;    ///< May be empty.
  std::size_t m_Backlog = 0;          ///< Appended and not yet written.
  bool m_Open = true;                 ///< Until answered, cut or gone.
  bool m_Finished = false;            ///< libsoup is done with the message.
  bool m_Streaming = false;           ///< The head of a stream is given.
};

} // namespace crowstep

#endif // CROWSTEP_STANDIN_HELD_ANSWER_H
