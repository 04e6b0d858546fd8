/// One request on its way through the gateway.
///
/// What a caller may be told depends on m_MayHaveRun. It is set when a call
/// that may have reached an upstream is answered or ends, unless the upstream
/// itself states that it did not run the call, and is never cleared. Between
/// calls, a request without it has provably not run; with it, only a retryable
/// request is sent again.
#ifndef CROWSTEP_GATEWAY_FORWARDED_REQUEST_H
#define CROWSTEP_GATEWAY_FORWARDED_REQUEST_H

#include "balance/balancer.h"
#include "balance/retry_budget.h"
#include "content_hash.h"
#include "core/scheduler.h"
#include "duty/usage_meter.h"
#include "gateway/admission.h"
#include "gateway/answer_memory.h"
#include "gateway/call_transport.h"
#include "gateway/crash_watch.h"
#include "gateway/directory.h"
#include "gateway/gateway_stats.h"
#include "gateway/software_history.h"
#include "gateway/wait_queue.h"
#include "http/caller.h"
#include "http/sse_splitter.h"
#include "http/upstream_call.h"
#include "resume/origin_directory.h"
#include "waiting/wait_policy.h"

#include <functional>
#include <memory>

namespace crowstep::gateway {

/// Shared by all requests; everything outlives them.
struct ForwardContext {
  const Clock &m_Clock;                     ///< Of the loop.
  Scheduler &m_Timers;                      ///< Of the loop.
  balance::Balancer &m_Balancer;            ///< Chooses upstreams.
  balance::RetryBudget &m_Budget;           ///< Limits retries.
  CallTransport &m_Transport;               ///< Sends calls.
  CrashWatch &m_CrashWatch;                 ///< Handles broken calls.
  resume::OriginDirectory &m_Origins;       ///< Knows where streams began.
  const SoftwareHistory &m_SoftwareHistory; ///< Of the upstreams.
  const HeaderCodec &m_Codec;               ///< Reads and writes headers.
  GatewayStats &m_Stats;                    ///< Metrics.
  WaitQueue &m_WaitQueue;                   ///< Calls that wait for room.
  AnswerMemory &m_AnswerMemory;             ///< Of all calls.
  std::function<double()> m_Random;         ///< In [0, 1).
  std::function<bool()> m_IsClosing;        ///< Connections are to be closed.
  duty::UsageMeter *m_Usage = nullptr;      ///< Null: usage is not counted.

  /// Called when a resumable stream of a service begins at a process whose
  /// version can't be proven; may be empty.
  std::function<void(const std::string &Service)> m_OnUnproven{};

  /// Returns whether the register of software versions is up to date; empty: it
  /// always is.
  std::function<bool()> m_IsRegisterCurrent{};

  /// See Directory::confirmSoftware(); empty: what is known is always current.
  std::function<void(const Directory::ConfirmCallback &)> m_ConfirmSoftware{};

  waiting::WaitPolicy *m_WaitPolicy =
      nullptr; ///< Null: no call waits by prediction.
};

class ForwardedRequest final : private UpstreamListener {
public:
  /// \p OnEnded runs once, when the request has ended; the request may not be
  /// destroyed from within it.
  ForwardedRequest(ForwardContext &Context, IncomingRequest Request,
                   AdmittedRequest Admission, std::unique_ptr<Caller> From,
                   std::function<void()> OnEnded);
  ~ForwardedRequest() override;
  ForwardedRequest(const ForwardedRequest &) = delete;
  ForwardedRequest &operator=(const ForwardedRequest &) = delete;

  /// Starts the first attempt.
  void start();

  /// Ends the request as the instance shuts down: a stream that has begun is
  /// visibly incomplete, others are refused, with \p RetryAfter if they have
  /// not run.
  void cut(Duration RetryAfter);

private:
  void upstreamHeaders(unsigned Status, const HeaderList &Headers) override;
  void upstreamBytes(std::string_view Bytes) override;
  void upstreamEnded(TransportEnd End) override;
  void upstreamUnreachable() override;

