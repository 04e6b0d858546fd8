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
    : m_Owner(Owner), m_Id(Id), m_Source(Owner.m_Plan.m_Sources[Call.m_Source]),
      m_Check(Call.m_Prompt, m_Source.m_Stream), m_Sent(Owner.m_Clock.fresh()),
      m_Cancel(g_cancellable_new()), m_Limit(Owner.m_Timers) {
  m_Outcome.m_Source = Call.m_Source;
  m_Outcome.m_Workspace = Call.m_Workspace;
  m_Outcome.m_At = Call.m_At;
  m_Outcome.m_Late = Late;
  m_Outcome.m_Key = Call.m_Key;
  prepare(Call, Target);
  m_Limit.start(m_Source.m_Limit, [this] { giveUp(); });
  soup_session_send_async(m_Owner.sessionOf(m_Id), m_Message,
                          G_PRIORITY_DEFAULT, m_Cancel, onHeaders, this);
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
  g_object_unref(m_Cancel);
}

void ActiveCall::prepare(const PlannedCall &Call, const Address &Target) {
  const std::string Uri = "http://" + toString(Target) + m_Source.m_Path;
  m_Message = soup_message_new("POST", Uri.c_str());
  SoupMessageHeaders *Headers = soup_message_get_request_headers(m_Message);
  const LoadWorkspace &Workspace =
      m_Owner.m_Plan.m_Workspaces[Call.m_Workspace];
  const std::string Bearer =
      "Bearer " + Workspace.m_Name + m_Owner.m_Plan.m_KeySuffix;
  soup_message_headers_append(Headers, "Authorization", Bearer.c_str());
  soup_message_headers_append(Headers, "Crowstep-Class",
                              m_Source.m_Class.c_str());
  unsigned Flags = SOUP_MESSAGE_NO_REDIRECT;
  if (Call.m_Key.empty()) {
    // Without this flag libsoup opens a new connection for every POST and
    // examines all idle connections on every call.
    Flags |= SOUP_MESSAGE_IDEMPOTENT;
  } else {
    // On a reused connection that the peer has closed, the outcome of such a
    // call would be unknown.
    soup_message_headers_append(Headers, "Connection", "close");
    soup_message_headers_append(Headers, "Idempotency-Key", Call.m_Key.c_str());
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
    Call->headersCame(Body);
    return;
  }
  g_error_free(Failure);
  Call->end(Call->m_GaveUp ? CallEnd::TimedOut : CallEnd::NoAnswer);
}

void ActiveCall::headersCame(GInputStream *Body) {
  m_Stream = Body;
  m_Outcome.m_Status = soup_message_get_status(m_Message);
  const char *RunState = soup_message_headers_get_one(
      soup_message_get_response_headers(m_Message), "Crowstep-Run");
  m_Outcome.m_RunState = RunState == nullptr ? "" : RunState;
  if (m_GaveUp)
    end(CallEnd::TimedOut);
  else if (readBody())
    watchBody();
}

void ActiveCall::watchBody() {
  m_Watch = g_pollable_input_stream_create_source(
      G_POLLABLE_INPUT_STREAM(m_Stream), m_Cancel);
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
        m_Cancel, &Failure);
    if (Size > 0) {
      take({Buffer.data(), static_cast<std::size_t>(Size)});
      continue;
    }
    if (Size == 0) {
      bodyEnded();
      return false;
    }
    const bool WouldBlock =
        g_error_matches(Failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != 0;
    g_error_free(Failure);
    if (WouldBlock)
      return true;
    end(m_Outcome.m_Tokens > 0 ? CallEnd::Cut : CallEnd::NoAnswer);
    return false;
  }
}

void ActiveCall::take(std::string_view Bytes) {
  if (m_Outcome.m_Status != SOUP_STATUS_OK || !m_Source.isCompletion()) {
    m_Body += Bytes;
    return;
  }
  const std::uint64_t Tokens = m_Check.feed(Bytes);
  if (Tokens == 0)
    return;
  const TimePoint Now = m_Owner.m_Clock.fresh();
  if (m_Outcome.m_Tokens == 0)
    m_Outcome.m_First = Now - m_Sent;
  else
    m_Outcome.m_Gaps.push_back(Now - m_LastToken);
  // The gaps between tokens received together count as 0.
  m_Outcome.m_Gaps.resize(m_Outcome.m_Gaps.size() + Tokens - 1);
  m_Outcome.m_Tokens += Tokens;
  m_LastToken = Now;
}

void ActiveCall::bodyEnded() { end(endOfBody()); }

CallEnd ActiveCall::endOfBody() {
  if (m_Outcome.m_Status != SOUP_STATUS_OK) {
    readRefusal();
    return CallEnd::Refused;
  }
  if (!m_Source.isCompletion()) {
    m_Outcome.m_First = m_Owner.m_Clock.fresh() - m_Sent;
    return CallEnd::Whole;
  }
  m_Check.finish();
  m_Outcome.m_Tokens = m_Check.tokens();
  m_Outcome.m_Reason = m_Check.errorCode();
  if (!m_Source.m_Stream)
    m_Outcome.m_First = m_Owner.m_Clock.fresh() - m_Sent;
  if (m_Check.wrong())
    return CallEnd::Wrong;
  return m_Check.whole() ? CallEnd::Whole : CallEnd::Cut;
}

void ActiveCall::readRefusal() {
  const nlohmann::json Answer = nlohmann::json::parse(m_Body, nullptr, false);
  m_Outcome.m_Reason = "status_" + std::to_string(m_Outcome.m_Status);
  if (Answer.is_object() && Answer.contains("error") &&
      Answer["error"].is_object())
    m_Outcome.m_Reason = Answer["error"].value("code", m_Outcome.m_Reason);
}

void ActiveCall::giveUp() {
  m_GaveUp = true;
  g_cancellable_cancel(m_Cancel);
  // Before the headers, libsoup still calls onHeaders(), which ends the call.
  if (m_Stream != nullptr)
    end(CallEnd::TimedOut);
}

void ActiveCall::end(CallEnd End) {
  m_Outcome.m_End = End;
  m_Outcome.m_Total = m_Owner.m_Clock.fresh() - m_Sent;
  m_Owner.ended(m_Id, std::move(m_Outcome)); // Destroys this object.
}

} // namespace crowstep::load
