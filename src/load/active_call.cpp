/// A request sent by libsoup; its answer is read without blocking.
#include "load/active_call.h"

#include <array>
#include <nlohmann/json.hpp>

namespace crowstep::load {

namespace {

constexpr std::size_t ReadBufferSize = 16384;

} // namespace

ActiveCall::ActiveCall(CallerPool &Owner, std::uint64_t Id,
                       const PlannedCall &Call, const Address &Target,
                       Duration Late)
    : m_Pool(Owner), m_Id(Id), m_Source(Owner.m_Plan.m_Sources[Call.m_Source]),
      m_AnswerCheck(Call.m_Prompt, m_Source.m_Stream),
      m_SentAt(Owner.m_Clock.readNow()), m_Cancellable(g_cancellable_new()),
      m_TimeoutTimer(Owner.m_Timers) {
  m_Outcome.m_Source = Call.m_Source;
  m_Outcome.m_Workspace = Call.m_Workspace;
  m_Outcome.m_DueTime = Call.m_DueTime;
  m_Outcome.m_Lateness = Late;
  m_Outcome.m_IdempotencyKey = Call.m_IdempotencyKey;
  prepare(Call, Target);
  m_TimeoutTimer.start(m_Source.m_Timeout, [this] { timeOut(); });
  soup_session_send_async(m_Pool.sessionOf(m_Id), m_Message, G_PRIORITY_DEFAULT,
                          m_Cancellable, onHeaders, this);
}

ActiveCall::~ActiveCall() {
  if (m_Watch != nullptr) {
    g_source_destroy(m_Watch);
    g_source_unref(m_Watch);
  }
  if (m_Stream != nullptr) {
    g_input_stream_close_async(m_Stream, G_PRIORITY_DEFAULT, nullptr, nullptr,
                               nullptr);
    g_object_unref(m_Stream);
  }
  g_object_unref(m_Message);
  g_object_unref(m_Cancellable);
}

void ActiveCall::prepare(const PlannedCall &Call, const Address &Target) {
  const std::string Uri = "http://" + toString(Target) + m_Source.m_Path;
  m_Message = soup_message_new("POST", Uri.c_str());
  SoupMessageHeaders *Headers = soup_message_get_request_headers(m_Message);
  const LoadWorkspace &Workspace = m_Pool.m_Plan.m_Workspaces[Call.m_Workspace];
  const std::string Bearer =
      "Bearer " + Workspace.m_Name + m_Pool.m_Plan.m_KeySuffix;
  soup_message_headers_append(Headers, "Authorization", Bearer.c_str());
  soup_message_headers_append(Headers, "Crowstep-Class",
                              m_Source.m_Class.c_str());
  unsigned Flags = SOUP_MESSAGE_NO_REDIRECT;
  if (Call.m_IdempotencyKey.empty()) {
    // Without this flag libsoup opens a new connection for every POST and
    // examines all idle connections on every call.
    Flags |= SOUP_MESSAGE_IDEMPOTENT;
  } else {
    // On a reused connection that the peer has closed, the outcome of such a
    // call would be unknown.
    soup_message_headers_append(Headers, "Connection", "close");
    soup_message_headers_append(Headers, "Idempotency-Key",
                                Call.m_IdempotencyKey.c_str());
  }
  soup_message_add_flags(m_Message, static_cast<SoupMessageFlags>(Flags));
  GBytes *Body = g_bytes_new(Call.m_Body.data(), Call.m_Body.size());
  soup_message_set_request_body_from_bytes(m_Message, "application/json", Body);
  g_bytes_unref(Body);
}

void ActiveCall::onHeaders(GObject *Session, GAsyncResult *Result, void *Self) {
  auto *Call = static_cast<ActiveCall *>(Self);
  GError *Failure = nullptr;
  GInputStream *Body =
      soup_session_send_finish(SOUP_SESSION(Session), Result, &Failure);
  if (Body != nullptr) {
    Call->handleHeaders(Body);
    return;
  }
  g_error_free(Failure);
  Call->finish(Call->m_TimedOut ? CallEnd::TimedOut : CallEnd::NoAnswer);
}

void ActiveCall::handleHeaders(GInputStream *Body) {
  m_Stream = Body;
  m_Outcome.m_Status = soup_message_get_status(m_Message);
  const char *RunState = soup_message_headers_get_one(
      soup_message_get_response_headers(m_Message), "Crowstep-Run");
  m_Outcome.m_RunState = RunState == nullptr ? "" : RunState;
  if (m_TimedOut)
    finish(CallEnd::TimedOut);
  else if (readBody())
    watchBody();
}

void ActiveCall::watchBody() {
  m_Watch = g_pollable_input_stream_create_source(
      G_POLLABLE_INPUT_STREAM(m_Stream), m_Cancellable);
  g_source_set_callback(
      m_Watch,
      reinterpret_cast<GSourceFunc>(reinterpret_cast<void (*)()>(onReadable)),
      this, nullptr);
  g_source_attach(m_Watch, nullptr);
}

int ActiveCall::onReadable(GObject *, void *Self) {
  return static_cast<ActiveCall *>(Self)->readBody() ? G_SOURCE_CONTINUE
                                                     : G_SOURCE_REMOVE;
}

bool ActiveCall::readBody() {
  std::array<char, ReadBufferSize> Buffer;
  while (true) {
    GError *Failure = nullptr;
    const gssize Size = g_pollable_input_stream_read_nonblocking(
        G_POLLABLE_INPUT_STREAM(m_Stream), Buffer.data(), Buffer.size(),
        m_Cancellable, &Failure);
    if (Size > 0) {
      handleBytes({Buffer.data(), static_cast<std::size_t>(Size)});
      continue;
    }
    if (Size == 0) {
      handleBodyEnd();
      return false;
    }
    const bool WouldBlock =
        g_error_matches(Failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != 0;
    g_error_free(Failure);
    if (WouldBlock)
      return true;
    finish(m_Outcome.m_Tokens > 0 ? CallEnd::Cut : CallEnd::NoAnswer);
    return false;
  }
}

void ActiveCall::handleBytes(std::string_view Bytes) {
  if (m_Outcome.m_Status != SOUP_STATUS_OK || !m_Source.isCompletion()) {
    m_Body += Bytes;
    return;
  }
  const std::uint64_t Tokens = m_AnswerCheck.feed(Bytes);
  if (Tokens == 0)
    return;
  const TimePoint Now = m_Pool.m_Clock.readNow();
  if (m_Outcome.m_Tokens == 0)
    m_Outcome.m_TimeToFirstToken = Now - m_SentAt;
  else
    m_Outcome.m_TokenGaps.push_back(Now - m_LastTokenAt);
  // The gaps between tokens received together count as 0.
  m_Outcome.m_TokenGaps.resize(m_Outcome.m_TokenGaps.size() + Tokens - 1);
  m_Outcome.m_Tokens += Tokens;
  m_LastTokenAt = Now;
}

void ActiveCall::handleBodyEnd() { finish(classifyBodyEnd()); }

CallEnd ActiveCall::classifyBodyEnd() {
  if (m_Outcome.m_Status != SOUP_STATUS_OK) {
    parseRefusal();
    return CallEnd::Refused;
  }
  if (!m_Source.isCompletion()) {
    m_Outcome.m_TimeToFirstToken = m_Pool.m_Clock.readNow() - m_SentAt;
    return CallEnd::Whole;
  }
  m_AnswerCheck.finish();
  m_Outcome.m_Tokens = m_AnswerCheck.tokenCount();
  m_Outcome.m_Reason = m_AnswerCheck.errorCode();
  if (!m_Source.m_Stream)
    m_Outcome.m_TimeToFirstToken = m_Pool.m_Clock.readNow() - m_SentAt;
  if (m_AnswerCheck.isWrong())
    return CallEnd::Wrong;
  return m_AnswerCheck.isComplete() ? CallEnd::Whole : CallEnd::Cut;
}

void ActiveCall::parseRefusal() {
  const nlohmann::json Answer = nlohmann::json::parse(m_Body, nullptr, false);
  m_Outcome.m_Reason = "status_" + std::to_string(m_Outcome.m_Status);
  if (Answer.is_object() && Answer.contains("error") &&
      Answer["error"].is_object())
    m_Outcome.m_Reason = Answer["error"].value("code", m_Outcome.m_Reason);
}

void ActiveCall::timeOut() {
  m_TimedOut = true;
  g_cancellable_cancel(m_Cancellable);
  // Before the headers, libsoup still calls onHeaders(), which ends the call.
  if (m_Stream != nullptr)
    finish(CallEnd::TimedOut);
}

void ActiveCall::finish(CallEnd End) {
  m_Outcome.m_End = End;
  m_Outcome.m_TotalTime = m_Pool.m_Clock.readNow() - m_SentAt;
  m_Pool.finishCall(m_Id, std::move(m_Outcome)); // Destroys this object.
}

} // namespace crowstep::load
