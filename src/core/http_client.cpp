/// Short HTTP calls over libsoup.
#include "core/http_client.h"

#include "http/keep_alive.h"

#include <cstdlib>
#include <glib.h>
#include <libsoup/soup.h>
#include <memory>

namespace crowstep {

namespace {

/// libsoup's defaults (10 and 2) would queue calls out of our sight.
constexpr int MaxConnections = 1024;
constexpr int MaxConnectionsPerHost = 256;

/// One call on its way.
struct Pending {
  HttpCaller::Done m_Done;          ///< Runs once.
  GCancellable *m_Cancel = nullptr; ///< Owned.
  SoupMessage *m_Message = nullptr; ///< Owned.
  guint m_Timer = 0;                ///< 0 once it has run.
  guint m_ConnectTimer = 0;         ///< 0 once it has run, or without a limit.
  bool m_TimedOut = false;          ///< Set by the timer.
  bool m_Connected = false;         ///< A byte may have been sent.
  bool m_Connecting = true;         ///< No connection stands at present.
  Duration m_ConnectLimit{};        ///< 0: none.

  ~Pending() {
    if (m_Timer != 0)
      g_source_remove(m_Timer);
    if (m_ConnectTimer != 0)
      g_source_remove(m_ConnectTimer);
    g_object_unref(m_Cancel);
    g_object_unref(m_Message);
  }
};

HttpFailure failureOf(const Pending &Call) {
  // Without a connection nothing was sent, however the call ended.
  if (!Call.m_Connected)
    return HttpFailure::NotSent;
  return Call.m_TimedOut ? HttpFailure::TimedOut : HttpFailure::NoAnswer;
}

HttpAnswer answerOf(SoupMessage *Message, GBytes *Body) {
  HttpAnswer Result;
  Result.m_Status = soup_message_get_status(Message);
  gsize Size = 0;
  const void *Data = g_bytes_get_data(Body, &Size);
  Result.m_Body.assign(static_cast<const char *>(Data), Size);
  const char *After = soup_message_headers_get_one(
      soup_message_get_response_headers(Message), "Retry-After");
  if (After != nullptr)
    Result.m_RetryAfter = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::strtod(After, nullptr)));
  return Result;
}

void finished(GObject *Session, GAsyncResult *Outcome, gpointer Data) {
  const std::unique_ptr<Pending> Call(static_cast<Pending *>(Data));
  GError *Failure = nullptr;
  GBytes *Body = soup_session_send_and_read_finish(SOUP_SESSION(Session),
                                                   Outcome, &Failure);
  if (Body == nullptr) {
    g_error_free(Failure);
    Call->m_Done(failureOf(*Call));
    return;
  }
  const HttpAnswer Answer = answerOf(Call->m_Message, Body);
  g_bytes_unref(Body);
  Call->m_Done(Answer);
}

int timedOut(void *Data) {
  auto *Call = static_cast<Pending *>(Data);
  Call->m_Timer = 0;
  Call->m_TimedOut = true;
  g_cancellable_cancel(Call->m_Cancel);
  return G_SOURCE_REMOVE;
}

/// The kernel repeats an opening packet after 1, 3, 7 and 15 s. A call that is
/// to wait long would sleep through the return of its peer; one that is made
/// again is answered at once.
int connectLimitOver(void *Data) {
  auto *Call = static_cast<Pending *>(Data);
  Call->m_ConnectTimer = 0;
  if (Call->m_Connecting)
    g_cancellable_cancel(Call->m_Cancel);
  return G_SOURCE_REMOVE;
}

guint startTimer(Duration Delay, GSourceFunc Job, Pending *Call) {
  const auto Wait = std::chrono::ceil<std::chrono::milliseconds>(Delay);
  return g_timeout_add(static_cast<guint>(Wait.count()), Job, Call);
}

void watchConnecting(Pending *Call) {
  if (Call->m_ConnectTimer != 0)
    g_source_remove(Call->m_ConnectTimer);
  Call->m_ConnectTimer = 0;
  if (Call->m_ConnectLimit > Duration::zero())
    Call->m_ConnectTimer =
        startTimer(Call->m_ConnectLimit, connectLimitOver, Call);
}

void starting(SoupMessage *, gpointer Data) {
  auto *Call = static_cast<Pending *>(Data);
  Call->m_Connected = true;
  Call->m_Connecting = false;
}

/// libsoup sends a call again by itself, on a new connection, where a kept one
/// broke before an answer.
void restarted(SoupMessage *, gpointer Data) {
  auto *Call = static_cast<Pending *>(Data);
  Call->m_Connecting = true;
  watchConnecting(Call);
}

} // namespace

HttpClient::HttpClient()
    : m_Session(soup_session_new_with_options(
          "max-conns", MaxConnections, "max-conns-per-host",
          MaxConnectionsPerHost, "timeout", 0U, "proxy-resolver", nullptr,
          nullptr)) {}

HttpClient::~HttpClient() {
  soup_session_abort(m_Session);
  g_object_unref(m_Session);
}

void HttpClient::call(const HttpCall &What, Done OnDone) {
  const std::string Uri = "http://" + toString(What.m_Where) + What.m_Path;
  auto *Call = new Pending;
  Call->m_Done = std::move(OnDone);
  Call->m_Cancel = g_cancellable_new();
  Call->m_Message = soup_message_new(What.m_Method.c_str(), Uri.c_str());
  // Without the flag libsoup opens a connection for every POST and keeps the
  // old ones idle; our calls are conditional or reads, so the flag is true.
  soup_message_add_flags(
      Call->m_Message, static_cast<SoupMessageFlags>(SOUP_MESSAGE_IDEMPOTENT |
                                                     SOUP_MESSAGE_NO_REDIRECT));
  if (!What.m_Body.empty()) {
    GBytes *Body = g_bytes_new(What.m_Body.data(), What.m_Body.size());
    soup_message_set_request_body_from_bytes(Call->m_Message,
                                             "application/json", Body);
    g_bytes_unref(Body);
  }
  probeConnectionOf(Call->m_Message);
  g_signal_connect(Call->m_Message, "starting", G_CALLBACK(starting), Call);
  g_signal_connect(Call->m_Message, "restarted", G_CALLBACK(restarted), Call);
  Call->m_Timer = startTimer(What.m_Timeout, timedOut, Call);
  Call->m_ConnectLimit = What.m_ConnectLimit;
  watchConnecting(Call);
  soup_session_send_and_read_async(m_Session, Call->m_Message,
                                   G_PRIORITY_DEFAULT, Call->m_Cancel, finished,
                                   Call);
}

} // namespace crowstep
