/// One request: drives its state machine with events from the caller, the
/// placement and the upstream.
#ifndef CROWSTEP_ENTRY_REQUEST_H
#define CROWSTEP_ENTRY_REQUEST_H

#include "entry/caller_request.h"
#include "entry/entry_settings.h"
#include "entry/entry_stats.h"
#include "entry/event_stream.h"
#include "entry/placement.h"
#include "entry/request_core.h"
#include "http/caller.h"
#include "http/http_client.h"
#include "http/upstream_call.h"

#include <deque>
#include <memory>
#include <optional>

namespace crowstep::entry {

/// HTTP status of a recorded answer that stands for an unknown outcome. Answers
/// of upstreams are never recorded with it.
inline constexpr std::uint16_t OutcomeUnknownStatus = 599;

/// Dependencies of requests; outlives all of them.
struct RequestContext {
  const Clock &m_Clock;              ///< Clock of the event loop.
  Scheduler &m_Timers;               ///< For limits and waits.
  Placement &m_Placement;            ///< Grants slots.
  claim::Claims &m_Claims;           ///< For calls that are not repeatable.
  UpstreamClient &m_UpstreamClient;  ///< Sends calls to upstreams.
  HttpClientInterface &m_HttpClient; ///< Sends orders to cancel calls.
  RequestLimits m_Limits;            ///< From the settings.
};

class Request final : private PlacementListener, private UpstreamListener {
public:
  /// \p OnEnded is called once when no action is outstanding any more. The
  /// request may be destroyed after that call, but not within it.
  Request(RequestContext &Context, ClassStats &Stats, CallerRequest Parsed,
          std::unique_ptr<Caller> Client, std::function<void()> OnEnded);
  ~Request() override;
  Request(const Request &) = delete;
  Request &operator=(const Request &) = delete;

  /// Starts the request; the constructor has no effects outside of it.
  void start();

private:
  void slotGranted(const GrantedSlot &Slot) override;
  void bidRefused(RefusalReason Reason, Duration RetryAfter) override;
  void slotPreempted(UpstreamId Upstream) override;
  void grantBecameSuspect() override;
  void bidMoved() override;
  [[nodiscard]] std::uint32_t callTokens() const override;

  void upstreamHeaders(unsigned Status, const HeaderList &Headers) override;
  void upstreamBytes(std::string_view Bytes) override;
  void upstreamEnded(TransportEnd End) override;

  void handle(const RequestEvent &Event);
  void carryOut(const PlaceBid &Action);
  void carryOut(const WithdrawBid &Action);
  void carryOut(const ReportFirstToken &Action);
  void carryOut(const ReleaseSlot &Action);
  void carryOut(const RequestClaim &Action);
  void carryOut(const ReadClaim &Action);
  void carryOut(const RecordNotRun &Action);
  void carryOut(const RecordRan &Action);
  void carryOut(const SendCall &Action);
  void carryOut(const CancelCall &Action);
  void carryOut(const WakeAfter &Action);
  void carryOut(const Refuse &Action);
  void carryOut(const ReplayAnswer &Action);
  void carryOut(const FinishAnswer &Action);
  void carryOut(const CutAnswer &Action);
  void carryOut(const DropAnswer &Action);
  void carryOut(const CountRetry &Action);

  void processEvents(std::string_view Bytes);
  void relayEvents(const EventBatch &Batch);
  void countTokens(std::uint32_t Count);
  void endCall(CallEnd End);
  [[nodiscard]] CallEnd classifyAnswer() const;
  [[nodiscard]] CallerAnswer completeAnswer() const;
  [[nodiscard]] claim::Claims::Done claimCallback();
  [[nodiscard]] claim::Claims::Done recordCallback();
  void countRefusal(RefusalReason Reason);

  RequestContext &m_Context;         ///< Outlives the request.
  ClassStats &m_Stats;               ///< Metrics of the class.
  CallerRequest m_CallerRequest;     ///< As parsed.
  std::unique_ptr<Caller> m_Caller;  ///< Never null.
  std::function<void()> m_OnEnded;   ///< Called once.
  RequestCore m_Core;                ///< State machine.
  bool m_IsHandling = false;         ///< handle() is on the stack.
  bool m_EndNotified = false;        ///< m_OnEnded has been called.
  std::deque<RequestEvent> m_Events; ///< Not yet handled.
  std::shared_ptr<bool> m_Alive;     ///< False once destroyed.
  TimePoint m_ArrivedAt;             ///< When the request was read.
  Timer m_LimitTimer;                ///< Total time limit of the class.
  Timer m_WakeTimer;                 ///< For WakeAfter.
  claim::AttemptId m_AttemptId;      ///< Random; empty for repeatable classes.
  unsigned m_CallCount = 0;          ///< Calls to engines so far.
  std::string m_CallId;              ///< Id of the current call at its engine.
  std::string m_RequestId;           ///< Random; prefix of the call ids.
  BidNumber m_BidNumber;             ///< Of the current bid.
  GrantedSlot m_Slot;                ///< Of the current call.

  std::unique_ptr<UpstreamCall> m_Call; ///< Null while none is in progress.
  unsigned m_Status = 0;                ///< Of the upstream's answer.
  std::string m_ContentType;            ///< Of the upstream's answer.
  std::string m_Body;             ///< Of answers other than an engine's stream.
  EventSplitter m_Splitter;       ///< Of the current call.
  AnswerAssembler m_Assembler;    ///< For an answer without streaming.
  std::string m_KeptEvents;       ///< Relayed events, for the claim.
  bool m_StreamDone = false;      ///< The engine has sent [DONE].
  std::uint32_t m_CallTokens = 0; ///< Of the current call.
  std::uint32_t m_AnswerTokens = 0; ///< Of the answer.
  TimePoint m_LastTokenAt;          ///< For the gaps between tokens.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_REQUEST_H
