/// JSON answers and event streams of a call at a stand-in.
#include "standin/exchange.h"

namespace crowstep::standin {

namespace {

constexpr unsigned HttpOk = 200;

} // namespace

void Exchange::onClosed(std::function<void()> Job) {
  if (m_Deferred.isOpen())
    m_Deferred.onClosed(std::move(Job));
  else
    Job();
}

void Exchange::answer(unsigned Status, const std::string &Body,
                      std::chrono::seconds RetryAfter) {
  if (!m_Deferred.isOpen())
    return;
  if (RetryAfter.count() > 0)
    soup_message_headers_replace(
        soup_server_message_get_response_headers(m_Deferred.message()),
        "Retry-After", std::to_string(RetryAfter.count()).c_str());
  m_Deferred.answer(Status, "application/json", Body);
}

void Exchange::beginStream() {
  m_Deferred.beginStream(HttpOk, "text/event-stream");
}

} // namespace crowstep::standin
