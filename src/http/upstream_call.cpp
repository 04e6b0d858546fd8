/// Upstream calls over libsoup.
#include "http/upstream_call.h"

#include "http/http_error.h"
#include "http/keep_alive.h"

#include <array>
#include <gio/gio.h>
#include <libsoup/soup.h>

namespace crowstep {

namespace {

constexpr std::size_t ReadSize = 8192;

/// What ends a chunked body, alone or after the end of a chunk.
constexpr std::string_view LastChunk = "0\r\n\r\n";
constexpr std::string_view ChunkEnd = "\r\n";

/// Bytes that are remembered of what was looked at before, so that a last chunk
/// that arrives in pieces is recognised.
constexpr std::size_t TailSize = ChunkEnd.size() + LastChunk.size();

bool endsWithLastChunk(std::string_view Bytes) {
  if (!Bytes.ends_with(LastChunk))
    return false;
  Bytes.remove_suffix(LastChunk.size());
  return Bytes.empty() || Bytes.ends_with(ChunkEnd);
}

/// What outlives the handle until libsoup's last callback has run.
struct Transfer {
  const Clock &m_Clock;                   ///< Outlives it.
  UpstreamListener *m_Listener;           ///< Null once the handle is gone.
  TimePoint m_SendBefore;                 ///< Last check.
  std::function<bool()> m_Wanted;         ///< Last check as well.
  SessionPool::Place m_Place;             ///< Its session.
  SoupMessage *m_Message = nullptr;       ///< Owned.
  ConnectionSockets *m_Sockets = nullptr; ///< Of the caller; see end().
  SocketPtr m_Socket;                     ///< Of its connection; may be null.
  goffset m_Received = 0;                 ///< Bytes of the body so far.
  bool m_SawLastChunk = false;            ///< See look().
  std::string m_Tail;                     ///< Last bytes looked at.
  GSource *m_Look = nullptr;              ///< Owned; null while not attached.
  GCancellable *m_Cancel = nullptr;       ///< Owned.
  GInputStream *m_Stream = nullptr;       ///< Owned; null before the headers.
  bool m_Started = false;                 ///< A byte may have been sent.
  bool m_TooOld = false;                  ///< The last check stopped it.
  bool m_Reading = false;                 ///< A read is under way.
  bool m_Paused = false;                  ///< The caller reads slowly.
  bool m_Waiting = true;                 ///< The headers' callback is not over.
  bool m_HasHandle = true;               ///< The UpstreamCall lives.
  TimePoint m_LastByte;                  ///< For the silence limit.
  std::array<char, ReadSize> m_Buffer{}; ///< Of the read under way.

  Transfer(const Clock &Time, UpstreamListener &Listener)
      : m_Clock(Time), m_Listener(&Listener) {}
  ~Transfer() {
    stopLooking();
    if (m_Stream != nullptr)
      g_object_unref(m_Stream);
    g_signal_handlers_disconnect_by_data(m_Message, this);
    g_object_unref(m_Message);
    g_object_unref(m_Cancel);
  }
  Transfer(const Transfer &) = delete;
  Transfer &operator=(const Transfer &) = delete;

  /// Without the handle the clock may be gone as well.
  void byteCame() {
    if (m_HasHandle)
      m_LastByte = m_Clock.now();
  }

  void end(TransportEnd How) {
    if (m_Listener == nullptr)
      return;
    UpstreamListener *Told = m_Listener;
    m_Listener = nullptr;
    Told->upstreamEnded(How);
  }

  void fail() {
    if (m_TooOld)
      end(TransportEnd::TooOld);
    else
      end(m_Started ? TransportEnd::Broken : TransportEnd::NotSent);
  }

