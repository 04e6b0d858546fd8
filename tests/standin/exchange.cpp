/// Paused libsoup messages, and the watch for a caller that closes.
#include "standin/exchange.h"

#include "core/http_server.h"

#include <sys/socket.h>

namespace crowstep::standin {

Exchange::Exchange(SoupServerMessage *Message)
    : m_Message(SOUP_SERVER_MESSAGE(g_object_ref(Message))) {
  soup_server_message_pause(m_Message);
  g_signal_connect(m_Message, "finished", G_CALLBACK(onFinished), this);
}

Exchange::~Exchange() {
  stopWatching();
  if (m_Open)
    cut();
  g_signal_handlers_disconnect_by_data(m_Message, this);
  g_object_unref(m_Message);
}

void Exchange::onClosed(std::function<void()> Gone) {
  if (!m_Open) {
    Gone();
    return;
  }
  m_Gone = std::move(Gone);
  GSocket *Socket = soup_server_message_get_socket(m_Message);
  if (m_Watch != nullptr || Socket == nullptr)
    return;
  // libsoup reads nothing while it waits for an answer, so it would notice a
  // closed connection only at the second write after the close.
  m_Watch = g_socket_create_source(Socket, G_IO_IN, nullptr);
  g_source_set_callback(
      m_Watch,
      reinterpret_cast<GSourceFunc>(reinterpret_cast<void (*)()>(onReadable)),
      this, nullptr);
  g_source_attach(m_Watch, nullptr);
}

void Exchange::answer(unsigned Status, const std::string &Body,
                      std::chrono::seconds RetryAfter) {
  if (!m_Open)
    return;
  if (RetryAfter.count() > 0)
    soup_message_headers_replace(
        soup_server_message_get_response_headers(m_Message), "Retry-After",
        std::to_string(RetryAfter.count()).c_str());
  m_Open = false;
  stopWatching();
  respond(m_Message, Status, "application/json", Body);
  soup_server_message_unpause(m_Message);
}

void Exchange::beginStream() {
  if (!m_Open || m_Streaming)
    return;
  m_Streaming = true;
  soup_server_message_set_status(m_Message, SOUP_STATUS_OK, nullptr);
  SoupMessageHeaders *Headers =
      soup_server_message_get_response_headers(m_Message);
  soup_message_headers_set_encoding(Headers, SOUP_ENCODING_CHUNKED);
  soup_message_headers_append(Headers, "Content-Type", "text/event-stream");
  soup_message_body_set_accumulate(
      soup_server_message_get_response_body(m_Message), 0);
  soup_server_message_unpause(m_Message);
}

void Exchange::append(const std::string &Events) {
  if (!m_Open || !m_Streaming)
    return;
  soup_message_body_append(soup_server_message_get_response_body(m_Message),
                           SOUP_MEMORY_COPY, Events.data(), Events.size());
  soup_server_message_unpause(m_Message);
}

void Exchange::endStream() {
  if (!m_Open || !m_Streaming)
    return;
  m_Open = false;
  stopWatching();
  soup_message_body_complete(soup_server_message_get_response_body(m_Message));
  soup_server_message_unpause(m_Message);
}

void Exchange::cut() {
  if (!m_Open)
    return;
  m_Open = false;
  stopWatching();
  if (GSocket *Socket = soup_server_message_get_socket(m_Message))
    g_socket_shutdown(Socket, 1, 1, nullptr);
  // The next write fails, and libsoup then drops the connection.
  if (m_Streaming)
    soup_message_body_complete(
        soup_server_message_get_response_body(m_Message));
  else
    soup_server_message_set_status(m_Message, SOUP_STATUS_OK, nullptr);
  soup_server_message_unpause(m_Message);
}

void Exchange::onFinished(SoupServerMessage *, void *Self) {
  static_cast<Exchange *>(Self)->closed();
}

int Exchange::onReadable(GSocket *Socket, GIOCondition, void *Self) {
  char Byte = 0;
  const auto Seen =
      recv(g_socket_get_fd(Socket), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  auto *Owner = static_cast<Exchange *>(Self);
  if (Seen > 0) { // The next request of a connection that is kept alive.
    Owner->stopWatching();
    return G_SOURCE_REMOVE;
  }
  Owner->closed();
  return G_SOURCE_REMOVE;
}

void Exchange::closed() {
  stopWatching();
  if (!m_Open)
    return;
  const std::function<void()> Gone = std::move(m_Gone);
  m_Gone = nullptr;
  cut();
  if (Gone)
    Gone();
}

void Exchange::stopWatching() {
  if (m_Watch == nullptr)
    return;
  g_source_destroy(m_Watch);
  g_source_unref(m_Watch);
  m_Watch = nullptr;
}

} // namespace crowstep::standin
