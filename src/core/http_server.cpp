/// HTTP server wrapper.
#include "core/http_server.h"

#include "core/acceptor.h"
#include "core/log.h"

#include <algorithm>
#include <list>

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

namespace {

struct ObjectDeleter {
  void operator()(gpointer Owned) const { g_object_unref(Owned); }
};
template <typename Object>
using ObjectPtr = std::unique_ptr<Object, ObjectDeleter>;

/// A connection that was passed to libsoup, which alone keeps it open.
class OpenStream {
public:
  explicit OpenStream(GSocketConnection *Stream) {
    g_weak_ref_init(&m_Stream, Stream);
  }
  ~OpenStream() { g_weak_ref_clear(&m_Stream); }
  OpenStream(const OpenStream &) = delete;
  OpenStream &operator=(const OpenStream &) = delete;

  [[nodiscard]] bool isOpen() { return stream() != nullptr; }

  /// Shuts down both directions; libsoup then drops the connection and what it
  /// has received.
  void close() {
    if (const auto Stream = stream())
      g_socket_shutdown(g_socket_connection_get_socket(Stream.get()), 1, 1,
                        nullptr);
  }

private:
  [[nodiscard]] ObjectPtr<GSocketConnection> stream() {
    return ObjectPtr<GSocketConnection>(
        static_cast<GSocketConnection *>(g_weak_ref_get(&m_Stream)));
  }

  GWeakRef m_Stream; ///< Null once libsoup has dropped it.
};

constexpr const char *ShareKey = "crowstep-body-share";

} // namespace

struct HttpServer::LimitState {
  LimitState(const HttpLimits &Limits, Metrics &Stats)
      : m_Limits(Limits),
        m_Refused(Stats.counter("crowstep_http_bodies_refused_total")),
        m_Closed(Stats.counter("crowstep_http_connections_closed_total")) {}

  HttpLimits m_Limits;
  Counter &m_Refused; ///< Requests with too long bodies, or without room.
  Counter &m_Closed;  ///< Connections that yielded to others.
  LoopScheduler m_Timers;
  Acceptor m_Acceptor{m_Timers};
  std::list<OpenStream> m_Streams; ///< In the order of their accept.
  std::shared_ptr<std::size_t> m_BodyBytes =
      std::make_shared<std::size_t>(0); ///< Of all requests.
};

/// What the body of one message counts; given back with the message.
class HttpServer::BodyShare {
public:
  explicit BodyShare(std::shared_ptr<std::size_t> Total)
      : m_Total(std::move(Total)) {}
  ~BodyShare() { *m_Total -= m_Bytes; }
  BodyShare(const BodyShare &) = delete;
  BodyShare &operator=(const BodyShare &) = delete;

  void add(std::size_t Bytes) {
    m_Bytes += Bytes;
    *m_Total += Bytes;
  }
  void release() {
    *m_Total -= m_Bytes;
    m_Bytes = 0;
    m_IsRefused = true;
  }
  [[nodiscard]] std::size_t bytes() const { return m_Bytes; }
  [[nodiscard]] bool isRefused() const { return m_IsRefused; }

private:
  std::shared_ptr<std::size_t> m_Total; ///< Of all messages.
  std::size_t m_Bytes = 0;              ///< Counted in m_Total.
  bool m_IsRefused = false;             ///< The body is discarded.
};

HttpServer::HttpServer() = default;

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
  m_Server = soup_server_new("server-header", "crowstep", nullptr);
  soup_server_add_handler(
      m_Server, nullptr,
      [](SoupServer *, SoupServerMessage *Message, const char *Path,
         GHashTable *, gpointer Self) {
        static_cast<HttpServer *>(Self)->m_Handler(Message, Path);
      },
      this, nullptr);
  if (m_Limits != nullptr) {
    listenWithLimits(BindAddress);
    return;
  }
  GSocket *Socket = openListeningSocket(BindAddress);
  GError *Failure = nullptr;
  const bool Listening =
      soup_server_listen_socket(m_Server, Socket,
                                static_cast<SoupServerListenOptions>(0),
                                &Failure) != 0;
  g_object_unref(Socket);
  if (!Listening)
    throwListenError(BindAddress, Failure);
}

// ---- Limits -----------------------------------------------------------------

void HttpServer::setLimits(const HttpLimits &Limits, Metrics &Stats) {
  m_Limits = std::make_unique<LimitState>(Limits, Stats);
}

