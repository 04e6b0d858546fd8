/// Calls, orders and faults of a stand-in engine.
#include "standin/engine_server.h"

#include "load/token_text.h"

using nlohmann::json;

namespace crowstep::standin {

namespace {

/// Lets the tokens so far leave the process before a connection is closed.
constexpr Duration FlushDelay = std::chrono::milliseconds(5);

/// Lateness of steps that a busy process may catch up on.
constexpr Duration MaxLateness = std::chrono::milliseconds(20);

} // namespace

EngineServer::EngineServer(EngineSettings Config)
    : m_Settings(std::move(Config)),
      m_Server(m_Settings,
               {[this](const UpstreamCall &Call) { handleWork(Call); },
                [this](const UpstreamCall &Call) { return handleOther(Call); },
                [this](const Fault &NewFault) { applyFault(NewFault); },
                [this] { return m_Batch.waitingCount(); }}),
      m_Batch(m_Settings,
              [this](std::uint64_t Prefix, bool Added) {
                m_Server.reports().addCacheEvent(Prefix, Added,
                                                 m_Server.clock().now());
              }),
      m_Timer([this] { finishStep(); }) {}

void EngineServer::handleWork(const UpstreamCall &Call) {
  OpenCall NewCall{Completion::parse(Call.m_Path, Call.m_Body), Call.m_Answer,
                   Call.m_Fault};
  const Completion &Request = NewCall.m_Completion;
  if (!m_Settings.m_Models.empty() && !Request.m_Model.empty() &&
      !m_Settings.m_Models.contains(Request.m_Model)) {
    Call.m_Answer->answer(
        503, R"({"error":{"type":"not_run","code":"model_not_loaded"}})");
    return;
  }
  if (Request.m_ResumeTokens > 0 && !m_Settings.m_CanResume) {
    Call.m_Answer->answer(
        503, R"({"error":{"type":"not_run","code":"cannot_resume"}})");
    return;
  }
  Sequence Work;
  Work.m_Priority = Request.m_Priority;
  Work.m_PromptTokens = Request.m_PromptTokens;
  Work.m_Prefixes = prefixHashes(Request.m_Prompt);
  Work.m_NextToken = Request.m_ResumeTokens;
  Work.m_TotalTokens = naturalLength(m_Settings, Request.m_Prompt);
  if (Request.m_MaxTokens > 0 && Request.m_MaxTokens < Work.m_TotalTokens) {
    Work.m_TotalTokens = Request.m_MaxTokens;
    NewCall.m_HitsMaxTokens = true;
  }
  NewCall.m_TotalTokens = Work.m_TotalTokens;
  CallRecord Record;
  Record.m_RequestId = Request.m_RequestId;
  Record.m_IdempotencyKey = Call.m_IdempotencyKey;
  Record.m_Priority = Request.m_Priority;
  Record.m_FirstToken = Request.m_ResumeTokens;
  NewCall.m_RecordIndex = m_Server.records().add(std::move(Record));
  const SequenceId Id = m_Batch.add(std::move(Work));
  if (NewCall.m_Completion.m_Stream &&
      NewCall.m_Fault.m_Mode != FaultMode::DropAnswer)
    NewCall.m_Answer->beginStream();
  m_OpenCalls.emplace(Id, std::move(NewCall));
  Call.m_Answer->onClosed([this, Id] { handleClosed(Id); });
  startStep();
}

bool EngineServer::handleOther(const UpstreamCall &Call) {
  if (Call.m_Path == "/v1/cancel") {
    cancelByRequestId(
        json::parse(Call.m_Body).at("request_id").get<std::string>());
    Call.m_Answer->answer(200, "{}");
  } else if (Call.m_Path == "/v1/orders") {
    handleOrder(Call);
  } else if (Call.m_Path == "/orders") {
    Call.m_Answer->answer(200, json{{"orders", m_Orders}}.dump());
  } else {
    return false;
  }
  return true;
}

void EngineServer::handleOrder(const UpstreamCall &Call) {
  const json Body = json::parse(Call.m_Body);
  const auto Fencing = Body.at("fencing").get<std::uint64_t>();
  const auto Order = Body.at("order").get<std::string>();
  const auto Name = Body.value("name", std::string());
  const bool Outdated = Fencing < m_HighestFencing;
  const bool Accepted = !Outdated || !m_Settings.m_ChecksFencing;
  m_HighestFencing = std::max(m_HighestFencing, Fencing);
  m_Orders.push_back({{"fencing", Fencing},
                      {"order", Order},
                      {"name", Name},
                      {"accepted", Accepted}});
  if (!Accepted) {
    Call.m_Answer->answer(409, json{{"fencing", m_HighestFencing}}.dump());
    return;
  }
  if (Order == "load_model" || Order == "load_adapter")
    m_Settings.m_Models.insert(Name);
  else if (Order == "unload_model")
    m_Settings.m_Models.erase(Name);
  Call.m_Answer->answer(200, json{{"fencing", Fencing}}.dump());
}

void EngineServer::cancelByRequestId(const std::string &RequestId) {
  std::vector<SequenceId> Matching;
  for (const auto &[Id, Call] : m_OpenCalls)
    if (Call.m_Completion.m_RequestId == RequestId)
      Matching.push_back(Id);
  for (const SequenceId Id : Matching) {
    OpenCall &Call = m_OpenCalls.at(Id);
    m_Batch.remove(Id);
    m_Server.records().at(Call.m_RecordIndex).m_Cancelled = true;
    complete(Id, Call, "cancelled");
  }
  recordLoad();
}

void EngineServer::applyFault(const Fault &NewFault) {
  m_Batch.setSlowdown(NewFault.m_Mode == FaultMode::Slow ? NewFault.m_Slowdown
                                                         : 1);
  if (NewFault.m_Mode == FaultMode::Freeze) {
    m_Timer.stop();
    return;
  }
  if (NewFault.m_Mode == FaultMode::Crash) {
    m_Timer.stop();
    m_Batch.clear();
    m_OpenCalls.clear(); // Closes the connections of open answers.
    recordLoad();
    return;
  }
  startStep();
}

void EngineServer::startStep() {
  if (m_Server.isFrozen())
    return;
  // An idle engine begins now, but not before the end of its last step.
  const TimePoint Now = m_Server.clock().now();
  const TimePoint Start = m_StepEnd > Now ? m_StepEnd : Now;
  if (const std::optional<TimePoint> End = m_Batch.beginStep(Start)) {
    m_StepEnd = *End;
    m_Timer.startAt(*End);
  }
  recordLoad();
}

void EngineServer::finishStep() {
  for (const GeneratedToken &Token : m_Batch.finishStep())
    sendToken(Token);
  // The next step begins where the last one ended, so that a late timer does
  // not slow the engine down.
  const TimePoint Now = m_Server.clock().now();
  const TimePoint Start = std::max(m_StepEnd, Now - MaxLateness);
  if (const std::optional<TimePoint> End = m_Batch.beginStep(Start)) {
    m_StepEnd = *End;
    m_Timer.startAt(*End);
  }
  recordLoad();
}

void EngineServer::sendToken(const GeneratedToken &Token) {
  const auto Found = m_OpenCalls.find(Token.m_Sequence);
  if (Found == m_OpenCalls.end())
    return;
  OpenCall &Call = Found->second;
  CallRecord &Record = m_Server.records().at(Call.m_RecordIndex);
  ++Record.m_Generated;
  const std::string Text =
      load::tokenText(Token.m_Index, Call.m_Completion.m_PromptHash);
  if (Call.m_Completion.m_Stream)
    Call.m_Answer->append(Call.m_Completion.tokenEvent(Text));
  else
    Call.m_Text += Text;
  if (Call.m_Fault.m_Mode == FaultMode::CrashMidStream &&
      Record.m_Generated >= Call.m_Fault.m_AfterTokens) {
    m_Server.scheduler().runAfter(
        FlushDelay, [Answer = Call.m_Answer] { Answer->closeConnection(); });
    m_Batch.remove(Token.m_Sequence);
    m_OpenCalls.erase(Found);
    return;
  }
  if (!Token.m_IsLast)
    return;
  Record.m_Finished = true;
  complete(Token.m_Sequence, Call, Call.m_HitsMaxTokens ? "length" : "stop");
}

void EngineServer::complete(SequenceId Id, OpenCall &Call,
                            const std::string &Reason) {
  const CallRecord &Record = m_Server.records().at(Call.m_RecordIndex);
  const std::uint64_t Tokens = Record.m_FirstToken + Record.m_Generated;
  if (Call.m_Fault.m_Mode == FaultMode::DropAnswer) {
    Call.m_Answer->closeConnection();
  } else if (Call.m_Completion.m_Stream) {
    Call.m_Answer->append(Call.m_Completion.endEvents(Reason, Tokens));
    Call.m_Answer->endStream();
  } else {
    Call.m_Answer->answer(
        200, Call.m_Completion.plainBody(Call.m_Text, Reason, Tokens));
  }
  m_OpenCalls.erase(Id);
}

void EngineServer::handleClosed(SequenceId Id) {
  const auto Found = m_OpenCalls.find(Id);
  if (Found == m_OpenCalls.end())
    return;
  m_Batch.remove(Id);
  m_Server.records().at(Found->second.m_RecordIndex).m_Cancelled = true;
  m_OpenCalls.erase(Found);
  recordLoad();
}

void EngineServer::recordLoad() {
  LoadSnapshot Current;
  Current.m_TakenAt = m_Server.clock().now();
  Current.m_Running = m_Batch.runningCount();
  Current.m_Waiting = m_Batch.waitingCount();
  Current.m_FreeBlocks = m_Batch.freeBlocks();
  m_Server.reports().addSnapshot(Current);
}

} // namespace crowstep::standin