  void findOrigin();
  void handleOrigin(const resume::LookupResult &Found);
  void confirmSoleVersion(const resume::LookupResult &Found);
  void continueFromSoleVersion(const resume::LookupResult &Found,
                               bool IsConfirmed);
  void refuseUnknownOrigin(const resume::LookupResult &Found, bool MayChange);
  void reportUnproven();
  void continueFrom(const resume::StreamOrigin &Origin);
  void recordOrigin();
  void placeFirst();
  [[nodiscard]] balance::PlacementQuery placementQuery() const;
  void attempt();
  void beginWait();
  [[nodiscard]] balance::PlacementResult tryPlacement();
  [[nodiscard]] bool isPlacedByPrediction() const;
  void waitByPrediction(const balance::PlacementInputs &Inputs);
  void leaveQueue();
  void enqueue();
  [[nodiscard]] WaitingCall waitingCall() const;
  [[nodiscard]] waiting::CallWork expectedWork() const;
  [[nodiscard]] bool wasInTime() const;
  void recordWaitEnd(std::string_view Outcome);
  void waitForRoom(const balance::PlacementInputs &Inputs);
  [[nodiscard]] bool mayWait() const;
  [[nodiscard]] bool mayWaitFor(Duration More) const;
  [[nodiscard]] bool mayWaitForPause(const balance::NotPlaced &Unplaced) const;
  void send(const balance::Placed &Placement);
  void endCall(balance::CallOutcome Outcome);
  void handleUnsent(balance::CallOutcome Outcome);
  void handleUnproven();
  void handleBrokenAnswer();
  void leaveSilentCall(balance::CallOutcome Outcome, RetryReason Reason);
  void retry(RetryReason Reason);
  [[nodiscard]] bool mayRetry() const;
  void refuse(RefusalReason Reason, Duration RetryAfter);

  void applyStatedLimit(const AnswerFacts &Facts);
  void applyStatedBrittleness(const AnswerFacts &Facts);
  void applyStatedLeave(const AnswerFacts &Facts);
  void applyRequestedPause(const AnswerFacts &Facts);
  void handleFailure(balance::CallOutcome Outcome, RetryReason Reason);
  void handleRefusal(balance::CallOutcome Outcome);
  void relayEvents(std::string_view Bytes);
  void relayEvent(const SseEvent &Event);
  void pauseForSlowCaller();
  void resumeAfterPause();
  void startEventSilenceTimer();
  void beginStream();
  void recordStreamSoftware();
  [[nodiscard]] std::string streamSoftwareText() const;
  void handleStreamEnd();
  void handlePlainEnd();
  void answerPlain();
  void recordUsage();

  void startSilenceTimer(Duration Limit);
  void handleSilence();
  void handleDeadline();
  void dropCall();
  void logCut() const;
  void handleCallerGone();
  void finish(std::string_view Outcome);

  [[nodiscard]] const EventStream *eventStream() const {
    return m_Admitted.eventStream();
  }
  [[nodiscard]] bool isRetryable() const {
    return mayRunAgain(m_Admitted.m_Route->m_Kind);
  }
  [[nodiscard]] bool isEventStream() const;

  /// Returns whether the caller has events of the stream from an earlier
  /// attempt.
  [[nodiscard]] bool isResumed() const { return m_Admitted.isResumed(); }
  [[nodiscard]] RetryReason closeReason() const;
  [[nodiscard]] Duration timeLeft() const;
  [[nodiscard]] Duration firstByteTimeout() const;
  [[nodiscard]] HeaderList answerHeaders() const;
  [[nodiscard]] std::string chooseService() const;

