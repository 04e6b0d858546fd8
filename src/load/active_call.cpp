/// One request of the load tool and the measurements of its answer.
#include "load/active_call.h"

#include <nlohmann/json.hpp>

namespace crowstep::load {

namespace {

constexpr unsigned HttpOk = 200;

} // namespace

ActiveCall::ActiveCall(CallerPool &Owner, std::uint64_t Id,
                       const PlannedCall &Call, const Address &Target,
                       Duration Late)
    : m_Pool(Owner), m_Id(Id), m_Source(Owner.m_Plan.m_Sources[Call.m_Source]),
      m_AnswerCheck(Call.m_Prompt, m_Source.m_Stream),
      m_SentAt(Owner.m_Clock.readNow()), m_TimeoutTimer(Owner.m_Timers) {
  m_Outcome.m_Source = Call.m_Source;
  m_Outcome.m_Workspace = Call.m_Workspace;
  m_Outcome.m_DueTime = Call.m_DueTime;
  m_Outcome.m_Lateness = Late;
  m_Outcome.m_IdempotencyKey = Call.m_IdempotencyKey;
  m_TimeoutTimer.start(m_Source.m_Timeout, [this] { timeOut(); });
  m_Call = m_Pool.m_Client.send(requestOf(Call, Target), *this);
}

UpstreamRequest ActiveCall::requestOf(const PlannedCall &Call,
                                      const Address &Target) const {
  UpstreamRequest Result;
  Result.m_Address = Target;
  Result.m_Path = m_Source.m_Path;
  const LoadWorkspace &Workspace = m_Pool.m_Plan.m_Workspaces[Call.m_Workspace];
  Result.m_Headers = {{"Authorization", "Bearer " + Workspace.m_Name +
                                            m_Pool.m_Plan.m_KeySuffix},
                      {"Crowstep-Class", m_Source.m_Class},
                      {"Content-Type", "application/json"}};
  if (!Call.m_IdempotencyKey.empty())
    Result.m_Headers.push_back({"Idempotency-Key", Call.m_IdempotencyKey});
  Result.m_Body = Call.m_Body;
  // On a reused connection that the peer has closed, the outcome of a call with
  // a key would be unknown.
  Result.m_Repeatable = Call.m_IdempotencyKey.empty();
  Result.m_RetryStaleConnection = Result.m_Repeatable;
  Result.m_CloseAfter = !Result.m_Repeatable;
  Result.m_SendDeadline = TimePoint::max();
  return Result;
}

void ActiveCall::upstreamHeaders(unsigned Status, const HeaderList &Headers) {
  m_Outcome.m_Status = Status;
  if (const std::string *RunState = findHeader(Headers, "Crowstep-Run"))
    m_Outcome.m_RunState = *RunState;
}

void ActiveCall::upstreamEnded(TransportEnd End) {
  if (End == TransportEnd::Complete)
    finish(classifyBodyEnd());
  else
    finish(m_Outcome.m_Tokens > 0 ? CallEnd::Cut : CallEnd::NoAnswer);
}

void ActiveCall::upstreamBytes(std::string_view Bytes) {
  if (m_Outcome.m_Status != HttpOk || !m_Source.isCompletion()) {
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

CallEnd ActiveCall::classifyBodyEnd() {
  if (m_Outcome.m_Status != HttpOk) {
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

void ActiveCall::finish(CallEnd End) {
  m_Outcome.m_End = End;
  m_Outcome.m_TotalTime = m_Pool.m_Clock.readNow() - m_SentAt;
  m_Pool.finishCall(m_Id, std::move(m_Outcome)); // Destroys this object.
}

} // namespace crowstep::load
