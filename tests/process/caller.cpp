/// HTTP client over libsoup.
#include "process/caller.h"

#include "process/process.h"

#include <array>
#include <libsoup/soup.h>
#include <sstream>

namespace crowstep::test {

using nlohmann::json;

namespace {

/// A call in progress; deletes itself when it ends.
struct PendingCall {
  std::shared_ptr<CallResult> m_Result =
      std::make_shared<CallResult>(); ///< Shared.
  SoupMessage *m_Message = nullptr;   ///< Owned.
  GInputStream *m_Stream = nullptr;   ///< Owned; null before the headers.
  GCancellable *m_Cancel = nullptr;   ///< Owned.
  guint m_Timer = 0;                  ///< Time-out source; 0: none.
  gint64 m_StartTime = 0;             ///< Monotonic, in µs.
  std::array<char, 65536> m_Buffer{}; ///< Read buffer.

  ~PendingCall() {
    if (m_Timer != 0)
      g_source_remove(m_Timer);
    g_clear_object(&m_Stream);
    g_clear_object(&m_Cancel);
    g_clear_object(&m_Message);
  }
  [[nodiscard]] Duration elapsed() const {
    return Duration(g_get_monotonic_time() - m_StartTime);
  }
  void finish(bool Broken) {
    m_Result->m_Ended = true;
    m_Result->m_ConnectionBroken = Broken;
    m_Result->m_Elapsed = elapsed();
  }
};

std::string header(SoupMessage *Message, const char *Name) {
  const char *Value = soup_message_headers_get_one(
      soup_message_get_response_headers(Message), Name);
  return Value == nullptr ? std::string() : std::string(Value);
}

void readNext(PendingCall *Pending);

void onRead(GObject *Stream, GAsyncResult *Outcome, gpointer Data) {
  auto *Pending = static_cast<PendingCall *>(Data);
  const gssize Size =
      g_input_stream_read_finish(G_INPUT_STREAM(Stream), Outcome, nullptr);
  if (Size <= 0) {
    Pending->finish(Size < 0);
    delete Pending;
    return;
  }
  if (Pending->m_Result->m_Body.empty())
    Pending->m_Result->m_FirstByteTime = Pending->elapsed();
  Pending->m_Result->m_Body.append(Pending->m_Buffer.data(),
                                   static_cast<std::size_t>(Size));
  readNext(Pending);
}

void readNext(PendingCall *Pending) {
  g_input_stream_read_async(Pending->m_Stream, Pending->m_Buffer.data(),
                            Pending->m_Buffer.size(), G_PRIORITY_DEFAULT,
                            Pending->m_Cancel, onRead, Pending);
}

void onHeaders(GObject *Session, GAsyncResult *Outcome, gpointer Data) {
  auto *Pending = static_cast<PendingCall *>(Data);
  Pending->m_Stream =
      soup_session_send_finish(SOUP_SESSION(Session), Outcome, nullptr);
  if (Pending->m_Stream == nullptr) {
    Pending->finish(true);
    delete Pending;
    return;
  }
  Pending->m_Result->m_Status = soup_message_get_status(Pending->m_Message);
  Pending->m_Result->m_Run = header(Pending->m_Message, "Crowstep-Run");
  Pending->m_Result->m_RetryAfter = header(Pending->m_Message, "Retry-After");
  readNext(Pending);
}

gboolean onTimeout(gpointer Data) {
  auto *Pending = static_cast<PendingCall *>(Data);
  Pending->m_Timer = 0;
  g_cancellable_cancel(Pending->m_Cancel);
  return G_SOURCE_REMOVE;
}

/// Returns the text of one completion object, streamed or plain.
std::string choiceText(const json &Body) {
  if (!Body.contains("choices") || Body["choices"].empty())
    return {};
  const json &Choice = Body["choices"][0];
  for (const char *Field : {"delta", "message"})
    if (Choice.contains(Field))
      return Choice[Field].value("content", "");
  return Choice.value("text", "");
}

} // namespace

std::string CallResult::errorCode() const {
  const json Body = json::parse(m_Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("error"))
    return {};
  return Body["error"].value("code", "");
}

std::string CallResult::completionText() const {
  if (!m_Body.starts_with("data:")) {
    const json Body = json::parse(m_Body, nullptr, false);
    return Body.is_object() ? choiceText(Body) : std::string();
  }
  std::string Result;
  std::istringstream Lines(m_Body);
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.starts_with("data: {"))
      continue;
    const json Event = json::parse(Line.substr(6), nullptr, false);
    if (Event.is_object())
      Result += choiceText(Event);
  }
  return Result;
}

