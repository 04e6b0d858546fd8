/// Headers of answers, and answers through libsoup's server.
#include "http/caller.h"

#include "http/refusal_answer.h"

namespace crowstep {

CallerAnswer refusalAnswer(RefusalReason Reason, RunState State,
                           Duration RetryAfter) {
  CallerAnswer Result;
  Result.m_Status = httpStatusOf(Reason);
  Result.m_RunState = State;
  Result.m_Body = errorBody(Reason);
  Result.m_RetryAfter = RetryAfter;
  return Result;
}

HeaderList headersOf(const CallerAnswer &Answer) {
  HeaderList Result = {
      {"Crowstep-Run", std::string(nameOf(Answer.m_RunState))}};
  if (!Answer.m_ContentType.empty())
    Result.push_back({"Content-Type", Answer.m_ContentType});
  if (Answer.m_RetryAfter > Duration::zero())
    Result.push_back({"Retry-After",
                      std::to_string(retryAfterSeconds(Answer.m_RetryAfter))});
  Result.insert(Result.end(), Answer.m_Headers.begin(), Answer.m_Headers.end());
  return Result;
}

void fillAnswer(SoupServerMessage *Message, const CallerAnswer &Answer) {
  SoupMessageHeaders *Headers =
      soup_server_message_get_response_headers(Message);
  for (const HeaderField &Field : headersOf(Answer))
    soup_message_headers_append(Headers, Field.m_Name.c_str(),
                                Field.m_Value.c_str());
  soup_server_message_set_status(Message, Answer.m_Status, nullptr);
  soup_server_message_set_response(Message, nullptr, SOUP_MEMORY_COPY,
                                   Answer.m_Body.data(), Answer.m_Body.size());
}

} // namespace crowstep