  void read();
  void noteSocket();
  void look();
  void lookWhenReadable();
  void stopLooking();
  [[nodiscard]] bool whole() const;
};

/// Frees \p Held when neither a callback nor a handle needs it any more.
void drop(Transfer *Held) {
  if (!Held->m_HasHandle && !Held->m_Waiting && !Held->m_Reading)
    delete Held;
}

/// Runs after the connection is made and before the first byte is written: the
/// last step at which a call can still be kept back. What remains is a freeze
/// between this check and the write; the claim, which is never stolen, keeps
/// such a call at most once.
void onStarting(SoupMessage *, gpointer Data) {
  auto *Held = static_cast<Transfer *>(Data);
  if (Held->m_Started) {
    // libsoup sends a call again by itself where a kept connection broke
    // before an answer. Unseen by the caller of this class, that would draw on
    // no retry budget and could reach an upstream that has begun to leave.
    g_cancellable_cancel(Held->m_Cancel);
    return;
  }
  if (!Held->m_HasHandle || Held->m_Clock.fresh() >= Held->m_SendBefore ||
      (Held->m_Wanted && !Held->m_Wanted())) {
    Held->m_TooOld = true;
    g_cancellable_cancel(Held->m_Cancel);
    return;
  }
  Held->m_Started = true;
  Held->noteSocket();
}

/// Whether the body that just ended came whole. libsoup takes the close of a
/// connection for the end of the body, also short of the length that the
/// headers state or between two chunks: a caller would get half an answer as a
/// whole one. The length is counted here. Of chunks the connection tells: an
/// upstream that has sent the last one leaves it open, unless it closes its
/// connections; then the last chunk was seen on the connection before libsoup
/// took it.
bool Transfer::whole() const {
  SoupMessageHeaders *Headers = soup_message_get_response_headers(m_Message);
  switch (soup_message_headers_get_encoding(Headers)) {
  case SOUP_ENCODING_CONTENT_LENGTH:
    return m_Received == soup_message_headers_get_content_length(Headers);
  case SOUP_ENCODING_CHUNKED:
    return m_Socket == nullptr || !closedByPeer(m_Socket.get()) ||
           m_SawLastChunk;
  default:
    return true;
  }
}

void onNetworkEvent(SoupMessage *, GSocketClientEvent Event, GIOStream *Stream,
                    gpointer Data) {
  auto *Held = static_cast<Transfer *>(Data);
  if (Event == G_SOCKET_CLIENT_CONNECTED && G_IS_SOCKET_CONNECTION(Stream))
    Held->m_Socket.reset(G_SOCKET(g_object_ref(
        g_socket_connection_get_socket(G_SOCKET_CONNECTION(Stream)))));
}

/// Finds the socket of a kept connection, or remembers that of a fresh one.
void Transfer::noteSocket() {
  if (!m_HasHandle)
    return;
  const ConnectionSockets::Key Key = {
      m_Place.session(), soup_message_get_connection_id(m_Message)};
  if (m_Socket != nullptr)
    m_Sockets->add(Key, m_Socket.get());
  else
    m_Socket = m_Sockets->find(Key);
}

/// Looks whether the last chunk stands at the end of what waits to be read.
void Transfer::look() {
  const std::string Waiting = waitingBytes(m_Socket.get(), ReadSize);
  if (Waiting.empty())
    return;
  m_Tail += Waiting;
  m_SawLastChunk = endsWithLastChunk(Waiting) || endsWithLastChunk(m_Tail);
  if (m_Tail.size() > TailSize)
    m_Tail.erase(0, m_Tail.size() - TailSize);
}

gboolean onReadable(GSocket *, GIOCondition, gpointer Data) {
  auto *Held = static_cast<Transfer *>(Data);
  Held->look();
  Held->stopLooking();
  // libsoup reads until it has the whole head; the body's reads look anew.
  if (soup_message_get_status(Held->m_Message) == SOUP_STATUS_NONE)
    Held->lookWhenReadable();
  return G_SOURCE_REMOVE;
}

/// Attached before libsoup's own source of the same priority, this one runs
/// first in the iteration in which bytes have come.
void Transfer::lookWhenReadable() {
  m_Look = g_socket_create_source(m_Socket.get(), G_IO_IN, nullptr);
  g_source_set_callback(m_Look, G_SOURCE_FUNC(onReadable), this, nullptr);
  g_source_attach(m_Look, nullptr);
}

void Transfer::stopLooking() {
  if (m_Look == nullptr)
    return;
  g_source_destroy(m_Look);
  g_source_unref(m_Look);
  m_Look = nullptr;
}

/// libsoup takes what follows the head with it, to the end of a short body.
void onRequestWritten(SoupMessage *, gpointer Data) {
  auto *Held = static_cast<Transfer *>(Data);
  if (Held->m_Socket == nullptr)
    return;
  Held->look();
  Held->stopLooking();
  Held->lookWhenReadable();
}

void onRead(GObject *Stream, GAsyncResult *Outcome, gpointer Data) {
  auto *Held = static_cast<Transfer *>(Data);
  const gssize Size =
      g_input_stream_read_finish(G_INPUT_STREAM(Stream), Outcome, nullptr);
  Held->byteCame();
  if (Size < 0)
    Held->fail();
  else if (Size == 0)
    Held->end(Held->whole() ? TransportEnd::Complete : TransportEnd::Broken);
  else if (Held->m_Listener != nullptr) {
    Held->m_Received += Size;
    Held->m_Listener->upstreamBytes(
        {Held->m_Buffer.data(), static_cast<std::size_t>(Size)});
  }
  // Only now: the listener may have destroyed the handle.
  Held->m_Reading = false;
  Held->read();
  drop(Held);
}

void Transfer::read() {
  if (m_Reading || m_Paused || m_Stream == nullptr || m_Listener == nullptr)
    return;
  m_Reading = true;
  stopLooking();
  if (m_Socket != nullptr &&
      soup_message_headers_get_encoding(soup_message_get_response_headers(
          m_Message)) == SOUP_ENCODING_CHUNKED) {
    look();
    lookWhenReadable();
  }
  g_input_stream_read_async(m_Stream, m_Buffer.data(), m_Buffer.size(),
                            G_PRIORITY_DEFAULT, m_Cancel, onRead, this);
}

void onHeaders(GObject *Session, GAsyncResult *Outcome, gpointer Data) {
  auto *Held = static_cast<Transfer *>(Data);
  Held->m_Stream =
      soup_session_send_finish(SOUP_SESSION(Session), Outcome, nullptr);
  Held->byteCame();
  if (Held->m_Stream == nullptr) {
    Held->fail();
  } else if (Held->m_Listener != nullptr) {
    Held->m_Listener->upstreamHeaders(
        soup_message_get_status(Held->m_Message),
        copyHeaders(soup_message_get_response_headers(Held->m_Message)));
  }
  Held->m_Waiting = false;
  Held->read();
  drop(Held);
}

class HttpUpstreamCall final : public UpstreamCall {
public:
  HttpUpstreamCall(Transfer *Held, Scheduler &Timers, const UpstreamSend &What)
      : m_Transfer(Held), m_Silence(Timers), m_Connect(Timers),
        m_SilenceLimit(What.m_SilenceLimit) {
    watchSilence(What.m_SilenceLimit);
    watchConnecting(What.m_ConnectLimit);
  }
  ~HttpUpstreamCall() override {
    m_Transfer->m_Listener = nullptr;
    m_Transfer->m_HasHandle = false;
    if (m_Transfer->m_Waiting || m_Transfer->m_Reading)
      g_cancellable_cancel(m_Transfer->m_Cancel);
    else
      drop(m_Transfer);
  }
  HttpUpstreamCall(const HttpUpstreamCall &) = delete;
  HttpUpstreamCall &operator=(const HttpUpstreamCall &) = delete;

