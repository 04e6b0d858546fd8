/// Pauses libsoup messages and detects that a caller closes its connection.
#include "standin/deferred_answer.h"

#include "core/http_server.h"
#include "http/socket_state.h"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace crowstep {

DeferredAnswer::DeferredAnswer(SoupServerMessage *Message)
    : m_Message(SOUP_SERVER_MESSAGE(g_object_ref(Message))) {
  soup_server_message_pause(m_Message);
  g_signal_connect(m_Message, "finished", G_CALLBACK(onFinished), this);
  g_signal_connect(m_Message, "wrote-body-data", G_CALLBACK(onWrote), this);
  // libsoup does not read while an answer is pending: without this watch the
  // request of a caller that has closed would keep its place in the queue or
  // its slot to the end.
  if (GSocket *Socket = soup_server_message_get_socket(m_Message)) {
    m_Watch.emplace(g_socket_get_fd(Socket), *this);
    m_Watch->setEvents({.m_Read = true, .m_HungUp = true});
  }
}

DeferredAnswer::~DeferredAnswer() {
  closeConnection();
  m_Watch.reset();
  g_signal_handlers_disconnect_by_data(m_Message, this);
  g_object_unref(m_Message);
}

void DeferredAnswer::answer(unsigned Status, const std::string &ContentType,
                            const std::string &Body) {
  if (!m_Open)
    return;
  m_Open = false;
  m_Watch.reset();
  respond(m_Message, Status, ContentType, Body);
  soup_server_message_unpause(m_Message);
}

void DeferredAnswer::beginStream(unsigned Status,
                                 const std::string &ContentType) {
  if (!m_Open || m_Streaming)
    return;
  m_Streaming = true;
  soup_server_message_set_status(m_Message, Status, nullptr);
  SoupMessageHeaders *Headers =
      soup_server_message_get_response_headers(m_Message);
  soup_message_headers_set_encoding(Headers, SOUP_ENCODING_CHUNKED);
  soup_message_headers_replace(Headers, "Content-Type", ContentType.c_str());
  // Frees each chunk once it is written; by default libsoup keeps them all.
  soup_message_body_set_accumulate(
      soup_server_message_get_response_body(m_Message), 0);
  soup_server_message_unpause(m_Message);
}

void DeferredAnswer::append(const std::string &Bytes) {
  if (!m_Open || !m_Streaming || Bytes.empty())
    return;
  m_Backlog += Bytes.size();
  soup_message_body_append(soup_server_message_get_response_body(m_Message),
                           SOUP_MEMORY_COPY, Bytes.data(), Bytes.size());
  soup_server_message_unpause(m_Message);
}

void DeferredAnswer::endStream() {
  if (!m_Open || !m_Streaming)
    return;
  m_Open = false;
  m_Watch.reset();
  soup_message_body_complete(soup_server_message_get_response_body(m_Message));
  soup_server_message_unpause(m_Message);
}

void DeferredAnswer::closeConnection() {
  if (!m_Open)
    return;
  m_Open = false;
  m_Watch.reset();
  if (m_Finished) // The connection is not the message's any more.
    return;
  if (GSocket *Socket = soup_server_message_get_socket(m_Message))
    g_socket_shutdown(Socket, 1, 1, nullptr);
  // The next write fails, upon which libsoup frees the connection.
  if (m_Streaming)
    soup_message_body_complete(
        soup_server_message_get_response_body(m_Message));
  else
    soup_server_message_set_status(m_Message, SOUP_STATUS_OK, nullptr);
  soup_server_message_unpause(m_Message);
}

bool DeferredAnswer::isClosedByCaller() const {
  GSocket *Socket =
      m_Finished ? nullptr : soup_server_message_get_socket(m_Message);
  return Socket == nullptr || isClosedByPeer(Socket);
}

void DeferredAnswer::onFinished(SoupServerMessage *, void *Self) {
  auto *Owner = static_cast<DeferredAnswer *>(Self);
  Owner->m_Finished = true;
  Owner->handleClosed();
}

void DeferredAnswer::onWrote(SoupServerMessage *, unsigned Size, void *Self) {
  auto *Owner = static_cast<DeferredAnswer *>(Self);
  Owner->m_Backlog -= std::min<std::size_t>(Size, Owner->m_Backlog);
  if (Owner->m_OnDrained)
    Owner->m_OnDrained();
}

void DeferredAnswer::socketReady(SocketEvents Events) {
  if (Events.m_HungUp) {
    handleClosed();
    return;
  }
  char Byte = 0;
  GSocket *Socket = soup_server_message_get_socket(m_Message);
  const ssize_t Received =
      recv(g_socket_get_fd(Socket), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return;
  if (Received > 0) // Next request on a keep-alive connection.
    m_Watch->setEvents({.m_HungUp = true});
  else
    handleClosed();
}

void DeferredAnswer::handleClosed() {
  m_Watch.reset();
  if (!m_Open)
    return;
  closeConnection();
  const std::function<void()> Job = std::move(m_OnClosed);
  m_OnClosed = nullptr;
  if (Job)
    Job();
}

} // namespace crowstep
