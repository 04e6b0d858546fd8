/// One request on its way through the gateway.
///
/// What a caller may be told rests on m_MayHaveRun: it is set when bytes may
/// have left for an upstream and taken back only by that upstream's own word.
/// While it is clear the request has provably not run, and while it is set
/// nothing but a repeatable request is sent again.
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

/// What all requests share; everything outlives them.
struct ForwardWorld {
  const Clock &m_Clock;             ///< Of the loop.
  Scheduler &m_Timers;              ///< Of the loop.
  balance::Balancer &m_Balancer;    ///< Chooses upstreams.
  balance::RetryBudget &m_Budget;   ///< Bounds repeats.
  UpstreamCaller &m_Upstream;       ///< Sends.
  CrashWatch &m_Crashes;            ///< Hears of broken calls.
  const HeaderCodec &m_Codec;       ///< Reads and writes headers.
  GatewayStats &m_Stats;            ///< Counts.
  WaitingRoom &m_Waiting;           ///< For room at engines.
  std::function<double()> m_Random; ///< Between 0 and 1.
  std::function<bool()> m_Leaving;  ///< The instance closes its connections.
};

class ForwardedRequest final : private UpstreamListener {
public:
  /// \p OnEnded runs once, when nothing is left to do; the request may not be
  /// destroyed from within it.
  ForwardedRequest(ForwardWorld &World, IncomingRequest Request, Admitted What,
                   std::unique_ptr<Caller> From, std::function<void()> OnEnded);
  ~ForwardedRequest() override;
  ForwardedRequest(const ForwardedRequest &) = delete;
  ForwardedRequest &operator=(const ForwardedRequest &) = delete;

  /// Begins; before this nothing has happened.
  void start();

private:
  void upstreamHeaders(unsigned Status, const HeaderList &Headers) override;
  void upstreamBytes(std::string_view Bytes) override;
  void upstreamEnded(TransportEnd How) override;

  void attempt();
  void waitForRoom(const balance::PlacementInputs &Why);
  [[nodiscard]] bool mayWait() const;
  void send(const balance::Placed &Where);
  void endCall(balance::CallOutcome Outcome);
  void tryAgain(RetryReason Why);
  [[nodiscard]] bool mayTryAgain() const;
  void giveUp(RefusalReason Reason, Duration RetryAfter);

  void takeLimit(const AnswerFacts &Facts);
  void upstreamFailed(balance::CallOutcome Outcome, RetryReason Why);
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
  IncomingRequest m_Request;        ///< As it arrived.
  Admitted m_What;                  ///< Its route and facts.
  ContentHash m_Content;            ///< The same in each of its attempts.
  std::unique_ptr<Caller> m_Caller; ///< Who is answered.
  std::function<void()> m_OnEnded;  ///< Empty once it has run.
  RouteStats &m_Stats;              ///< Of its route.
  std::string m_Service;            ///< Chosen among the route's shares.
  TimePoint m_Begin;                ///< When it arrived.
  TimePoint m_EndBy;                ///< The route's or the caller's time.
  Timer m_Limit;                    ///< Runs until m_EndBy.
  Timer m_Silence;                  ///< Runs while an upstream is awaited.

  std::unique_ptr<WaitingRoom::Place> m_Place; ///< Set while it waits.
  bool m_WaitedInVain = false; ///< Too long for room; it waits no more.
  Duration m_Waited{};         ///< For room, in the end.
  std::unique_ptr<UpstreamCall> m_Call; ///< Null between calls.
  balance::TicketId m_Ticket;           ///< Of m_Call.
  std::string m_Upstream;               ///< Name, of the last call.
  Address m_Address;                    ///< Of the last call.
  balance::PlacementInputs m_Why;       ///< Of the last placement.
  TimePoint m_FirstEvent{};             ///< When the caller got it.
  TimePoint m_LastEvent{};              ///< When the caller got the last one.
  Duration m_LongestPause{};            ///< Between two events, so far.
  std::vector<UpstreamId> m_Tried;      ///< Upstreams of earlier calls.
  unsigned m_Sends = 0;                 ///< Calls that may have arrived.
  unsigned m_Misses = 0;                ///< Calls that were never sent.
  bool m_MayHaveRun = false;            ///< See the head of this file.

  unsigned m_Status = 0;                 ///< Of the present answer; 0: none.
  HeaderList m_AnswerHeaders;            ///< Of the first good answer.
  std::string m_Body;                    ///< Of a plain answer, so far.
  SseSplitter m_Splitter;                ///< Of the present call's stream.
  bool m_Streaming = false;              ///< The caller has a stream's head.
  std::optional<std::uint64_t> m_LastId; ///< Last event given to the caller.
  std::size_t m_Events = 0;              ///< Given to the caller.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_FORWARDED_REQUEST_H
