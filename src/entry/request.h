/// One request: its state machine between caller, placement and upstream.
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

/// HTTP status under which a claim keeps that a call's outcome is unknown; no
/// upstream's answer is recorded with it.
inline constexpr std::uint16_t OutcomeUnknownStatus = 599;

/// What every request needs; outlives them all.
struct RequestWorld {
  const Clock &m_Clock;       ///< For all ages.
  Scheduler &m_Timers;        ///< For limits and pauses.
  Placement &m_Placement;     ///< Source of slots.
  claim::Claims &m_Claims;    ///< For calls that may not be repeated.
  UpstreamCaller &m_Upstream; ///< Streamed calls.
  HttpCaller &m_Http;         ///< Orders to cancel.
  RequestLimits m_Limits;     ///< From the settings.
};

class Request final : private PlacementListener, private UpstreamListener {
public:
  /// \p Ended runs once nothing is left to do; the request may be destroyed
  /// from then on, but not from within.
  Request(RequestWorld &World, ClassStats &Stats, CallerRequest What,
          std::unique_ptr<Caller> Client, std::function<void()> Ended);
  ~Request() override;
  Request(const Request &) = delete;
  Request &operator=(const Request &) = delete;

  /// Begins; before this nothing has happened.
  void start();

private:
  void slotGranted(const GrantedSlot &Slot) override;
  void bidRefused(RefusalReason Reason, Duration RetryAfter) override;
  void slotPreempted(UpstreamId Upstream) override;
  void grantSuspect() override;
  void bidMoved() override;
  [[nodiscard]] std::uint32_t callTokens() const override;

  void upstreamHeaders(unsigned Status, const HeaderList &Headers) override;
  void upstreamBytes(std::string_view Bytes) override;
  void upstreamEnded(TransportEnd How) override;

  void handle(const RequestEvent &What);
  void carryOut(const PlaceBid &What);
  void carryOut(const WithdrawBid &What);
  void carryOut(const ReportFirstToken &What);
  void carryOut(const ReleaseSlot &What);
  void carryOut(const AskClaim &What);
  void carryOut(const ReadClaim &What);
  void carryOut(const RecordNotRun &What);
  void carryOut(const RecordRan &What);
  void carryOut(const SendCall &What);
  void carryOut(const CancelCall &What);
  void carryOut(const WakeAfter &What);
  void carryOut(const Refuse &What);
  void carryOut(const ReplayAnswer &What);
  void carryOut(const FinishAnswer &What);
  void carryOut(const CutAnswer &What);
  void carryOut(const DropAnswer &What);
  void carryOut(const CountRetry &What);

  void takeEvents(std::string_view Bytes);
  void relay(const EventBatch &Batch);
  void countTokens(std::uint32_t Count);
  void endCall(CallEnd How);
  [[nodiscard]] CallEnd wholeOrRefused() const;
  [[nodiscard]] CallerAnswer wholeAnswer() const;
  [[nodiscard]] claim::Claims::Done whenClaimed();
  [[nodiscard]] claim::Claims::Done whenRecorded();
  void count(RefusalReason Reason);

  RequestWorld &m_World;             ///< Outlives the request.
  ClassStats &m_Stats;               ///< Of the class.
  CallerRequest m_What;              ///< As read.
  std::unique_ptr<Caller> m_Caller;  ///< Never null.
  std::function<void()> m_Ended;     ///< Runs once.
  RequestCore m_Core;                ///< Decides.
  bool m_Busy = false;               ///< Within handle().
  bool m_Told = false;               ///< m_Ended has run.
  std::deque<RequestEvent> m_Events; ///< Waiting for the one at hand.
  std::shared_ptr<bool> m_Alive;     ///< False once destroyed; for claims.
  TimePoint m_Begin;                 ///< When the request was read.
  Timer m_Limit;                     ///< The class's longest wait.
  Timer m_Pause;                     ///< For WakeAfter.
  claim::AttemptId m_Attempt;        ///< Random; empty for repeatable classes.
  unsigned m_Calls = 0;              ///< Calls so far.
  std::string m_CallId;              ///< Names the present call at its engine.
  std::string m_RequestId;           ///< Random; calls are named after it.
  BidNumber m_Bid;                   ///< The present one.
  GrantedSlot m_Slot;                ///< Of the present call.

  std::unique_ptr<UpstreamCall> m_Call; ///< Null while none is under way.
  unsigned m_Status = 0;                ///< Of the upstream's answer.
  std::string m_ContentType;            ///< Of the upstream's answer.
  std::string m_Body;          ///< Of answers that aren't relayed as they come.
  EventSplitter m_Splitter;    ///< Of the present call.
  AnswerAssembler m_Assembler; ///< Of a plain answer.
  std::string m_KeptEvents;    ///< Relayed events, for the claim.
  bool m_Done = false;         ///< The engine said that the answer is whole.
  std::uint32_t m_CallTokens = 0; ///< Of the present call.
  std::uint32_t m_Tokens = 0;     ///< Of the answer.
  TimePoint m_LastToken;          ///< For the gaps.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_REQUEST_H
