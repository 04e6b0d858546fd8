/// The HTTP server that stand-in engines and plain services share: admission,
/// load reports, draining, faults and call records. Work and other paths, such
/// as orders, are passed to the upstream's hooks.
#ifndef CROWSTEP_STANDIN_UPSTREAM_SERVER_H
#define CROWSTEP_STANDIN_UPSTREAM_SERVER_H

#include "core/http_server.h"
#include "core/scheduler.h"
#include "standin/engine_settings.h"
#include "standin/exchange.h"
#include "standin/fault.h"
#include "standin/upstream_state.h"

namespace crowstep::standin {

/// A received call.
struct UpstreamCall {
  std::string m_Path;           ///< Decoded, without the query.
  std::string m_IdempotencyKey; ///< Idempotency-Key, or empty.
  std::string m_Body;           ///< Request body.
  ExchangePtr m_Answer;         ///< The open answer.
  Fault m_Fault;                ///< The hooks apply DropAnswer, CrashMidStream.
};

/// Behaviour that depends on the kind of upstream.
struct UpstreamHooks {
  /// Executes an admitted call.
  std::function<void(UpstreamCall)> m_HandleWork;
  /// Answers other paths, such as orders; returns false for an unknown path.
  std::function<bool(const UpstreamCall &)> m_HandleOther;
  /// Called on each change of the fault.
  std::function<void(const Fault &)> m_OnFault;
  /// Returns the number of calls that wait for a slot.
  std::function<std::size_t()> m_WaitingCount;
};

/// HTTP server of one upstream.
class UpstreamServer {
public:
  UpstreamServer(const UpstreamSettings &Config, UpstreamHooks Hooks);

  /// Starts the server. \throws ListenError.
  void start();

  [[nodiscard]] const Clock &clock() const { return m_Clock; }
  [[nodiscard]] Scheduler &scheduler() { return m_Scheduler; }
  [[nodiscard]] CallRecords &records() { return m_Records; }
  [[nodiscard]] LoadReports &reports() { return m_Reports; }
  [[nodiscard]] bool isFrozen() const;

private:
  void handle(SoupServerMessage *Message, const std::string &Path);
  bool handleControl(const UpstreamCall &Call);
  void setFault(const nlohmann::json &Body);
  void serve(const UpstreamCall &Call);
  void admit(UpstreamCall Call);
  void refuse(const UpstreamCall &Call, const std::string &Code);

  const UpstreamSettings &m_Settings;    ///< Outlives the server.
  UpstreamHooks m_Hooks;                 ///< Of engine or service.
  LoopClock m_Clock;                     ///< For steps and reports.
  LoopScheduler m_Scheduler;             ///< For delays of calls.
  HttpServer m_Server;                   ///< Listens for this upstream.
  CallRecords m_Records;                 ///< Calls that ran, for tests.
  LoadReports m_Reports;                 ///< Load reports, late by the lag.
  Fault m_Fault;                         ///< Fault in force.
  bool m_Draining = false;               ///< Refuses new work.
  std::vector<UpstreamCall> m_HeldCalls; ///< By Freeze or Hang.
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_UPSTREAM_SERVER_H