bool CallResult::isStreamComplete() const {
  return m_Body.find("data: [DONE]") != std::string::npos;
}

std::size_t countOf(const std::string &Part, const std::string &Text) {
  std::size_t Result = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + Part.size()))
    ++Result;
  return Result;
}

Caller::Caller()
    : m_Session(soup_session_new_with_options(
          "max-conns", 4096, "max-conns-per-host", 1024, nullptr)) {}

Caller::~Caller() {
  cancelAll();
  // Pending calls end in the loop; they must not outlive the session.
  runUntil([] { return g_main_context_pending(nullptr) == 0; },
           std::chrono::seconds(1));
  g_object_unref(m_Session);
}

void Caller::cancelAll() { soup_session_abort(m_Session); }

std::shared_ptr<const CallResult> Caller::start(const Call &Request) {
  auto *Pending = new PendingCall;
  std::shared_ptr<const CallResult> Result = Pending->m_Result;
  const std::string Uri =
      "http://" + toString(Request.m_Address) + Request.m_Path;
  Pending->m_Message = soup_message_new(Request.m_Method.c_str(), Uri.c_str());
  Pending->m_Cancel = g_cancellable_new();
  Pending->m_StartTime = g_get_monotonic_time();
  SoupMessageHeaders *Headers =
      soup_message_get_request_headers(Pending->m_Message);
  if (!Request.m_Body.empty()) {
    GBytes *Body = g_bytes_new(Request.m_Body.data(), Request.m_Body.size());
    soup_message_set_request_body_from_bytes(Pending->m_Message,
                                             "application/json", Body);
    g_bytes_unref(Body);
  }
  for (const auto &[Name, Value] : Request.m_Headers)
    soup_message_headers_replace(Headers, Name.c_str(), Value.c_str());
  // One connection per call: libsoup silently reopens a stale keep-alive
  // connection, which would hide that an entry was killed.
  soup_message_headers_replace(Headers, "Connection", "close");
  const auto Limit =
      std::chrono::ceil<std::chrono::milliseconds>(Request.m_Timeout);
  Pending->m_Timer =
      g_timeout_add(static_cast<guint>(Limit.count()), onTimeout, Pending);
  soup_session_send_async(m_Session, Pending->m_Message, G_PRIORITY_DEFAULT,
                          Pending->m_Cancel, onHeaders, Pending);
  return Result;
}

CallResult Caller::call(const Call &Request) {
  const std::shared_ptr<const CallResult> Result = start(Request);
  runUntil([&] { return Result->m_Ended; },
           Request.m_Timeout + std::chrono::seconds(5));
  return *Result;
}

json Caller::json(const std::string &Method, const Address &Server,
                  const std::string &Path, const nlohmann::json &Body,
                  const std::string &Key) {
  Call Request;
  Request.m_Method = Method;
  Request.m_Address = Server;
  Request.m_Path = Path;
  if (!Body.is_null())
    Request.m_Body = Body.dump();
  if (!Key.empty())
    Request.m_Headers["Authorization"] = "Bearer " + Key;
  Request.m_Timeout = std::chrono::seconds(10);
  const nlohmann::json Answer =
      nlohmann::json::parse(call(Request).m_Body, nullptr, false);
  return Answer.is_discarded() ? nlohmann::json() : Answer;
}

} // namespace crowstep::test
