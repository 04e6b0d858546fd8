/// One HTTP call at a stand-in, answered later, streamed or cut on purpose.
#ifndef CROWSTEP_STANDIN_EXCHANGE_H
#define CROWSTEP_STANDIN_EXCHANGE_H

#include <chrono>
#include <functional>
#include <libsoup/soup.h>
#include <memory>
#include <string>

namespace crowstep::standin {

/// A call whose answer is still open. Every method may be called after the
/// connection has gone; it then does nothing.
class Exchange {
public:
  /// Takes over \p Message, which stays paused until it is answered.
  explicit Exchange(SoupServerMessage *Message);
  ~Exchange();
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  /// Runs \p Gone once when the caller closes before the answer is complete.
  void onClosed(std::function<void()> Gone);

  /// Answers with JSON, and with Retry-After where \p RetryAfter is not 0.
  void answer(unsigned Status, const std::string &Body,
              std::chrono::seconds RetryAfter = {});

  /// Sends the headers of an event stream.
  void beginStream();
  void append(const std::string &Events);
  void endStream();

  /// Closes the connection at once, with nothing more sent.
  void cut();

  [[nodiscard]] bool open() const { return m_Open; }

private:
  static void onFinished(SoupServerMessage *Message, void *Self);
  static int onReadable(GSocket *Socket, GIOCondition Condition, void *Self);
  void stopWatching();
  void closed();

  SoupServerMessage *m_Message; ///< Owned reference.
  GSource *m_Watch = nullptr;   ///< Sees the caller's close; may be null.
  std::function<void()> m_Gone; ///< Empty once it has run.
  bool m_Open = true;           ///< False once answered, cut or closed.
  bool m_Streaming = false;     ///< Headers of a stream were sent.
};

using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_EXCHANGE_H
