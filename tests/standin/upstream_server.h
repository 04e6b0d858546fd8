/// The HTTP side that stand-in engines and plain services share: load, drain,
/// faults and record; what is left over is work and orders.
#ifndef CROWSTEP_STANDIN_UPSTREAM_SERVER_H
#define CROWSTEP_STANDIN_UPSTREAM_SERVER_H

#include "core/http_server.h"
#include "core/scheduler.h"
#include "standin/engine_settings.h"
#include "standin/exchange.h"
#include "standin/fault.h"
#include "standin/upstream_state.h"

namespace crowstep::standin {

/// A call that is neither refused nor cut by a fault.
struct UpstreamCall {
  std::string m_Path;   ///< Decoded.
  std::string m_Key;    ///< Idempotency-Key, or empty.
  std::string m_Body;   ///< Whole.
  ExchangePtr m_Answer; ///< To be answered.
  Fault m_Fault;        ///< Of this call: DropAnswer, CrashMidStream or None.
};

/// What an upstream of one kind does itself.
struct UpstreamHooks {
  /// Takes work, which is already admitted.
  std::function<void(UpstreamCall)> m_Work;
  /// Answers other paths, such as orders; returns false for an unknown one.
  std::function<bool(const UpstreamCall &)> m_Other;
  /// Told of each change of the fault switch.
  std::function<void(const Fault &)> m_FaultSet;
  /// Returns how many calls wait for a slot.
  std::function<std::size_t()> m_Waiting;
};

/// Server of one upstream.
class UpstreamServer {
public:
  UpstreamServer(const UpstreamSettings &With, UpstreamHooks Hooks);

  /// Begins to serve. \throws ListenError.
  void start();

  [[nodiscard]] const Clock &clock() const { return m_Clock; }
  [[nodiscard]] Scheduler &scheduler() { return m_Scheduler; }
  [[nodiscard]] CallRecords &records() { return m_Records; }
  [[nodiscard]] LoadReports &reports() { return m_Reports; }
  [[nodiscard]] bool frozen() const;

private:
  void handle(SoupServerMessage *Message, const std::string &Path);
  bool control(const UpstreamCall &Call);
  void setFault(const nlohmann::json &Body);
  void serve(const UpstreamCall &Call);
  void admit(UpstreamCall Call);
  void refuse(const UpstreamCall &Call, const std::string &Code);

  const UpstreamSettings &m_Settings; ///< Outlives the server.
  UpstreamHooks m_Hooks;              ///< Of the kind.
  LoopClock m_Clock;                  ///< Of steps and reports.
  LoopScheduler m_Scheduler;          ///< Of delays.
  HttpServer m_Server;                ///< Of this upstream.
  CallRecords m_Records;              ///< What ran.
  LoadReports m_Reports;              ///< What callers see.
  Fault m_Fault;                      ///< Present switch.
  bool m_Leaving = false;             ///< Takes no new work.
  std::vector<UpstreamCall> m_Held;   ///< Arrived while frozen or hung.
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_UPSTREAM_SERVER_H
