/// One HTTP call at a stand-in: answered later, streamed, or closed by a fault.
#ifndef CROWSTEP_STANDIN_EXCHANGE_H
#define CROWSTEP_STANDIN_EXCHANGE_H

#include "standin/deferred_answer.h"

#include <chrono>
#include <memory>
#include <string>

namespace crowstep::standin {

/// A call that may still be open. Every method may be called after the answer
/// is complete or the connection is closed; it then sends nothing.
class Exchange {
public:
  /// Pauses \p Message until it is answered.
  explicit Exchange(SoupServerMessage *Message) : m_Deferred(Message) {}

  /// Runs \p Job once when the caller closes before the answer is complete, or
  /// at once if the answer is not open any more.
  void onClosed(std::function<void()> Job);

  /// Answers with JSON, and with Retry-After if \p RetryAfter is not 0.
  void answer(unsigned Status, const std::string &Body,
              std::chrono::seconds RetryAfter = {});

  /// Sends the headers of a stream of server-sent events.
  void beginStream();
  void append(const std::string &Events) { m_Deferred.append(Events); }
  void endStream() { m_Deferred.endStream(); }

  /// Closes the connection at once without sending anything more.
  void closeConnection() { m_Deferred.closeConnection(); }

  [[nodiscard]] bool isOpen() const { return m_Deferred.isOpen(); }

private:
  DeferredAnswer m_Deferred; ///< libsoup's message.
};

using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_EXCHANGE_H