void HttpServer::listenWithLimits(const Address &BindAddress) {
  const auto Started =
      +[](SoupServer *, SoupServerMessage *Message, gpointer Self) {
        static_cast<HttpServer *>(Self)->startRequest(Message);
      };
  g_signal_connect(m_Server, "request-started", G_CALLBACK(Started), this);
  m_Limits->m_Acceptor.listen(BindAddress, [this](SocketPtr Accepted) {
    return accept(std::move(Accepted));
  });
}

bool HttpServer::accept(SocketPtr Accepted) {
  std::list<OpenStream> &Streams = m_Limits->m_Streams;
  std::erase_if(Streams, [](OpenStream &Entry) { return !Entry.isOpen(); });
  if (Streams.size() >= m_Limits->m_Limits.m_Connections)
    closeOldest();
  const ObjectPtr<GSocketAddress> Local(
      g_socket_get_local_address(Accepted.get(), nullptr));
  const ObjectPtr<GSocketAddress> Remote(
      g_socket_get_remote_address(Accepted.get(), nullptr));
  if (Local == nullptr || Remote == nullptr)
    return false; // The client has closed the connection already.
  const ObjectPtr<GSocketConnection> Stream(
      g_socket_connection_factory_create_connection(Accepted.get()));
  const bool IsServed =
      soup_server_accept_iostream(m_Server, G_IO_STREAM(Stream.get()),
                                  Local.get(), Remote.get(), nullptr) != 0;
  if (IsServed)
    Streams.emplace_back(Stream.get());
  return IsServed;
}

/// The newest connections are likely those of a client that waits for an
/// answer.
void HttpServer::closeOldest() {
  std::list<OpenStream> &Streams = m_Limits->m_Streams;
  if (Streams.empty())
    return;
  Streams.front().close();
  Streams.pop_front();
  m_Limits->m_Closed.add();
  logEvent(LogEvent::HttpConnectionYielded,
           {{"open", std::to_string(Streams.size())}});
}

void HttpServer::startRequest(SoupServerMessage *Message) {
  const auto DeleteShare =
      +[](gpointer Share) { delete static_cast<BodyShare *>(Share); };
  g_object_set_data_full(G_OBJECT(Message), ShareKey,
                         new BodyShare(m_Limits->m_BodyBytes), DeleteShare);
  const auto GotHeaders = +[](SoupServerMessage *Ready, gpointer Self) {
    SoupMessageHeaders *Headers =
        soup_server_message_get_request_headers(Ready);
    const goffset Length = soup_message_headers_get_content_length(Headers);
    if (Length > 0)
      static_cast<HttpServer *>(Self)->countBody(
          Ready, static_cast<std::size_t>(Length));
  };
  const auto GotChunk = +[](SoupServerMessage *Part, GBytes *Bytes,
                            gpointer Self) {
    SoupMessageHeaders *Headers = soup_server_message_get_request_headers(Part);
    if (soup_message_headers_get_encoding(Headers) == SOUP_ENCODING_CHUNKED)
      static_cast<HttpServer *>(Self)->countBody(Part, g_bytes_get_size(Bytes));
  };
  g_signal_connect(Message, "got-headers", G_CALLBACK(GotHeaders), this);
  g_signal_connect(Message, "got-chunk", G_CALLBACK(GotChunk), this);
}

/// A body that is refused is read and discarded, so that its client gets the
/// answer.
void HttpServer::countBody(SoupServerMessage *Message, std::size_t MoreBytes) {
  auto &Share =
      *static_cast<BodyShare *>(g_object_get_data(G_OBJECT(Message), ShareKey));
  if (Share.isRefused())
    return;
  Share.add(MoreBytes);
  constexpr unsigned HttpTooLarge = 413;
  constexpr unsigned HttpUnavailable = 503;
  const HttpLimits &Limits = m_Limits->m_Limits;
  const bool IsTooLong = Share.bytes() > Limits.m_BodyBytes;
  if (!IsTooLong && *m_Limits->m_BodyBytes <= Limits.m_TotalBodyBytes)
    return;
  if (!IsTooLong)
    closeOldest();
  SoupMessageBody *Body = soup_server_message_get_request_body(Message);
  soup_message_body_set_accumulate(Body, FALSE);
  soup_message_body_truncate(Body);
  Share.release();
  m_Limits->m_Refused.add();
  respond(Message, IsTooLong ? HttpTooLarge : HttpUnavailable, "text/plain",
          IsTooLong ? "the body is too long\n" : "no memory\n");
}

// ---- Requests ---------------------------------------------------------------

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
  if (m_Limits != nullptr) {
    m_Limits->m_Acceptor.stop();
    return;
  }
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
