/// One HTTP call at a stand-in, answered later, streamed or cut on purpose.
#ifndef CROWSTEP_STANDIN_EXCHANGE_H
#define CROWSTEP_STANDIN_EXCHANGE_H

#include "standin/held_answer.h"

#include <chrono>
#include <memory>
#include <string>

namespace crowstep::standin {

/// A call whose answer is still open. Every method may be called after the
/// connection has gone; it then does nothing.
class Exchange {
public:
  /// Takes over \p Message, which stays paused until it is answered.
  explicit Exchange(SoupServerMessage *Message) : m_Held(Message) {}

  /// Runs \p Gone once when the caller closes before the answer is complete.
  void onClosed(std::function<void()> Gone);

  /// Answers with JSON, and with Retry-After where \p RetryAfter is not 0.
  void answer(unsigned Status, const std::string &Body,
              std::chrono::seconds RetryAfter = {});

  /// Sends the headers of an event stream.
  void beginStream();
  void append(const std::string &Events) { m_Held.append(Events); }
  void endStream() { m_Held.endStream(); }

  /// Closes the connection at once, with nothing more sent.
  void cut() { m_Held.cut(); }

  [[nodiscard]] bool open() const { return m_Held.open(); }

private:
  HeldAnswer m_Held; ///< The message.
};

using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_EXCHANGE_H
