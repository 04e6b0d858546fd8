/// A stand-in model engine behind HTTP.
#ifndef CROWSTEP_STANDIN_ENGINE_SERVER_H
#define CROWSTEP_STANDIN_ENGINE_SERVER_H

#include "standin/completion.h"
#include "standin/engine_batch.h"
#include "standin/step_timer.h"
#include "standin/upstream_server.h"

namespace crowstep::standin {

/// One engine; one timer for all its sequences.
class EngineServer {
public:
  explicit EngineServer(EngineSettings With);
  void start() { m_Server.start(); }

private:
  struct Live {
    Completion m_Call;         ///< What was asked for.
    ExchangePtr m_Answer;      ///< Where it goes.
    Fault m_Fault;             ///< Of this call.
    std::size_t m_Record = 0;  ///< Its index.
    std::uint64_t m_Total = 0; ///< Length of the whole answer.
    bool m_Capped = false;     ///< By max_tokens.
    std::string m_Text;        ///< Collected for a plain answer.
  };

  void work(const UpstreamCall &Call);
  bool other(const UpstreamCall &Call);
  void cancelByName(const std::string &RequestId);
  void order(const UpstreamCall &Call);
  void faultSet(const Fault &Set);
  void proceed();
  void stepDone();
  void deliver(const Generated &Token);
  void complete(SequenceId Id, Live &Call, const std::string &Reason);
  void cancelled(SequenceId Id);
  void noteLoad();

  EngineSettings m_Settings;          ///< As read at the start.
  UpstreamServer m_Server;            ///< HTTP side.
  EngineBatch m_Batch;                ///< What runs.
  StepTimer m_Timer;                  ///< End of the present step.
  TimePoint m_StepEnd;                ///< When m_Timer falls due.
  std::map<SequenceId, Live> m_Live;  ///< Open calls.
  std::uint64_t m_HighestFencing = 0; ///< Of all orders.
  nlohmann::json m_Orders = nlohmann::json::array(); ///< All, for tests.
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_ENGINE_SERVER_H
