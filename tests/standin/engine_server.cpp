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
               {[this](const UpstreamCall &Call) { work(Call); },
                [this](const UpstreamCall &Call) { return other(Call); },
                [this](const Fault &NewFault) { faultSet(NewFault); },
                [this] { return m_Batch.waiting(); }}),
      m_Batch(m_Settings,
              [this](std::uint64_t Prefix, bool Added) {
                m_Server.reports().cacheChanged(Prefix, Added,
                                                m_Server.clock().now());
              }),
      m_Timer([this] { stepDone(); }) {}

void EngineServer::work(const UpstreamCall &Call) {
  Live NewCall{Completion::parse(Call.m_Path, Call.m_Body), Call.m_Answer,
               Call.m_Fault};
  const Completion &Request = NewCall.m_Call;
  if (!m_Settings.m_Models.empty() && !Request.m_Model.empty() &&
      !m_Settings.m_Models.contains(Request.m_Model)) {
    Call.m_Answer->answer(
        503, R"({"error":{"type":"not_run","code":"model_not_loaded"}})");
    return;
  }
  if (Request.m_From > 0 && !m_Settings.m_Resumes) {
    Call.m_Answer->answer(
        503, R"({"error":{"type":"not_run","code":"cannot_resume"}})");
    return;
  }
  Sequence Work;
  Work.m_Priority = Request.m_Priority;
  Work.m_PromptTokens = Request.m_PromptTokens;
  Work.m_Prefixes = prefixHashes(Request.m_Prompt);
  Work.m_Next = Request.m_From;
  Work.m_Length = naturalLength(m_Settings, Request.m_Prompt);
  if (Request.m_MaxTokens > 0 && Request.m_MaxTokens < Work.m_Length) {
    Work.m_Length = Request.m_MaxTokens;
    NewCall.m_Capped = true;
  }
  NewCall.m_Total = Work.m_Length;
  CallRecord Record;
  Record.m_RequestId = Request.m_RequestId;
  Record.m_Key = Call.m_Key;
  Record.m_Priority = Request.m_Priority;
  Record.m_From = Request.m_From;
  NewCall.m_Record = m_Server.records().add(std::move(Record));
  const SequenceId Id = m_Batch.add(std::move(Work));
  if (NewCall.m_Call.m_Stream &&
      NewCall.m_Fault.m_Mode != FaultMode::DropAnswer)
    NewCall.m_Answer->beginStream();
  m_Live.emplace(Id, std::move(NewCall));
  Call.m_Answer->onClosed([this, Id] { cancelled(Id); });
  proceed();
}

bool EngineServer::other(const UpstreamCall &Call) {
  if (Call.m_Path == "/v1/cancel") {
    cancelByName(json::parse(Call.m_Body).at("request_id").get<std::string>());
    Call.m_Answer->answer(200, "{}");
  } else if (Call.m_Path == "/v1/orders") {
    order(Call);
  } else if (Call.m_Path == "/orders") {
    Call.m_Answer->answer(200, json{{"orders", m_Orders}}.dump());
  } else {
    return false;
  }
  return true;
}

void EngineServer::order(const UpstreamCall &Call) {
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

void EngineServer::cancelByName(const std::string &RequestId) {
  std::vector<SequenceId> Matching;
  for (const auto &[Id, Call] : m_Live)
    if (Call.m_Call.m_RequestId == RequestId)
      Matching.push_back(Id);
  for (const SequenceId Id : Matching) {
    Live &Call = m_Live.at(Id);
    m_Batch.remove(Id);
    m_Server.records().at(Call.m_Record).m_Cancelled = true;
    complete(Id, Call, "cancelled");
  }
  noteLoad();
}

void EngineServer::faultSet(const Fault &NewFault) {
  m_Batch.setFactor(NewFault.m_Mode == FaultMode::Slow ? NewFault.m_Factor : 1);
  if (NewFault.m_Mode == FaultMode::Freeze) {
    m_Timer.stop();
    return;
  }
  if (NewFault.m_Mode == FaultMode::Crash) {
    m_Timer.stop();
    m_Batch.clear();
    m_Live.clear(); // Closes the connections of open answers.
    noteLoad();
    return;
  }
  proceed();
}

void EngineServer::proceed() {
  if (m_Server.frozen())
    return;
  // An idle engine begins now, but not before the end of its last step.
  const TimePoint Now = m_Server.clock().now();
  const TimePoint Start = m_StepEnd > Now ? m_StepEnd : Now;
  if (const std::optional<TimePoint> End = m_Batch.begin(Start)) {
    m_StepEnd = *End;
    m_Timer.wakeAt(*End);
  }
  noteLoad();
}

void EngineServer::stepDone() {
  for (const Generated &Token : m_Batch.finish())
    deliver(Token);
  // The next step begins where the last one ended, so that a late timer does
  // not slow the engine down.
  const TimePoint Now = m_Server.clock().now();
  const TimePoint Start = std::max(m_StepEnd, Now - MaxLateness);
  if (const std::optional<TimePoint> End = m_Batch.begin(Start)) {
    m_StepEnd = *End;
    m_Timer.wakeAt(*End);
  }
  noteLoad();
}

void EngineServer::deliver(const Generated &Token) {
  const auto Found = m_Live.find(Token.m_Sequence);
  if (Found == m_Live.end())
    return;
  Live &Call = Found->second;
  CallRecord &Record = m_Server.records().at(Call.m_Record);
  ++Record.m_Generated;
  const std::string Text = load::tokenText(Token.m_Index, Call.m_Call.m_Hash);
  if (Call.m_Call.m_Stream)
    Call.m_Answer->append(Call.m_Call.tokenEvent(Text));
  else
    Call.m_Text += Text;
  if (Call.m_Fault.m_Mode == FaultMode::CrashMidStream &&
      Record.m_Generated >= Call.m_Fault.m_AfterTokens) {
    m_Server.scheduler().after(FlushDelay,
                               [Answer = Call.m_Answer] { Answer->cut(); });
    m_Batch.remove(Token.m_Sequence);
    m_Live.erase(Found);
    return;
  }
  if (!Token.m_Last)
    return;
  Record.m_Finished = true;
  complete(Token.m_Sequence, Call, Call.m_Capped ? "length" : "stop");
}

void EngineServer::complete(SequenceId Id, Live &Call,
                            const std::string &Reason) {
  const CallRecord &Record = m_Server.records().at(Call.m_Record);
  const std::uint64_t Tokens = Record.m_From + Record.m_Generated;
  if (Call.m_Fault.m_Mode == FaultMode::DropAnswer) {
    Call.m_Answer->cut();
  } else if (Call.m_Call.m_Stream) {
    Call.m_Answer->append(Call.m_Call.endEvents(Reason, Tokens));
    Call.m_Answer->endStream();
  } else {
    Call.m_Answer->answer(200,
                          Call.m_Call.plainBody(Call.m_Text, Reason, Tokens));
  }
  m_Live.erase(Id);
}

void EngineServer::cancelled(SequenceId Id) {
  const auto Found = m_Live.find(Id);
  if (Found == m_Live.end())
    return;
  m_Batch.remove(Id);
  m_Server.records().at(Found->second.m_Record).m_Cancelled = true;
  m_Live.erase(Found);
  noteLoad();
}

void EngineServer::noteLoad() {
  LoadSnapshot Current;
  Current.m_When = m_Server.clock().now();
  Current.m_Running = m_Batch.running();
  Current.m_Waiting = m_Batch.waiting();
  Current.m_FreeBlocks = m_Batch.freeBlocks();
  m_Server.reports().note(Current);
}

} // namespace crowstep::standin
