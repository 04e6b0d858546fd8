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
#include "gateway/admission.h"
#include "gateway/crash_watch.h"
#include "gateway/gateway_stats.h"
#include "gateway/waiting_room.h"
#include "http/caller.h"
#include "http/sse_splitter.h"
#include "http/upstream_call.h"

#include <functional>
#include <memory>

namespace crowstep::gateway {

/// Shared by all requests; everything outlives them.
struct ForwardWorld {
  const Clock &m_Clock;             ///< Of the loop.
  Scheduler &m_Timers;              ///< Of the loop.
  balance::Balancer &m_Balancer;    ///< Chooses upstreams.
  balance::RetryBudget &m_Budget;   ///< Limits retries.
  UpstreamCaller &m_Upstream;       ///< Sends calls.
  CrashWatch &m_Crashes;            ///< Handles broken calls.
  const HeaderCodec &m_Codec;       ///< Reads and writes headers.
  GatewayStats &m_Stats;            ///< Metrics.
  WaitingRoom &m_Waiting;           ///< Calls that wait for room.
  std::function<double()> m_Random; ///< In [0, 1).
  std::function<bool()> m_Leaving;  ///< Connections are to be closed.
};

class ForwardedRequest final : private UpstreamListener {
public:
  /// \p OnEnded runs once, when the request has ended; the request may not be
  /// destroyed from within it.
  ForwardedRequest(ForwardWorld &Context, IncomingRequest Request,
                   Admitted Admission, std::unique_ptr<Caller> From,
                   std::function<void()> OnEnded);
  ~ForwardedRequest() override;
  ForwardedRequest(const ForwardedRequest &) = delete;
  ForwardedRequest &operator=(const ForwardedRequest &) = delete;

  /// Starts the first attempt.
  void start();

private:
  void upstreamHeaders(unsigned Status, const HeaderList &Headers) override;
  void upstreamBytes(std::string_view Bytes) override;
  void upstreamEnded(TransportEnd End) override;

  void attempt();
  void waitForRoom(const balance::PlacementInputs &Inputs);
  [[nodiscard]] bool mayWait() const;
  void send(const balance::Placed &Placement);
  void endCall(balance::CallOutcome Outcome);
  void tryAgain(RetryReason Reason);
  [[nodiscard]] bool mayTryAgain() const;
  void giveUp(RefusalReason Reason, Duration RetryAfter);

  void takeLimit(const AnswerFacts &Facts);
  void upstreamFailed(balance::CallOutcome Outcome, RetryReason Reason);
  void upstreamRefused(balance::CallOutcome Outcome);
  void takeEvents(std::string_view Bytes);
  void relay(const SseEvent &Event);
  void beginStream();
  void streamEnded();
  void plainEnded();
  void answerPlain();

  void watchSilence(Duration Limit);
  void silent();
  void timeIsOver();
  void callerGone();
  void ended(std::string_view Outcome);

  [[nodiscard]] const EventStream *stream() const {
    return std::get_if<EventStream>(&m_What.m_Route->m_Kind);
  }
  [[nodiscard]] bool repeatable() const {
    return mayRunAgain(m_What.m_Route->m_Kind);
  }
  [[nodiscard]] bool relaysEvents() const;
  [[nodiscard]] RetryReason closedWhen() const;
  [[nodiscard]] Duration timeLeft() const;
  [[nodiscard]] Duration firstByteLimit() const;
  [[nodiscard]] HeaderList answerHeaders() const;
  [[nodiscard]] std::string chooseService() const;

  ForwardWorld &m_World;            ///< Outlives the request.
  IncomingRequest m_Request;        ///< As received.
  Admitted m_What;                  ///< Its route and facts.
  ContentHash m_Content;            ///< Equal in all of the caller's attempts.
  std::unique_ptr<Caller> m_Caller; ///< Gets the answer.
  std::function<void()> m_OnEnded;  ///< Empty once it has run.
  RouteStats &m_Stats;              ///< Of its route.
  std::string m_Service;            ///< Chosen by the route's shares.
  TimePoint m_Begin;                ///< When it arrived.
  TimePoint m_EndBy;                ///< The route's or caller's, if earlier.
  Timer m_Limit;                    ///< Runs until m_Deadline.
  Timer m_Silence;                  ///< Runs while bytes are awaited.

  std::unique_ptr<WaitingRoom::Place> m_Place; ///< Set while it waits for room.
  bool m_WaitedInVain = false;          ///< It may not wait for room again.
  Duration m_Waited{};                  ///< Total time that it waited for room.
  std::unique_ptr<UpstreamCall> m_Call; ///< Null between calls.
  balance::TicketId m_Ticket;           ///< Of m_Call.
  std::string m_Upstream;               ///< Name of the last one called.
  Address m_Address;                    ///< Of the last call's upstream.
  balance::PlacementInputs m_Why;       ///< Of the last placement.
  TimePoint m_FirstEvent{};             ///< When it was relayed.
  TimePoint m_LastEvent{};              ///< When it was relayed.
  Duration m_LongestPause{};            ///< Between two events so far.
  std::vector<UpstreamId> m_Tried;      ///< The current one is the last.
  unsigned m_Sends = 0;                 ///< Not counting unsent ones.
  unsigned m_Misses = 0;                ///< Without a connection.
  bool m_MayHaveRun = false;            ///< See the head of this file.

  unsigned m_Status = 0;                 ///< Of the current answer; 0: none.
  HeaderList m_AnswerHeaders;            ///< Kept once a stream has begun.
  std::string m_Body;                    ///< Of a plain answer so far.
  SseSplitter m_Splitter;                ///< Of the current call's stream.
  bool m_Streaming = false;              ///< The stream's headers were sent.
  std::optional<std::uint64_t> m_LastId; ///< Last event that the caller has.
  std::size_t m_Events = 0;              ///< Sent to the caller.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_FORWARDED_REQUEST_H
