/// Blocking calls over libsoup.
#include "ctl/admin_client.h"

#include <libsoup/soup.h>

namespace crowstep::ctl {

namespace {

/// A change waits until it holds everywhere, which has a limit of its own.
constexpr unsigned CallLimitSeconds = 30;

std::string responseHeader(SoupMessage *Message, const char *Name) {
  const char *Value = soup_message_headers_get_one(
      soup_message_get_response_headers(Message), Name);
  return Value == nullptr ? std::string() : std::string(Value);
}

/// libsoup takes the close of a connection for the end of a body. The API
/// states the length of each.
bool cameWhole(SoupMessage *Message, gsize Size) {
  SoupMessageHeaders *Headers = soup_message_get_response_headers(Message);
  return soup_message_headers_get_encoding(Headers) ==
             SOUP_ENCODING_CONTENT_LENGTH &&
         soup_message_headers_get_content_length(Headers) ==
             static_cast<goffset>(Size);
}

} // namespace

AdminClient::AdminClient(const Address &Where, std::string Key)
    : m_Where(Where), m_Key(std::move(Key)),
      m_Session(soup_session_new_with_options("timeout", CallLimitSeconds,
                                              nullptr)) {}

AdminClient::~AdminClient() { g_object_unref(m_Session); }

AdminAnswer AdminClient::call(const AdminCall &What) {
  const std::string Uri = "http://" + toString(m_Where) + What.m_Path;
  SoupMessage *Message = soup_message_new(What.m_Method.c_str(), Uri.c_str());
  if (Message == nullptr)
    throw AdminUnreachable(m_Where, "no valid path: " + What.m_Path);
  SoupMessageHeaders *Headers = soup_message_get_request_headers(Message);
  soup_message_headers_replace(Headers, "Authorization",
                               ("Bearer " + m_Key).c_str());
  if (!What.m_Version.empty())
    soup_message_headers_replace(Headers, "If-Match", What.m_Version.c_str());
  if (!What.m_Body.empty()) {
    GBytes *Body = g_bytes_new(What.m_Body.data(), What.m_Body.size());
    soup_message_set_request_body_from_bytes(Message, "text/csv", Body);
    g_bytes_unref(Body);
  }
  GError *Failure = nullptr;
  GBytes *Body =
      soup_session_send_and_read(m_Session, Message, nullptr, &Failure);
  if (Body == nullptr) {
    const std::string Why = Failure->message;
    g_error_free(Failure);
    g_object_unref(Message);
    throw AdminUnreachable(m_Where, Why);
  }
  AdminAnswer Answer;
  Answer.m_Status = soup_message_get_status(Message);
  gsize Size = 0;
  const void *Data = g_bytes_get_data(Body, &Size);
  Answer.m_Body.assign(static_cast<const char *>(Data), Size);
  Answer.m_TableVersion = responseHeader(Message, "Crowstep-Table-Version");
  const bool Whole = cameWhole(Message, Size);
  g_bytes_unref(Body);
  g_object_unref(Message);
  if (!Whole)
    throw AdminUnreachable(m_Where, "the answer broke off");
  return Answer;
}

} // namespace crowstep::ctl
