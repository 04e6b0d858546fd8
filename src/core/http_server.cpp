/// HTTP server wrapper.
#include "core/http_server.h"

namespace crowstep {

namespace {

/// libsoup's own listen functions use a backlog of 10. A burst of callers then
/// loses SYNs, which are retransmitted only after a second. The kernel caps
/// this value at its own limit.
constexpr int ListenBacklog = 1024;

[[noreturn]] void throwListenError(const Address &BindAddress,
                                   GError *Failure) {
  const std::string Reason = Failure->message;
  g_error_free(Failure);
  throw ListenError(BindAddress, Reason);
}

} // namespace

GSocket *openListeningSocket(const Address &BindAddress) {
  GError *Failure = nullptr;
  GSocket *Socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                 G_SOCKET_PROTOCOL_TCP, &Failure);
  if (Socket == nullptr)
    throwListenError(BindAddress, Failure);
  const std::string Text = toString(BindAddress);
  const std::string Ip = Text.substr(0, Text.rfind(':'));
  GSocketAddress *SocketAddress =
      g_inet_socket_address_new_from_string(Ip.c_str(), BindAddress.m_Port);
  g_socket_set_listen_backlog(Socket, ListenBacklog);
  const bool Bound = g_socket_bind(Socket, SocketAddress, 1, &Failure) != 0 &&
                     g_socket_listen(Socket, &Failure) != 0;
  g_object_unref(SocketAddress);
  if (!Bound) {
    g_object_unref(Socket);
    throwListenError(BindAddress, Failure);
  }
  return Socket;
}

HttpServer::~HttpServer() {
  if (m_Server == nullptr)
    return;
  g_signal_handlers_disconnect_by_data(m_Server, this);
  soup_server_remove_handler(m_Server, nullptr);
  soup_server_disconnect(m_Server);
  g_object_unref(m_Server);
}

void HttpServer::listen(const Address &BindAddress, Handler OnRequest) {
  m_Handler = std::move(OnRequest);
  GSocket *Socket = openListeningSocket(BindAddress);
  m_Server = soup_server_new("server-header", "crowstep", nullptr);
  soup_server_add_handler(
      m_Server, nullptr,
      [](SoupServer *, SoupServerMessage *Message, const char *Path,
         GHashTable *, gpointer Self) {
        static_cast<HttpServer *>(Self)->m_Handler(Message, Path);
      },
      this, nullptr);
  GError *Failure = nullptr;
  const bool Listening =
      soup_server_listen_socket(m_Server, Socket,
                                static_cast<SoupServerListenOptions>(0),
                                &Failure) != 0;
  g_object_unref(Socket);
  if (!Listening)
    throwListenError(BindAddress, Failure);
}

void HttpServer::onHeaders(std::function<void(SoupServerMessage *)> Hook) {
  m_HeadersHook = std::move(Hook);
  const auto Started =
      +[](SoupServer *, SoupServerMessage *Message, gpointer Self) {
        const auto GotHeaders = +[](SoupServerMessage *Ready, gpointer Owner) {
          static_cast<HttpServer *>(Owner)->m_HeadersHook(Ready);
        };
        g_signal_connect(Message, "got-headers", G_CALLBACK(GotHeaders), Self);
      };
  g_signal_connect(m_Server, "request-started", G_CALLBACK(Started), this);
}

void HttpServer::stopListening() {
  GSList *Listeners = soup_server_get_listeners(m_Server);
  for (GSList *Item = Listeners; Item != nullptr; Item = Item->next)
    g_socket_close(static_cast<GSocket *>(Item->data), nullptr);
  g_slist_free(Listeners);
}

void respond(SoupServerMessage *Message, unsigned Status,
             const std::string &ContentType, const std::string &Body) {
  soup_server_message_set_status(Message, Status, nullptr);
  soup_server_message_set_response(Message, ContentType.c_str(),
                                   SOUP_MEMORY_COPY, Body.data(), Body.size());
}

std::string requestHeader(SoupServerMessage *Message, const char *Name) {
  const char *Value = soup_message_headers_get_one(
      soup_server_message_get_request_headers(Message), Name);
  return Value == nullptr ? std::string() : std::string(Value);
}

std::string requestTarget(SoupServerMessage *Message) {
  GUri *Uri = soup_server_message_get_uri(Message);
  std::string Result = g_uri_get_path(Uri);
  if (const char *Query = g_uri_get_query(Uri))
    Result += std::string("?") + Query;
  return Result;
}

std::string requestBody(SoupServerMessage *Message) {
  SoupMessageBody *Body = soup_server_message_get_request_body(Message);
  GBytes *Bytes = soup_message_body_flatten(Body);
  gsize Size = 0;
  const void *Data = g_bytes_get_data(Bytes, &Size);
  std::string Result(static_cast<const char *>(Data), Size);
  g_bytes_unref(Bytes);
  return Result;
}

} // namespace crowstep
