/// Queue and execution of calls at a stand-in plain service.
#include "standin/service_server.h"

#include <xxhash.h>

using nlohmann::json;

namespace crowstep::standin {

ServiceServer::ServiceServer(UpstreamSettings Config)
    : m_Settings(std::move(Config)),
      m_Server(m_Settings,
               {[this](UpstreamCall Call) { handleWork(std::move(Call)); },
                [](const UpstreamCall &) { return false; },
                [this](const Fault &NewFault) {
                  m_Slowdown = NewFault.m_Mode == FaultMode::Slow
                                   ? NewFault.m_Slowdown
                                   : 1;
                },
                [this] { return m_Waiting.size(); }}) {}

void ServiceServer::handleWork(UpstreamCall Call) {
  m_Waiting.push_back(std::move(Call));
  startWaitingCalls();
}

void ServiceServer::startWaitingCalls() {
  while (!m_Waiting.empty() && m_RunningCount < m_Settings.m_Slots) {
    startCall(m_Waiting.front());
    m_Waiting.pop_front();
  }
  LoadSnapshot Current;
  Current.m_TakenAt = m_Server.clock().now();
  Current.m_Running = m_RunningCount;
  Current.m_Waiting = m_Waiting.size();
  m_Server.reports().addSnapshot(Current);
}

void ServiceServer::startCall(const UpstreamCall &Call) {
  ++m_RunningCount;
  const json Body = json::parse(Call.m_Body, nullptr, false);
  CallRecord Record;
  Record.m_IdempotencyKey = Call.m_IdempotencyKey;
  if (Body.is_object()) {
    Record.m_RequestId = Body.value("request_id", "");
    Record.m_Priority = Body.value("priority", 0);
  }
  const std::size_t Index = m_Server.records().add(std::move(Record));
  const auto WorkTime =
      std::chrono::round<Duration>(m_Settings.m_ServiceTime * m_Slowdown);
  m_Server.scheduler().runAfter(
      WorkTime, [this, Call, Index] { finishCall(Call, Index); });
}

void ServiceServer::finishCall(const UpstreamCall &Call, std::size_t Record) {
  --m_RunningCount;
  m_Server.records().at(Record).m_Finished = true;
  const json Answer = {
      {"service", m_Settings.m_Service},
      {"path", Call.m_Path},
      {"call", ++m_FinishedCalls},
      {"body_hash", XXH3_64bits(Call.m_Body.data(), Call.m_Body.size())}};
  if (Call.m_Fault.m_Mode == FaultMode::DropAnswer)
    Call.m_Answer->closeConnection();
  else
    Call.m_Answer->answer(200, Answer.dump());
  startWaitingCalls();
}

} // namespace crowstep::standin