  ForwardContext &m_Context;  ///< Outlives the request.
  IncomingRequest m_Request;  ///< As received.
  AdmittedRequest m_Admitted; ///< Its route and facts.
  /// The request is equal in all of the caller's attempts; the segments are
  /// those for m_Service.
  quarantine::CallSuspects m_Suspects;
  std::unique_ptr<Caller> m_Caller; ///< Gets the answer.
  std::function<void()> m_OnEnded;  ///< Empty once it has run.
  RouteStats &m_Stats;              ///< Of its route.
  std::string m_Service;            ///< Chosen by the route's shares.
  TimePoint m_ArrivedAt;            ///< When it arrived.
  TimePoint m_Deadline;             ///< The route's or caller's, if earlier.
  Timer m_DeadlineTimer;            ///< Runs until m_Deadline.
  Timer m_SilenceTimer;             ///< Runs while bytes are awaited.
  Timer m_RetryTimer;               ///< Delays an attempt, or limits the
                                    ///< time for m_Confirmation.

  /// Where the stream began; none: at no upstream so far. With an unknown
  /// version it can't be continued.
  std::optional<resume::StreamOrigin> m_Origin;

  std::unique_ptr<resume::OriginLookup>
      m_OriginLookup; ///< Set while other instances are asked.

  Directory::ConfirmCallback
      m_Confirmation; ///< Set while the sole version is confirmed.

  std::unique_ptr<WaitQueue::Entry>
      m_QueueEntry;            ///< Set while it waits for room.
  bool m_WaitTimedOut = false; ///< It may not wait for room again.
  std::unique_ptr<waiting::CallWait>
      m_Wait; ///< Null: the call doesn't wait by prediction.
  std::optional<waiting::WaitVerdict> m_GivenUp; ///< Why it was refused by it.
  Duration m_QueueTime{};               ///< Total time that it waited for room.
  std::unique_ptr<UpstreamCall> m_Call; ///< Null between calls.
  balance::TicketId m_Ticket;           ///< Of m_Call.
  std::string m_Upstream;               ///< Name of the last one called.
  bool m_SkipsProcessCheck = false;     ///< An upstream could not prove which
                                        ///< process it is.
  SoftwareVersion m_Software;           ///< Of the last upstream called.
  std::vector<std::string> m_StreamSoftware;  ///< Of the upstreams whose events
                                              ///< the caller has, in order.
  Address m_Address;                          ///< Of the last call's upstream.
  balance::PlacementInputs m_PlacementInputs; ///< Of the last placement.
  std::optional<ContentHash> m_HeldBy; ///< The suspect that it was refused for.
  TimePoint m_FirstOutputAt{}; ///< First body bytes of the current call.
  TimePoint m_FirstEventAt{};  ///< When it was relayed.
  TimePoint m_LastEventAt{};   ///< When it was relayed.
  Duration m_LongestPause{};   ///< Between two events so far.
  std::vector<UpstreamId> m_TriedUpstreams; ///< The current one is the last.
  unsigned m_Attempts = 0;                  ///< Not counting unsent ones.
  unsigned m_UnsentAttempts = 0;            ///< Without a connection.
  bool m_MayHaveRun = false;                ///< See the head of this file.

  unsigned m_Status = 0;           ///< Of the current answer; 0: none.
  bool m_IsCloseDelimited = false; ///< The current answer's body.
  HeaderList m_AnswerHeaders;      ///< Kept once a stream has begun.
  std::string m_Body;              ///< Of a plain answer so far.
  AnswerMemory::Part m_Held;       ///< m_Body, or an incomplete event.
  SseSplitter m_Splitter;          ///< Of the current call's stream.
  bool m_Streaming = false;        ///< The stream's headers were sent.
  bool m_IsPaused = false;         ///< m_Call is not read: the caller is slow.
  bool m_UsageRecorded = false;    ///< The request was counted.
  std::optional<std::uint64_t>
      m_LastEventId;                  ///< Last event that the caller has.
  std::size_t m_EventCount = 0;       ///< Sent to the caller.
  std::size_t m_EventsBeforeCall = 0; ///< m_EventCount as the call was sent.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_FORWARDED_REQUEST_H
