/// HTTP client for short calls, over upstream calls.
#include "http/http_client.h"

#include "http/header_value.h"

#include <utility>

namespace crowstep {

/// One open call.
class HttpClient::Exchange final : public UpstreamListener {
public:
  Exchange(HttpClient &Client, Duration Timeout, Done OnDone)
      : m_Client(Client), m_OnDone(std::move(OnDone)),
        m_Deadline(Client.m_Clock.readNow() + Timeout) {}

  void send(const UpstreamRequest &Request) {
    m_Call = m_Client.m_UpstreamClient.send(Request, *this);
  }

  void upstreamHeaders(unsigned Status, const HeaderList &Headers) override {
    m_Answer.m_Status = Status;
    m_Answer.m_Headers = Headers;
    if (const std::string *RetryAfter = findHeader(Headers, "Retry-After"))
      m_Answer.m_RetryAfter =
          parseSeconds(*RetryAfter).value_or(Duration::zero());
  }
  void upstreamBytes(std::string_view Bytes) override {
    if (m_Answer.m_Body.size() + Bytes.size() > MaxBodyBytes)
      upstreamEnded(TransportEnd::Broken);
    else
      m_Answer.m_Body.append(Bytes);
  }
  void upstreamEnded(TransportEnd End) override {
    // Keeps this object alive until the callback has run.
    const auto Self = m_Client.m_Exchanges.extract(this);
    const Done Callback = std::move(m_OnDone);
    if (End == TransportEnd::Complete)
      Callback(std::move(m_Answer));
    else
      Callback(failureOf(End));
  }

private:
  [[nodiscard]] HttpFailure failureOf(TransportEnd End) const {
    if (End == TransportEnd::NotSent || End == TransportEnd::ConnectRefused ||
        End == TransportEnd::Withheld || End == TransportEnd::OtherProcess ||
        End == TransportEnd::Unproven)
      return HttpFailure::NotSent;
    return m_Client.m_Clock.readNow() >= m_Deadline ? HttpFailure::TimedOut
                                                    : HttpFailure::NoAnswer;
  }

  HttpClient &m_Client;                 ///< Outlives the call.
  Done m_OnDone;                        ///< Runs once.
  TimePoint m_Deadline;                 ///< A failure after this is a timeout.
  HttpAnswer m_Answer;                  ///< Received so far.
  std::unique_ptr<UpstreamCall> m_Call; ///< Null before send().
};

HttpClient::HttpClient() : m_UpstreamClient(m_Clock, m_Timers) {}
HttpClient::~HttpClient() = default;

void HttpClient::call(const HttpCall &Call, Done OnDone) {
  UpstreamRequest Request;
  Request.m_Address = Call.m_Address;
  Request.m_Method = Call.m_Method;
  Request.m_Path = Call.m_Path;
  Request.m_Body = Call.m_Body;
  Request.m_Headers = Call.m_Headers;
  if (!Call.m_Body.empty())
    Request.m_Headers.push_back({"Content-Type", "application/json"});
  // These calls are reads or conditional writes, so they can be sent twice.
  Request.m_Repeatable = true;
  Request.m_RetryStaleConnection = true;
  Request.m_SendDeadline = TimePoint::max();
  Request.m_SendCheck = Call.m_MaySend;
  Request.m_ConnectTimeout = Call.m_ConnectTimeout;
  Request.m_AnswerTimeout = Call.m_Timeout;
  auto NewExchange =
      std::make_unique<Exchange>(*this, Call.m_Timeout, std::move(OnDone));
  Exchange &Started = *NewExchange;
  m_Exchanges.emplace(&Started, std::move(NewExchange));
  Started.send(Request);
}

} // namespace crowstep