  void pauseReading() override { m_Transfer->m_Paused = true; }
  void continueReading() override {
    m_Transfer->m_Paused = false;
    m_Transfer->m_LastByte = m_Transfer->m_Clock.now();
    m_Transfer->read();
  }

private:
  /// A dark machine answers no opening packet; the kernel's own limit is over a
  /// minute, and until then the caller would wait for nothing.
  void watchConnecting(Duration Limit) {
    if (Limit <= Duration::zero())
      return;
    m_Connect.start(Limit, [this] {
      if (!m_Transfer->m_Started)
        g_cancellable_cancel(m_Transfer->m_Cancel);
    });
  }

  /// A hung upstream closes nothing; without a limit its callers would wait
  /// for ever and its slot would stay taken.
  void watchSilence(Duration Wait) {
    if (m_SilenceLimit <= Duration::zero())
      return;
    m_Silence.start(Wait, [this] {
      const Duration Silent =
          m_Transfer->m_Clock.now() - m_Transfer->m_LastByte;
      if (m_Transfer->m_Paused || Silent < m_SilenceLimit)
        watchSilence(m_Transfer->m_Paused ? m_SilenceLimit
                                          : m_SilenceLimit - Silent);
      else
        g_cancellable_cancel(m_Transfer->m_Cancel);
    });
  }

