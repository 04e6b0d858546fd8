/// Callers behind libsoup's server.
#include "http/caller.h"

#include "core/http_server.h"
#include "http/refusal_answer.h"

namespace crowstep {

CallerAnswer refusalAnswer(RefusalReason Reason, RunState State,
                           Duration RetryAfter) {
  CallerAnswer Result;
  Result.m_Status = httpStatusOf(Reason);
  Result.m_State = State;
  Result.m_Body = errorBody(Reason);
  Result.m_RetryAfter = RetryAfter;
  return Result;
}

namespace {

void fillHeaders(SoupServerMessage *Message, const CallerAnswer &What) {
  SoupMessageHeaders *Headers =
      soup_server_message_get_response_headers(Message);
  soup_message_headers_replace(Headers, "Crowstep-Run",
                               std::string(nameOf(What.m_State)).c_str());
  if (What.m_RetryAfter > Duration::zero())
    soup_message_headers_replace(
        Headers, "Retry-After",
        std::to_string(retryAfterSeconds(What.m_RetryAfter)).c_str());
  for (const HeaderField &Field : What.m_Headers)
    soup_message_headers_append(Headers, Field.m_Name.c_str(),
                                Field.m_Value.c_str());
}

} // namespace

void fillAnswer(SoupServerMessage *Message, const CallerAnswer &What) {
  fillHeaders(Message, What);
  respond(Message, What.m_Status, What.m_ContentType, What.m_Body);
}

void HttpServerCaller::answer(const CallerAnswer &What) {
  if (!m_Held.open())
    return;
  fillHeaders(m_Held.message(), What);
  m_Held.answer(What.m_Status, What.m_ContentType, What.m_Body);
}

void HttpServerCaller::beginStream(const CallerAnswer &Head) {
  if (!m_Held.open() || m_Held.streaming())
    return;
  fillHeaders(m_Held.message(), Head);
  soup_message_headers_replace(
      soup_server_message_get_response_headers(m_Held.message()),
      "Cache-Control", "no-cache");
  m_Held.beginStream(Head.m_Status, Head.m_ContentType);
}

} // namespace crowstep
