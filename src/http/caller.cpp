/// Callers behind libsoup's server.
#include "http/caller.h"

#include "core/http_server.h"
#include "http/connection_sockets.h"
#include "http/refusal_answer.h"

#include <algorithm>
#include <glib-unix.h>
#include <poll.h>
#include <sys/socket.h>

namespace crowstep {

CallerAnswer refusalAnswer(RefusalReason Reason, RunState State,
                           Duration RetryAfter) {
  CallerAnswer Result;
  Result.m_Status = httpStatusOf(Reason);
  Result.m_State = State;
  Result.m_Body = errorBody(Reason);
  Result.m_RetryAfter = RetryAfter;
  return Result;
}

namespace {

/// The peer has closed its sending side. Seen also while bytes of a further
/// request lie unread before the close, which a read would not get past.
constexpr auto PeerClosed =
    static_cast<GIOCondition>(POLLRDHUP | G_IO_HUP | G_IO_ERR);
constexpr auto ReadableOrClosed =
    static_cast<GIOCondition>(PeerClosed | G_IO_IN);

void fillHead(SoupServerMessage *Message, const CallerAnswer &What) {
  soup_server_message_set_status(Message, What.m_Status, nullptr);
  SoupMessageHeaders *Headers =
      soup_server_message_get_response_headers(Message);
  soup_message_headers_replace(Headers, "Crowstep-Run",
                               std::string(nameOf(What.m_State)).c_str());
  if (What.m_RetryAfter > Duration::zero())
    soup_message_headers_replace(
        Headers, "Retry-After",
        std::to_string(retryAfterSeconds(What.m_RetryAfter)).c_str());
  for (const HeaderField &Field : What.m_Headers)
    soup_message_headers_append(Headers, Field.m_Name.c_str(),
                                Field.m_Value.c_str());
}

} // namespace

void fillAnswer(SoupServerMessage *Message, const CallerAnswer &What) {
  fillHead(Message, What);
  respond(Message, What.m_Status, What.m_ContentType, What.m_Body);
}

HttpServerCaller::HttpServerCaller(SoupServerMessage *Message)
    : m_Message(SOUP_SERVER_MESSAGE(g_object_ref(Message))) {
  soup_server_message_pause(m_Message);
  g_signal_connect(m_Message, "finished", G_CALLBACK(onFinished), this);
  g_signal_connect(m_Message, "wrote-body-data", G_CALLBACK(onWrote), this);
  watch(ReadableOrClosed);
}

HttpServerCaller::~HttpServerCaller() {
  drop();
  stopWatching();
  g_signal_handlers_disconnect_by_data(m_Message, this);
  g_object_unref(m_Message);
}

void HttpServerCaller::answer(const CallerAnswer &What) {
  if (!m_Open)
    return;
  m_Open = false;
  stopWatching();
  fillAnswer(m_Message, What);
  soup_server_message_unpause(m_Message);
}

void HttpServerCaller::beginStream(const CallerAnswer &Head) {
  if (!m_Open || m_Streaming)
    return;
  m_Streaming = true;
  fillHead(m_Message, Head);
  SoupMessageHeaders *Headers =
      soup_server_message_get_response_headers(m_Message);
  soup_message_headers_set_encoding(Headers, SOUP_ENCODING_CHUNKED);
  soup_message_headers_replace(Headers, "Content-Type",
                               Head.m_ContentType.c_str());
  soup_message_headers_replace(Headers, "Cache-Control", "no-cache");
  // Chunks that are written are thrown away; libsoup would keep them all.
  soup_message_body_set_accumulate(
      soup_server_message_get_response_body(m_Message), 0);
  soup_server_message_unpause(m_Message);
}

void HttpServerCaller::append(const std::string &Bytes) {
  if (!m_Open || !m_Streaming || Bytes.empty())
    return;
  m_Backlog += Bytes.size();
  soup_message_body_append(soup_server_message_get_response_body(m_Message),
                           SOUP_MEMORY_COPY, Bytes.data(), Bytes.size());
  soup_server_message_unpause(m_Message);
}

void HttpServerCaller::endStream() {
  if (!m_Open || !m_Streaming)
    return;
  m_Open = false;
  stopWatching();
  soup_message_body_complete(soup_server_message_get_response_body(m_Message));
  soup_server_message_unpause(m_Message);
}

void HttpServerCaller::drop() {
  if (!m_Open)
    return;
  m_Open = false;
  stopWatching();
  if (m_Finished) // libsoup has let go of the connection.
    return;
  if (GSocket *Socket = soup_server_message_get_socket(m_Message))
    g_socket_shutdown(Socket, 1, 1, nullptr);
  // The next write fails, and libsoup then frees the connection.
  if (m_Streaming)
    soup_message_body_complete(
        soup_server_message_get_response_body(m_Message));
  else
    soup_server_message_set_status(m_Message, SOUP_STATUS_OK, nullptr);
  soup_server_message_unpause(m_Message);
}

void HttpServerCaller::onGone(std::function<void()> Job) {
  m_Gone = std::move(Job);
}

void HttpServerCaller::onDrained(std::function<void()> Job) {
  m_Drained = std::move(Job);
}

void HttpServerCaller::watch(GIOCondition What) {
  GSocket *Socket = soup_server_message_get_socket(m_Message);
  if (Socket == nullptr)
    return;
  // libsoup reads nothing while an answer is awaited: without this a caller
  // that went would keep its place in the queue and its slot to the end.
  m_Watch = g_unix_fd_source_new(g_socket_get_fd(Socket), What);
  g_source_set_callback(
      m_Watch,
      reinterpret_cast<GSourceFunc>(reinterpret_cast<void (*)()>(onSocket)),
      this, nullptr);
  g_source_attach(m_Watch, nullptr);
}

bool HttpServerCaller::hasLeft() const {
  GSocket *Socket =
      m_Finished ? nullptr : soup_server_message_get_socket(m_Message);
  return Socket == nullptr || closedByPeer(Socket);
}

void HttpServerCaller::stopWatching() {
  if (m_Watch == nullptr)
    return;
  g_source_destroy(m_Watch);
  g_source_unref(m_Watch);
  m_Watch = nullptr;
}

void HttpServerCaller::onFinished(SoupServerMessage *, void *Self) {
  auto *Owner = static_cast<HttpServerCaller *>(Self);
  Owner->m_Finished = true;
  Owner->gone();
}

void HttpServerCaller::onWrote(SoupServerMessage *, unsigned Size, void *Self) {
  auto *Owner = static_cast<HttpServerCaller *>(Self);
  Owner->m_Backlog -= std::min<std::size_t>(Size, Owner->m_Backlog);
  if (Owner->m_Drained)
    Owner->m_Drained();
}

int HttpServerCaller::onSocket(int Socket, GIOCondition What, void *Self) {
  auto *Owner = static_cast<HttpServerCaller *>(Self);
  if ((What & PeerClosed) != 0) {
    Owner->gone();
    return G_SOURCE_REMOVE;
  }
  char Byte = 0;
  const auto Seen = recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Seen < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return G_SOURCE_CONTINUE;
  if (Seen > 0) { // The next request of a connection that is kept alive.
    Owner->stopWatching();
    Owner->watch(PeerClosed);
    return G_SOURCE_REMOVE;
  }
  Owner->gone();
  return G_SOURCE_REMOVE;
}

void HttpServerCaller::gone() {
  stopWatching();
  if (!m_Open)
    return;
  drop();
  const std::function<void()> Job = std::move(m_Gone);
  m_Gone = nullptr;
  if (Job)
    Job();
}

} // namespace crowstep
