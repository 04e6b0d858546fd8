/// Short HTTP calls over upstream calls.
#include "http/http_client.h"

#include <cstdlib>
#include <utility>

namespace crowstep {

/// One call on its way.
class HttpClient::Exchange final : public UpstreamListener {
public:
  Exchange(HttpClient &Owner, Duration Limit, Done OnDone)
      : m_Owner(Owner), m_Done(std::move(OnDone)),
        m_EndBy(Owner.m_Clock.fresh() + Limit) {}

  void send(const UpstreamSend &What) {
    m_Call = m_Owner.m_Caller.send(What, *this);
  }

  void upstreamHeaders(unsigned Status, const HeaderList &Headers) override {
    m_Answer.m_Status = Status;
    if (const std::string *After = findHeader(Headers, "Retry-After"))
      m_Answer.m_RetryAfter = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(std::strtod(After->c_str(), nullptr)));
  }
  void upstreamBytes(std::string_view Bytes) override {
    m_Answer.m_Body.append(Bytes);
  }
  void upstreamEnded(TransportEnd How) override {
    // Kept until the job has run.
    const auto Self = m_Owner.m_Open.extract(this);
    const Done Job = std::move(m_Done);
    if (How == TransportEnd::Complete)
      Job(std::move(m_Answer));
    else
      Job(failureOf(How));
  }

private:
  [[nodiscard]] HttpFailure failureOf(TransportEnd How) const {
    if (How == TransportEnd::NotSent)
      return HttpFailure::NotSent;
    return m_Owner.m_Clock.fresh() >= m_EndBy ? HttpFailure::TimedOut
                                              : HttpFailure::NoAnswer;
  }

  HttpClient &m_Owner;                  ///< Outlives the call.
  Done m_Done;                          ///< Runs once.
  TimePoint m_EndBy;                    ///< Then it has timed out.
  HttpAnswer m_Answer;                  ///< So far.
  std::unique_ptr<UpstreamCall> m_Call; ///< Null before send().
};

HttpClient::HttpClient() : m_Caller(m_Clock, m_Timers) {}
HttpClient::~HttpClient() = default;

void HttpClient::call(const HttpCall &What, Done OnDone) {
  UpstreamSend Send;
  Send.m_Where = What.m_Where;
  Send.m_Method = What.m_Method;
  Send.m_Path = What.m_Path;
  Send.m_Body = What.m_Body;
  if (!What.m_Body.empty())
    Send.m_Headers.push_back({"Content-Type", "application/json"});
  // These calls are reads, or writes under a condition.
  Send.m_Repeatable = true;
  Send.m_SendAgain = true;
  Send.m_SendBefore = TimePoint::max();
  Send.m_ConnectLimit = What.m_ConnectLimit;
  Send.m_AnswerLimit = What.m_Timeout;
  auto Fresh =
      std::make_unique<Exchange>(*this, What.m_Timeout, std::move(OnDone));
  Exchange &Begun = *Fresh;
  m_Open.emplace(&Begun, std::move(Fresh));
  Begun.send(Send);
}

} // namespace crowstep
