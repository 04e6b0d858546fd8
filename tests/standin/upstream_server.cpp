/// Admission, faults and control paths of a stand-in upstream.
#include "standin/upstream_server.h"

using nlohmann::json;

namespace crowstep::standin {

namespace {

bool isWorkPath(const std::string &Path) {
  return Path == "/v1/chat/completions" || Path == "/v1/completions" ||
         Path.starts_with("/v1/services/");
}

} // namespace

UpstreamServer::UpstreamServer(const UpstreamSettings &Config,
                               UpstreamHooks Hooks)
    : m_Settings(Config), m_Hooks(std::move(Hooks)),
      m_Reports(Config.m_ReportLag) {}

void UpstreamServer::start() {
  m_Server.listen(m_Settings.m_Listen,
                  [this](SoupServerMessage *Message, const char *Path) {
                    handle(Message, Path);
                  });
}

bool UpstreamServer::isFrozen() const {
  return m_Fault.m_Mode == FaultMode::Freeze;
}

void UpstreamServer::handle(SoupServerMessage *Message,
                            const std::string &Path) {
  UpstreamCall Call{Path, requestHeader(Message, "Idempotency-Key"),
                    requestBody(Message), std::make_shared<Exchange>(Message),
                    Fault()};
  try {
    if (handleControl(Call))
      return;
    serve(Call);
  } catch (const std::exception &Failure) {
    Call.m_Answer->answer(
        400, json{{"error",
                   {{"type", "invalid_request"}, {"message", Failure.what()}}}}
                 .dump());
  }
}

bool UpstreamServer::handleControl(const UpstreamCall &Call) {
  if (Call.m_Path == "/faults")
    setFault(json::parse(Call.m_Body));
  else if (Call.m_Path == "/record")
    Call.m_Answer->answer(200, m_Records.allJson().dump());
  else if (Call.m_Path == "/record/sums")
    Call.m_Answer->answer(200, m_Records.sumsJson().dump());
  else
    return false;
  Call.m_Answer->answer(200, "{}");
  return true;
}

void UpstreamServer::setFault(const json &Body) {
  if (Body.contains("report_lag_ms"))
    m_Reports.setLag(
        std::chrono::milliseconds(Body["report_lag_ms"].get<int>()));
  if (!Body.contains("mode"))
    return;
  m_Fault = Fault::parse(Body);
  m_Hooks.m_OnFault(m_Fault);
  if (isFrozen())
    return;
  // As with the socket buffers of a stopped process, calls that arrived in the
  // meantime are handled now, even if the caller has closed.
  for (UpstreamCall &Call : std::exchange(m_HeldCalls, {}))
    serve(Call);
}

void UpstreamServer::serve(const UpstreamCall &Call) {
  if (isFrozen()) {
    m_HeldCalls.push_back(Call);
    return;
  }
  if (m_Fault.m_Mode == FaultMode::Crash) {
    Call.m_Answer->closeConnection();
    return;
  }
  if (isWorkPath(Call.m_Path)) {
    m_Scheduler.runAfter(m_Settings.m_ClientDelay,
                         [this, Call] { admit(Call); });
    return;
  }
  if (Call.m_Path == "/v1/load") {
    Call.m_Answer->answer(
        200, m_Reports.visibleReport(m_Clock.now(), m_Draining).dump());
  } else if (Call.m_Path == "/v1/drain") {
    m_Draining = json::parse(Call.m_Body).at("leaving").get<bool>();
    Call.m_Answer->answer(200, "{}");
  } else if (!m_Hooks.m_HandleOther(Call)) {
    Call.m_Answer->answer(404, R"({"error":{"type":"unknown_path"}})");
  }
}

void UpstreamServer::admit(UpstreamCall Call) {
  const Fault Active = m_Fault.takeForCall();
  Call.m_Fault = Active;
  switch (Active.m_Mode) {
  case FaultMode::Refuse:
    refuse(Call, "busy");
    return;
  case FaultMode::Crash:
  case FaultMode::CloseBeforeByte:
    Call.m_Answer->closeConnection();
    return;
  case FaultMode::Freeze:
  case FaultMode::Hang:
    m_HeldCalls.push_back(Call);
    return;
  case FaultMode::Delay:
    Call.m_Fault = Fault();
    m_Scheduler.runAfter(Active.m_Delay,
                         [this, Call] { m_Hooks.m_HandleWork(Call); });
    return;
  default:
    break;
  }
  if (m_Draining)
    refuse(Call, "leaving");
  else if (m_Hooks.m_WaitingCount() >= m_Settings.m_QueueLimit)
    refuse(Call, "busy");
  else
    m_Hooks.m_HandleWork(std::move(Call));
}

void UpstreamServer::refuse(const UpstreamCall &Call, const std::string &Code) {
  Call.m_Answer->answer(
      503, json{{"error", {{"type", "not_run"}, {"code", Code}}}}.dump());
}

} // namespace crowstep::standin
