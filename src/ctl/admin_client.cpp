/// Makes blocking calls with libsoup.
#include "ctl/admin_client.h"

#include <libsoup/soup.h>

namespace crowstep::ctl {

namespace {

/// A change of the table is answered once it is in force on all instances or
/// the dispatcher's own timeout is over (TableKeeperConfig::m_AcceptTimeout).
constexpr unsigned CallTimeoutSeconds = 30;

std::string responseHeader(SoupMessage *Message, const char *Name) {
  const char *Value = soup_message_headers_get_one(
      soup_message_get_response_headers(Message), Name);
  return Value == nullptr ? std::string() : std::string(Value);
}

/// Returns whether a body of \p Size bytes is complete. libsoup takes the close
/// of a connection for the end of a body; the API states the length of each.
bool isComplete(SoupMessage *Message, gsize Size) {
  SoupMessageHeaders *Headers = soup_message_get_response_headers(Message);
  return soup_message_headers_get_encoding(Headers) ==
             SOUP_ENCODING_CONTENT_LENGTH &&
         soup_message_headers_get_content_length(Headers) ==
             static_cast<goffset>(Size);
}

} // namespace

AdminClient::AdminClient(const Address &Api, std::string Key)
    : m_Address(Api), m_Key(std::move(Key)),
      m_Session(soup_session_new_with_options("timeout", CallTimeoutSeconds,
                                              nullptr)) {}

AdminClient::~AdminClient() { g_object_unref(m_Session); }

AdminAnswer AdminClient::call(const AdminCall &Call) {
  const std::string Uri = "http://" + toString(m_Address) + Call.m_Path;
  SoupMessage *Message = soup_message_new(Call.m_Method.c_str(), Uri.c_str());
  if (Message == nullptr)
    throw AdminUnreachable(m_Address, "no valid path: " + Call.m_Path);
  SoupMessageHeaders *Headers = soup_message_get_request_headers(Message);
  if (!m_Key.empty())
    soup_message_headers_replace(Headers, "Authorization",
                                 ("Bearer " + m_Key).c_str());
  if (!Call.m_IfMatch.empty())
    soup_message_headers_replace(Headers, "If-Match", Call.m_IfMatch.c_str());
  if (!Call.m_Body.empty()) {
    GBytes *Body = g_bytes_new(Call.m_Body.data(), Call.m_Body.size());
    soup_message_set_request_body_from_bytes(Message,
                                             Call.m_ContentType.c_str(), Body);
    g_bytes_unref(Body);
  }
  GError *Failure = nullptr;
  GBytes *Body =
      soup_session_send_and_read(m_Session, Message, nullptr, &Failure);
  if (Body == nullptr) {
    const std::string Reason = Failure->message;
    g_error_free(Failure);
    g_object_unref(Message);
    throw AdminUnreachable(m_Address, Reason);
  }
  AdminAnswer Answer;
  Answer.m_Status = soup_message_get_status(Message);
  gsize Size = 0;
  const void *Data = g_bytes_get_data(Body, &Size);
  Answer.m_Body.assign(static_cast<const char *>(Data), Size);
  Answer.m_TableVersion = responseHeader(Message, "Crowstep-Table-Version");
  const bool Complete = isComplete(Message, Size);
  g_bytes_unref(Body);
  g_object_unref(Message);
  if (!Complete)
    throw AdminUnreachable(m_Address, "the answer broke off");
  return Answer;
}

} // namespace crowstep::ctl
