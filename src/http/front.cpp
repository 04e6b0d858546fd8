/// The HTTP side towards callers.
#include "http/front.h"

#include "http/caller.h"
#include "http/header_list.h"
#include "http/refusal_answer.h"

#include <algorithm>
#include <string_view>

namespace crowstep {

namespace {

/// Returns the length of the longest value among all headers.
std::size_t longestHeader(SoupServerMessage *Message) {
  SoupMessageHeadersIter Next;
  soup_message_headers_iter_init(
      &Next, soup_server_message_get_request_headers(Message));
  const char *Name = nullptr;
  const char *Value = nullptr;
  std::size_t Longest = 0;
  while (soup_message_headers_iter_next(&Next, &Name, &Value) != 0)
    Longest = std::max(Longest, std::string_view(Value).size());
  return Longest;
}

/// Returns whether two readers could disagree about where the body ends. What
/// one takes for the body's rest the other takes for a further request, and a
/// caller could hide a request of another workspace there.
bool framingIsAmbiguous(SoupServerMessage *Message) {
  const HeaderList Headers =
      copyHeaders(soup_server_message_get_request_headers(Message));
  const std::string *Length = findHeader(Headers, "Content-Length");
  const std::string *Coding = findHeader(Headers, "Transfer-Encoding");
  if (Coding != nullptr)
    return Length != nullptr || !sameHeader(*Coding, "chunked") ||
           countHeaders(Headers, "Transfer-Encoding") > 1;
  if (Length == nullptr)
    return false;
  return countHeaders(Headers, "Content-Length") > 1 || Length->empty() ||
         Length->find_first_not_of("0123456789") != std::string::npos;
}

void closeConnection(SoupServerMessage *Message) {
  if (GSocket *Socket = soup_server_message_get_socket(Message))
    g_socket_shutdown(Socket, 1, 1, nullptr);
}

/// Writes a refusal past libsoup, which answers only what has arrived whole.
void writeRefusal(SoupServerMessage *Message, RefusalReason Reason) {
  GSocket *Socket = soup_server_message_get_socket(Message);
  if (Socket == nullptr)
    return;
  const std::string Body = errorBody(Reason);
  const std::string Text =
      "HTTP/1.1 " + std::to_string(httpStatusOf(Reason)) +
      " Refused\r\nContent-Type: application/json\r\nCrowstep-Run: not-run\r\n"
      "Connection: close\r\nContent-Length: " +
      std::to_string(Body.size()) + "\r\n\r\n" + Body;
  g_socket_send(Socket, Text.data(), Text.size(), nullptr, nullptr);
}

} // namespace

Front::Front(const ArrivalLimits &Limits, RefusedHandler OnRefused,
             Scheduler &Timers)
    : m_Limits(Limits), m_OnRefused(std::move(OnRefused)), m_Timers(Timers) {}

Front::~Front() {
  if (m_Server.native() != nullptr)
    g_signal_handlers_disconnect_by_data(m_Server.native(), this);
  for (const auto &[Message, Each] : m_Arrivals)
    g_signal_handlers_disconnect_by_data(Message, this);
}

void Front::listen(const Address &Where, Handler OnRequest) {
  m_Handler = std::move(OnRequest);
  m_Server.listen(Where, [this](SoupServerMessage *Message, const char *) {
    handle(Message);
  });
  g_signal_connect(m_Server.native(), "request-started", G_CALLBACK(onStarted),
                   this);
}

void Front::onStarted(SoupServer *, SoupServerMessage *Message, void *Self) {
  auto *Owner = static_cast<Front *>(Self);
  g_signal_connect(Message, "got-headers", G_CALLBACK(onHeaders), Self);
  g_signal_connect(Message, "got-chunk", G_CALLBACK(onChunk), Self);
  g_signal_connect(Message, "got-body", G_CALLBACK(onArrived), Self);
  g_signal_connect(Message, "finished", G_CALLBACK(onFinished), Self);
  // A connection that closes before a request has no "finished".
  g_signal_connect(Message, "disconnected", G_CALLBACK(onFinished), Self);
  Arrival &Fresh = Owner->m_Arrivals[Message];
  if (GSocket *Socket = soup_server_message_get_socket(Message)) {
    Owner->m_Idle.erase(Socket);
    Fresh.m_Socket.reset(G_SOCKET(g_object_ref(Socket)));
  }
  Fresh.m_Limit = std::make_unique<Timer>(Owner->m_Timers);
  Fresh.m_Limit->start(Owner->m_Limits.m_IdleLimit,
                       [Message] { closeConnection(Message); });
}

void Front::onHeaders(SoupServerMessage *Message, void *Self) {
  auto *Owner = static_cast<Front *>(Self);
  Arrival &Each = Owner->m_Arrivals[Message];
  if (Each.m_Limit != nullptr)
    Each.m_Limit->start(Owner->m_Limits.m_ReceiveLimit,
                        [Owner, Message] { Owner->slow(Message); });
  if (framingIsAmbiguous(Message)) {
    Owner->refuse(Message, RefusalReason::AmbiguousFraming);
    return;
  }
  if (longestHeader(Message) > Owner->m_Limits.m_MaxHeader) {
    Owner->refuse(Message, RefusalReason::HeaderTooLarge);
    return;
  }
  const goffset Length = soup_message_headers_get_content_length(
      soup_server_message_get_request_headers(Message));
  if (Length > static_cast<goffset>(Owner->m_Limits.m_MaxBody))
    Owner->refuse(Message, RefusalReason::BodyTooLarge);
}

void Front::onChunk(SoupServerMessage *Message, GBytes *Chunk, void *Self) {
  auto *Owner = static_cast<Front *>(Self);
  Arrival &Each = Owner->m_Arrivals[Message];
  Each.m_Size += g_bytes_get_size(Chunk);
  // A body without a length is found out while it comes.
  if (Each.m_Size > Owner->m_Limits.m_MaxBody &&
      soup_server_message_get_status(Message) == 0)
    Owner->refuse(Message, RefusalReason::BodyTooLarge);
}

void Front::onArrived(SoupServerMessage *Message, void *Self) {
  auto *Owner = static_cast<Front *>(Self);
  const auto Found = Owner->m_Arrivals.find(Message);
  if (Found != Owner->m_Arrivals.end())
    Found->second.m_Limit.reset();
}

void Front::onFinished(SoupServerMessage *Message, void *Self) {
  auto *Owner = static_cast<Front *>(Self);
  const auto Found = Owner->m_Arrivals.find(Message);
  if (Found == Owner->m_Arrivals.end())
    return;
  SocketPtr Socket = std::move(Found->second.m_Socket);
  Owner->m_Arrivals.erase(Found);
  if (Socket != nullptr && g_socket_is_closed(Socket.get()) == 0)
    Owner->becameIdle(std::move(Socket));
}

void Front::becameIdle(SocketPtr Socket) {
  std::erase_if(m_Idle, [](const auto &Each) {
    return g_socket_is_closed(Each.first) != 0;
  });
  GSocket *Key = Socket.get();
  IdleConnection &Fresh = m_Idle[Key];
  Fresh.m_Socket = std::move(Socket);
  Fresh.m_Limit = std::make_unique<Timer>(m_Timers);
  Fresh.m_Limit->start(m_Limits.m_IdleLimit,
                       [Key] { g_socket_shutdown(Key, 1, 1, nullptr); });
}

void Front::slow(SoupServerMessage *Message) {
  m_OnRefused(RefusalReason::SlowCaller);
  writeRefusal(Message, RefusalReason::SlowCaller);
  closeConnection(Message);
}

void Front::refuse(SoupServerMessage *Message, RefusalReason Reason) {
  m_OnRefused(Reason);
  // libsoup answers only once the body has arrived, so a caller with a large
  // body would send all of it first. The rest is read and thrown away: closing
  // at once would reset the connection before the caller reads the refusal.
  writeRefusal(Message, Reason);
  if (GSocket *Socket = soup_server_message_get_socket(Message))
    g_socket_shutdown(Socket, 0, 1, nullptr);
  soup_message_body_set_accumulate(
      soup_server_message_get_request_body(Message), 0);
  soup_server_message_set_status(Message, httpStatusOf(Reason), nullptr);
  Arrival &Each = m_Arrivals[Message];
  if (Each.m_Limit != nullptr)
    Each.m_Limit->start(m_Limits.m_ReceiveLimit,
                        [Message] { closeConnection(Message); });
}

void Front::handle(SoupServerMessage *Message) {
  if (soup_server_message_get_status(Message) != 0)
    return; // Refused before it arrived whole.
  ++m_Unfinished;
  g_signal_connect(Message, "finished",
                   G_CALLBACK(+[](SoupServerMessage *, void *Self) {
                     --static_cast<Front *>(Self)->m_Unfinished;
                   }),
                   this);
  m_Handler(Message);
}

void Front::closeIdle() {
  for (const auto &[Socket, Each] : m_Idle)
    if (g_socket_is_closed(Socket) == 0)
      g_socket_shutdown(Socket, 1, 1, nullptr);
  m_Idle.clear();
}

} // namespace crowstep
