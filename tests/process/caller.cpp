/// Callers over libsoup.
#include "process/caller.h"

#include "process/process.h"

#include <array>
#include <libsoup/soup.h>
#include <sstream>

namespace crowstep::test {

using nlohmann::json;

namespace {

/// A call on its way.
struct Flight {
  std::shared_ptr<Told> m_Told = std::make_shared<Told>(); ///< Filled.
  SoupMessage *m_Message = nullptr;                        ///< Owned.
  GInputStream *m_Stream = nullptr;  ///< Owned, once headers came.
  GCancellable *m_Cancel = nullptr;  ///< Owned.
  guint m_Timer = 0;                 ///< For the limit.
  gint64 m_Start = 0;                ///< Monotonic.
  std::array<char, 65536> m_Piece{}; ///< Being read.

  ~Flight() {
    if (m_Timer != 0)
      g_source_remove(m_Timer);
    g_clear_object(&m_Stream);
    g_clear_object(&m_Cancel);
    g_clear_object(&m_Message);
  }
  [[nodiscard]] Duration elapsed() const {
    return Duration(g_get_monotonic_time() - m_Start);
  }
  void end(bool Broken) {
    m_Told->m_Ended = true;
    m_Told->m_Broken = Broken;
    m_Told->m_Elapsed = elapsed();
  }
};

std::string header(SoupMessage *Message, const char *Name) {
  const char *Value = soup_message_headers_get_one(
      soup_message_get_response_headers(Message), Name);
  return Value == nullptr ? std::string() : std::string(Value);
}

void readOn(Flight *Call);

void pieceCame(GObject *Stream, GAsyncResult *Outcome, gpointer Data) {
  auto *Call = static_cast<Flight *>(Data);
  const gssize Size =
      g_input_stream_read_finish(G_INPUT_STREAM(Stream), Outcome, nullptr);
  if (Size <= 0) {
    Call->end(Size < 0);
    delete Call;
    return;
  }
  if (Call->m_Told->m_Body.empty())
    Call->m_Told->m_FirstByte = Call->elapsed();
  Call->m_Told->m_Body.append(Call->m_Piece.data(),
                              static_cast<std::size_t>(Size));
  readOn(Call);
}

void readOn(Flight *Call) {
  g_input_stream_read_async(Call->m_Stream, Call->m_Piece.data(),
                            Call->m_Piece.size(), G_PRIORITY_DEFAULT,
                            Call->m_Cancel, pieceCame, Call);
}

void headersCame(GObject *Session, GAsyncResult *Outcome, gpointer Data) {
  auto *Call = static_cast<Flight *>(Data);
  Call->m_Stream =
      soup_session_send_finish(SOUP_SESSION(Session), Outcome, nullptr);
  if (Call->m_Stream == nullptr) {
    Call->end(true);
    delete Call;
    return;
  }
  Call->m_Told->m_Status = soup_message_get_status(Call->m_Message);
  Call->m_Told->m_Run = header(Call->m_Message, "Crowstep-Run");
  Call->m_Told->m_RetryAfter = header(Call->m_Message, "Retry-After");
  readOn(Call);
}

gboolean limitCame(gpointer Data) {
  auto *Call = static_cast<Flight *>(Data);
  Call->m_Timer = 0;
  g_cancellable_cancel(Call->m_Cancel);
  return G_SOURCE_REMOVE;
}

/// Returns the text in one completion object, streamed or plain.
std::string textOf(const json &Body) {
  if (!Body.contains("choices") || Body["choices"].empty())
    return {};
  const json &Choice = Body["choices"][0];
  for (const char *Part : {"delta", "message"})
    if (Choice.contains(Part))
      return Choice[Part].value("content", "");
  return Choice.value("text", "");
}

} // namespace

std::string Told::code() const {
  const json Body = json::parse(m_Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("error"))
    return {};
  return Body["error"].value("code", "");
}

std::string Told::text() const {
  if (!m_Body.starts_with("data:")) {
    const json Body = json::parse(m_Body, nullptr, false);
    return Body.is_object() ? textOf(Body) : std::string();
  }
  std::string Result;
  std::istringstream Lines(m_Body);
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.starts_with("data: {"))
      continue;
    const json Event = json::parse(Line.substr(6), nullptr, false);
    if (Event.is_object())
      Result += textOf(Event);
  }
  return Result;
}

bool Told::streamEnded() const {
  return m_Body.find("data: [DONE]") != std::string::npos;
}

Caller::Caller()
    : m_Session(soup_session_new_with_options(
          "max-conns", 4096, "max-conns-per-host", 1024, nullptr)) {}

Caller::~Caller() {
  hangUp();
  // Flights end within the loop; they must not outlive the session.
  runUntil([] { return g_main_context_pending(nullptr) == 0; },
           std::chrono::seconds(1));
  g_object_unref(m_Session);
}

void Caller::hangUp() { soup_session_abort(m_Session); }

std::shared_ptr<const Told> Caller::start(const Call &What) {
  auto *Now = new Flight;
  std::shared_ptr<const Told> Result = Now->m_Told;
  const std::string Uri = "http://" + toString(What.m_Where) + What.m_Path;
  Now->m_Message = soup_message_new(What.m_Method.c_str(), Uri.c_str());
  Now->m_Cancel = g_cancellable_new();
  Now->m_Start = g_get_monotonic_time();
  SoupMessageHeaders *Headers =
      soup_message_get_request_headers(Now->m_Message);
  if (!What.m_Body.empty()) {
    GBytes *Body = g_bytes_new(What.m_Body.data(), What.m_Body.size());
    soup_message_set_request_body_from_bytes(Now->m_Message, "application/json",
                                             Body);
    g_bytes_unref(Body);
  }
  for (const auto &[Name, Value] : What.m_Headers)
    soup_message_headers_replace(Headers, Name.c_str(), Value.c_str());
  // A connection a call: a killed entry must not look like a stale connection
  // that libsoup opens again by itself.
  soup_message_headers_replace(Headers, "Connection", "close");
  const auto Limit = std::chrono::ceil<std::chrono::milliseconds>(What.m_Limit);
  Now->m_Timer =
      g_timeout_add(static_cast<guint>(Limit.count()), limitCame, Now);
  soup_session_send_async(m_Session, Now->m_Message, G_PRIORITY_DEFAULT,
                          Now->m_Cancel, headersCame, Now);
  return Result;
}

Told Caller::call(const Call &What) {
  const std::shared_ptr<const Told> Result = start(What);
  runUntil([&] { return Result->m_Ended; },
           What.m_Limit + std::chrono::seconds(5));
  return *Result;
}

json Caller::json(const std::string &Method, const Address &Where,
                  const std::string &Path, const nlohmann::json &Body,
                  const std::string &Key) {
  Call What;
  What.m_Method = Method;
  What.m_Where = Where;
  What.m_Path = Path;
  if (!Body.is_null())
    What.m_Body = Body.dump();
  if (!Key.empty())
    What.m_Headers["Authorization"] = "Bearer " + Key;
  What.m_Limit = std::chrono::seconds(10);
  const nlohmann::json Answer =
      nlohmann::json::parse(call(What).m_Body, nullptr, false);
  return Answer.is_discarded() ? nlohmann::json() : Answer;
}

} // namespace crowstep::test
