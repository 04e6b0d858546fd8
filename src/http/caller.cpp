/// Callers behind libsoup's server.
#include "http/caller.h"

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

HeaderList headersOf(const CallerAnswer &What) {
  HeaderList Result = {{"Crowstep-Run", std::string(nameOf(What.m_State))}};
  if (!What.m_ContentType.empty())
    Result.push_back({"Content-Type", What.m_ContentType});
  if (What.m_RetryAfter > Duration::zero())
    Result.push_back(
        {"Retry-After", std::to_string(retryAfterSeconds(What.m_RetryAfter))});
  Result.insert(Result.end(), What.m_Headers.begin(), What.m_Headers.end());
  return Result;
}

void fillAnswer(SoupServerMessage *Message, const CallerAnswer &What) {
  SoupMessageHeaders *Headers =
      soup_server_message_get_response_headers(Message);
  for (const HeaderField &Field : headersOf(What))
    soup_message_headers_append(Headers, Field.m_Name.c_str(),
                                Field.m_Value.c_str());
  soup_server_message_set_status(Message, What.m_Status, nullptr);
  soup_server_message_set_response(Message, nullptr, SOUP_MEMORY_COPY,
                                   What.m_Body.data(), What.m_Body.size());
}

} // namespace crowstep