  Transfer *m_Transfer;    ///< Freed after its last callback.
  Timer m_Silence;         ///< For the silence limit.
  Timer m_Connect;         ///< For the connect limit.
  Duration m_SilenceLimit; ///< 0: none.
};

SoupMessage *messageOf(const UpstreamSend &What) {
  const std::string Uri = "http://" + toString(What.m_Where) + What.m_Path;
  SoupMessage *Message = soup_message_new(What.m_Method.c_str(), Uri.c_str());
  if (Message == nullptr)
    throw UpstreamUriError(What.m_Path);
  SoupMessageHeaders *Headers = soup_message_get_request_headers(Message);
  for (const HeaderField &Field : What.m_Headers)
    soup_message_headers_append(Headers, Field.m_Name.c_str(),
                                Field.m_Value.c_str());
  if (!What.m_Body.empty() || What.m_Method != "GET") {
    GBytes *Body = g_bytes_new(What.m_Body.data(), What.m_Body.size());
    soup_message_set_request_body_from_bytes(Message, nullptr, Body);
    g_bytes_unref(Body);
  }
  if (What.m_Repeatable) {
    // Without the flag libsoup opens a connection for every POST.
    soup_message_add_flags(
        Message, static_cast<SoupMessageFlags>(SOUP_MESSAGE_IDEMPOTENT |
                                               SOUP_MESSAGE_NO_REDIRECT));
    return Message;
  }
  // A kept-alive connection that the upstream closes just now would leave the
  // outcome unknown; on a fresh one a failure to connect proves "not sent",
  // and libsoup sends again only what was on a kept one. It is kept afterwards
  // for calls that may be repeated.
  soup_message_add_flags(
      Message, static_cast<SoupMessageFlags>(SOUP_MESSAGE_NEW_CONNECTION |
                                             SOUP_MESSAGE_NO_REDIRECT));
  if (What.m_CloseAfter)
    soup_message_headers_replace(Headers, "Connection", "close");
  return Message;
}

} // namespace

HttpUpstreamCaller::HttpUpstreamCaller(const Clock &Time, Scheduler &Timers)
    : m_Clock(Time), m_Timers(Timers) {}

std::unique_ptr<UpstreamCall>
HttpUpstreamCaller::send(const UpstreamSend &What, UpstreamListener &Listener) {
  auto *Held = new Transfer(m_Clock, Listener);
  Held->m_SendBefore = What.m_SendBefore;
  Held->m_Wanted = What.m_Wanted;
  Held->m_LastByte = m_Clock.now();
  Held->m_Cancel = g_cancellable_new();
  Held->m_Message = messageOf(What);
  probeConnectionOf(Held->m_Message);
  g_signal_connect(Held->m_Message, "network-event", G_CALLBACK(onNetworkEvent),
                   Held);
  g_signal_connect(Held->m_Message, "starting", G_CALLBACK(onStarting), Held);
  g_signal_connect(Held->m_Message, "wrote-body", G_CALLBACK(onRequestWritten),
                   Held);
  Held->m_Place = m_Sessions.take(What.m_Where);
  Held->m_Sockets = &m_Sockets;
  soup_session_send_async(Held->m_Place.session(), Held->m_Message,
                          G_PRIORITY_DEFAULT, Held->m_Cancel, onHeaders, Held);
  return std::make_unique<HttpUpstreamCall>(Held, m_Timers, What);
}

} // namespace crowstep
