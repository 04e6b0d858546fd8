/// A stand-in model engine with an HTTP server.
#ifndef CROWSTEP_STANDIN_ENGINE_SERVER_H
#define CROWSTEP_STANDIN_ENGINE_SERVER_H

#include "standin/completion.h"
#include "standin/engine_batch.h"
#include "standin/step_timer.h"
#include "standin/upstream_server.h"

namespace crowstep::standin {

/// One engine; one timer drives the steps of all its sequences.
class EngineServer {
public:
  explicit EngineServer(EngineSettings Config);
  void start() { m_Server.start(); }

private:
  struct OpenCall {
    Completion m_Completion;         ///< The request.
    ExchangePtr m_Answer;            ///< The open answer.
    Fault m_Fault;                   ///< Fault that applies to this call.
    std::size_t m_RecordIndex = 0;   ///< Index in the call records.
    std::uint64_t m_TotalTokens = 0; ///< Length of the answer.
    bool m_HitsMaxTokens = false;    ///< max_tokens ends the answer early.
    std::string m_Text;              ///< Of a plain answer, so far.
  };

  void handleWork(const UpstreamCall &Call);
  bool handleOther(const UpstreamCall &Call);
  void cancelByRequestId(const std::string &RequestId);
  void handleOrder(const UpstreamCall &Call);
  void applyFault(const Fault &NewFault);
  void startStep();
  void finishStep();
  void sendToken(const GeneratedToken &Token);
  void complete(SequenceId Id, OpenCall &Call, const std::string &Reason);
  void handleClosed(SequenceId Id);
  void recordLoad();

  EngineSettings m_Settings; ///< Orders change the models.
  UpstreamServer m_Server;   ///< HTTP, admission, faults, reports.
  EngineBatch m_Batch;       ///< Waiting and running sequences.
  StepTimer m_Timer;         ///< Fires at the end of a step.
  TimePoint m_StepEnd;       ///< End of the newest step.
  std::map<SequenceId, OpenCall>
      m_OpenCalls;                    ///< Calls that are not answered yet.
  std::uint64_t m_HighestFencing = 0; ///< Of all orders received.
  nlohmann::json m_Orders =
      nlohmann::json::array(); ///< All received, for GET /orders.
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_ENGINE_SERVER_H
