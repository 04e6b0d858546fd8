/// One request through the gateway, with a fake caller and fake upstreams: the
/// caller's answer after each way in which a call can end.
#define BOOST_TEST_MODULE forwarded_request
#include "gateway/forwarded_request.h"
#include "unit/fake_prober.h"
#include "unit/plain_codec.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace crowstep;
using namespace crowstep::gateway;
using namespace std::chrono_literals;

namespace {

/// What the caller received.
struct Seen {
  std::vector<CallerAnswer> m_Answers; ///< Without a stream.
  std::string m_Stream;                ///< Bytes of a stream.
  bool m_Ended = false;                ///< The stream is complete.
  bool m_Dropped = false;              ///< Closed before its end.
  bool m_Left = false;                 ///< The caller closed its connection.
  std::function<void()> m_Gone;        ///< Runs when it does.
};

class FakeCaller final : public Caller {
public:
  explicit FakeCaller(Seen &Into) : m_Seen(Into) {}
  void answer(const CallerAnswer &What) override {
    m_Seen.m_Answers.push_back(What);
  }
  void beginStream(const CallerAnswer &) override {}
  void append(const std::string &Bytes) override { m_Seen.m_Stream += Bytes; }
  void endStream() override { m_Seen.m_Ended = true; }
  void drop() override { m_Seen.m_Dropped = true; }
  [[nodiscard]] bool hasLeft() const override { return m_Seen.m_Left; }
  [[nodiscard]] std::size_t backlog() const override { return 0; }
  void onGone(std::function<void()> Job) override {
    m_Seen.m_Gone = std::move(Job);
  }
  void onDrained(std::function<void()>) override {}

private:
  Seen &m_Seen; ///< Outlives the caller.
};

/// A call whose answer a test plays; it is marked when its handle is destroyed.
struct PlayedCall {
  UpstreamSend m_What;          ///< As sent.
  UpstreamListener *m_Listener; ///< Receives the answer.
  bool m_Stopped = false;       ///< The gateway closed it.
};

class FakeUpstreams final : public UpstreamCaller {
public:
  std::unique_ptr<UpstreamCall> send(const UpstreamSend &What,
                                     UpstreamListener &Listener) override {
    m_Calls.push_back({What, &Listener});
    return std::make_unique<Handle>(m_Calls.back());
  }
  std::deque<PlayedCall> m_Calls; ///< All, in order.

private:
  class Handle final : public UpstreamCall {
  public:
    explicit Handle(PlayedCall &Call) : m_Call(Call) {}
    ~Handle() override { m_Call.m_Stopped = true; }
    Handle(const Handle &) = delete;
    Handle &operator=(const Handle &) = delete;
    void pauseReading() override {}
    void continueReading() override {}

  private:
    PlayedCall &m_Call; ///< Outlives the handle.
  };
};

constexpr const char *Id = "attempt-1";

std::string event(int Number) {
  return "id: " + std::to_string(Number) + "\ndata: x\n\n";
}

struct World {
  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  balance::Balancer m_Balancer{{"a"}};
  balance::RetryBudget m_Budget{{0.2, 56, 10s}};
  FakeUpstreams m_Upstreams;
  test::PlainCodec m_Codec;
  Metrics m_Metrics;
  GatewayStats m_Stats{m_Metrics};
  test::FakeProber m_Prober;
  CrashWatch m_Crashes{m_Clock, m_Timers, m_Balancer, m_Prober, m_Metrics};
  WaitingRoom m_Waiting{m_Timers};
  ForwardWorld m_World{m_Clock,
                       m_Timers,
                       m_Balancer,
                       m_Budget,
                       m_Upstreams,
                       m_Crashes,
                       m_Codec,
                       m_Stats,
                       m_Waiting,
                       [] { return 0.5; },
                       [] { return false; }};
  Seen m_Seen;
  int m_Finished = 0;
  std::vector<balance::TicketId> m_Others; ///< Of takeAllSlots().
  std::unique_ptr<ForwardedRequest> m_Request;

  explicit World(RouteKind Kind, unsigned MaxAttempts = 2, HeaderList More = {},
                 const UpstreamKind &Upstreams = PlainService{4}) {
    // The budget allows two retries before any calls add to it.
    m_Budget.setInstances(21, m_Clock.now() - 10s);
    std::vector<Upstream> List;
    for (int I = 0; I < 3; ++I) {
      const std::string Name = "u" + std::to_string(I);
      List.push_back(
          {upstreamIdOf(Name), Name, "s", {1, 1}, {"a"}, Upstreams, false});
    }
    m_Balancer.setUpstreams(List);
    RouteTableData Data;
    Route Only;
    Only.m_Name = "r";
    Only.m_Host = "h";
    Only.m_Prefix = "/p/";
    Only.m_Kind = Kind;
    Only.m_Timeout = 6s;
    Only.m_Target = 600ms;
    Only.m_Services = {{"s", 1}};
    Only.m_MaxAttempts = MaxAttempts;
    Data.m_Routes = {Only};
    IncomingRequest Incoming{
        "POST", "/p/x?y=1", {{"Host", "h"}, {"Call-Id", Id}}, "body"};
    Incoming.m_Headers.insert(Incoming.m_Headers.end(), More.begin(),
                              More.end());
    auto What =
        admit(Incoming, std::make_shared<RouteTable>(std::move(Data)), m_Codec);
    m_Request = std::make_unique<ForwardedRequest>(
        m_World, Incoming, std::get<Admitted>(What),
        std::make_unique<FakeCaller>(m_Seen), [this] { ++m_Finished; });
    const bool Waits = std::holds_alternative<Engine>(Upstreams);
    if (Waits)
      takeAllSlots();
    m_Request->start();
  }

  /// Places another call at each upstream.
  void takeAllSlots() {
    balance::PlacementQuery Query;
    Query.m_Service = "s";
    Query.m_Prompt = {{{1, 100}}, 100, 10, 10};
    for (int I = 0; I < 3; ++I) {
      const auto Taken = m_Balancer.place(Query, m_Clock.now());
      m_Others.push_back(std::get<balance::Placed>(Taken).m_Ticket);
    }
  }

  PlayedCall &call(std::size_t Index) { return m_Upstreams.m_Calls.at(Index); }
  std::size_t calls() const { return m_Upstreams.m_Calls.size(); }
  std::string upstreamOf(std::size_t Index) {
    return *findHeader(call(Index).m_What.m_Headers, "Call-Upstream");
  }

  void head(std::size_t Index, unsigned Status, HeaderList Headers = {}) {
    Headers.push_back({"Call-Id", Id});
    call(Index).m_Listener->upstreamHeaders(Status, Headers);
  }
  void good(std::size_t Index) { head(Index, 200, {{"Call-Signed", "s"}}); }
  void bytes(std::size_t Index, const std::string &Text) {
    call(Index).m_Listener->upstreamBytes(Text);
  }
  void end(std::size_t Index, TransportEnd How) {
    call(Index).m_Listener->upstreamEnded(How);
  }
  void refusedBy(std::size_t Index) {
    head(Index, 503, {{"Call-Not-Run", "1"}});
  }

  /// Returns the only answer, which is required.
  const CallerAnswer &answer() {
    BOOST_REQUIRE(m_Seen.m_Answers.size() == 1U);
    BOOST_TEST(m_Finished == 1);
    return m_Seen.m_Answers[0];
  }
  bool answerHas(const char *Name) {
    return findHeader(answer().m_Headers, Name) != nullptr;
  }
};

ContentHash contentOfRequest() {
  return contentHashOf({"POST", "h", "/p/x?y=1", "", "body"});
}

const RouteKind AtMostOnce = PlainCall{false};
const RouteKind Idempotent = PlainCall{true};
const RouteKind Resumable = EventStream{true, 250ms};
const RouteKind NotResumable = EventStream{false, 250ms};

} // namespace

/// Method, target and body are forwarded unchanged; the gateway's headers are
/// set, whatever the caller sent; and the answer is returned unchanged.
BOOST_AUTO_TEST_CASE(ARequestAndItsAnswerPassUnchanged) {
  World It(AtMostOnce, 1,
           {{"X-Other", "kept"},
            {"Call-Workspace", "forged"},
            {"Call-Key", "secret"},
            {"Connection", "keep-alive, X-Hop"},
            {"X-Hop", "1"},
            {"Call-Time-Ms", "1500"},
            {"Call-Other", "forged"}});
  const UpstreamSend &Sent = It.call(0).m_What;
  BOOST_TEST(Sent.m_Method == "POST");
  BOOST_TEST(Sent.m_Path == "/p/x?y=1");
  BOOST_TEST(Sent.m_Body == "body");
  BOOST_TEST(!Sent.m_Repeatable);
  BOOST_TEST(*findHeader(Sent.m_Headers, "X-Other") == "kept");
  BOOST_TEST(*findHeader(Sent.m_Headers, "Call-Time-Ms") == "1500");
  BOOST_TEST(findHeader(Sent.m_Headers, "Call-Upstream") != nullptr);
  for (const char *Name : {"Call-Workspace", "Call-Key", "X-Hop", "Call-Other"})
    BOOST_TEST(findHeader(Sent.m_Headers, Name) == nullptr);
  It.good(0);
  It.bytes(0, "half ");
  BOOST_TEST(It.m_Seen.m_Answers.empty());
  It.bytes(0, "whole");
  It.end(0, TransportEnd::Complete);
  BOOST_TEST(It.answer().m_Status == 200U);
  BOOST_TEST(It.answer().m_Body == "half whole");
  BOOST_TEST(It.answerHas("Call-Signed"));
}

/// The connection of a call that may run only once breaks. It may have run, so
/// it must not be retried, and the caller must not be told that it has not run.
BOOST_AUTO_TEST_CASE(ABrokenCallThatMayHaveRunIsNotRepeated) {
  World It(AtMostOnce);
  It.end(0, TransportEnd::Broken);
  BOOST_TEST(It.calls() == 1U);
  BOOST_TEST(It.answer().m_Status == 502U);
  BOOST_TEST((It.answer().m_State == RunState::Unknown));
  BOOST_TEST(!It.answerHas("Retry-After"));
}

/// The upstream states that it did not run the call: the call is retried at
/// another one. When the route allows no further attempt, the caller is told
/// "not run" and when to retry.
BOOST_AUTO_TEST_CASE(OnlyTheUpstreamsWordProvesNotRun) {
  World It(AtMostOnce, 2);
  It.refusedBy(0);
  BOOST_TEST(It.calls() == 2U);
  BOOST_TEST(It.call(0).m_Stopped);
  It.refusedBy(1);
  BOOST_TEST(It.calls() == 2U);
  BOOST_TEST(It.answer().m_Status == 503U);
  BOOST_TEST((It.answer().m_State == RunState::NotRun));
  BOOST_TEST(It.answerHas("Retry-After"));
}

/// The first attempt was refused with proof and the second broke: one unknown
/// outcome is enough to forbid "not run".
BOOST_AUTO_TEST_CASE(ProofOfOneCallIsNoProofOfAnother) {
  World It(AtMostOnce, 2);
  It.refusedBy(0);
  It.end(1, TransportEnd::Broken);
  BOOST_TEST(It.answer().m_Status == 502U);
}

/// An upstream answers 503 without the statement that it did not run the call.
/// Passed on, the status would promise just that.
BOOST_AUTO_TEST_CASE(A503WithoutProofIsNotPassedOn) {
  for (const unsigned Status : {408U, 429U, 503U}) {
    World It(AtMostOnce, 1);
    It.head(0, Status, {{"Call-Signed", "s"}});
    It.end(0, TransportEnd::Complete);
    BOOST_TEST(It.answer().m_Status == 502U);
    BOOST_TEST(!It.answerHas("Call-Signed"));
  }
}

/// An error of the upstream itself counts as run: it is passed on with
/// signature and status if the call may run only once, and retried elsewhere
/// otherwise.
BOOST_AUTO_TEST_CASE(UpstreamErrorsArePassedOnOrRepeated) {
  World Once(AtMostOnce, 2);
  Once.head(0, 500, {{"Call-Signed", "s"}});
  Once.bytes(0, "why");
  Once.end(0, TransportEnd::Complete);
  BOOST_TEST(Once.calls() == 1U);
  BOOST_TEST(Once.answer().m_Status == 500U);
  BOOST_TEST(Once.answerHas("Call-Signed"));
  World Again(Idempotent, 2);
  Again.head(0, 500, {{"Call-Signed", "s"}});
  Again.end(0, TransportEnd::Complete);
  BOOST_TEST(Again.calls() == 2U);
  Again.good(1);
  Again.end(1, TransportEnd::Complete);
  BOOST_TEST(Again.answer().m_Status == 200U);
}

/// A late answer to an earlier call arrives on a kept connection, or an answer
/// that no upstream signed. Neither may reach this caller.
BOOST_AUTO_TEST_CASE(ForeignAndUnsignedAnswersReachNobody) {
  World Foreign(Idempotent, 2);
  Foreign.call(0).m_Listener->upstreamHeaders(
      200, {{"Call-Id", "other"}, {"Call-Signed", "s"}});
  BOOST_TEST(Foreign.call(0).m_Stopped);
  BOOST_TEST(Foreign.calls() == 2U);
  World Unsigned(AtMostOnce, 2);
  Unsigned.head(0, 200);
  BOOST_TEST(Unsigned.answer().m_Status == 502U);
  World Encoded(AtMostOnce, 2);
  Encoded.head(0, 200, {{"Call-Signed", "s"}, {"Content-Encoding", "gzip"}});
  BOOST_TEST(Encoded.answer().m_Status == 502U);
}

/// No connection could be made: nothing was sent, so even a call that may run
/// only once goes to another upstream; after the last one the caller is told
/// "not run".
BOOST_AUTO_TEST_CASE(CallsThatWereNeverSentGoElsewhere) {
  World It(AtMostOnce, 1);
  It.end(0, TransportEnd::NotSent);
  BOOST_TEST(It.calls() == 2U);
  It.end(1, TransportEnd::NotSent);
  It.end(2, TransportEnd::NotSent);
  BOOST_TEST(It.answer().m_Status == 503U);
  BOOST_TEST((It.answer().m_State == RunState::NotRun));
}

/// The deadline passes. A call that is in progress may have run: 504.
BOOST_AUTO_TEST_CASE(TheRoutesTimeEndsARequestAtOnce) {
  World It(AtMostOnce, 1, {{"Call-Time-Ms", "900"}});
  It.m_Timers.advance(899ms);
  BOOST_TEST(It.m_Seen.m_Answers.empty());
  It.m_Timers.advance(2ms);
  BOOST_TEST(It.call(0).m_Stopped);
  BOOST_TEST(It.answer().m_Status == 504U);
  BOOST_TEST((It.answer().m_State == RunState::Unknown));
}

/// The caller closes its connection: the upstream call is ended at once, and
/// there is no further attempt.
BOOST_AUTO_TEST_CASE(ACallerThatLeavesStopsTheWork) {
  World It(Resumable, 2);
  It.m_Seen.m_Left = true;
  It.m_Seen.m_Gone();
  BOOST_TEST(It.call(0).m_Stopped);
  BOOST_TEST(It.calls() == 1U);
  BOOST_TEST(It.m_Finished == 1);
}

/// The caller closed its connection while the process was frozen: the last
/// check before the first byte detects that, and also an upstream that was
/// removed.
BOOST_AUTO_TEST_CASE(TheLastCheckBeforeTheFirstByte) {
  World It(AtMostOnce, 1);
  BOOST_TEST(It.call(0).m_What.m_Wanted());
  It.m_Balancer.setUpstreams({});
  BOOST_TEST(!It.call(0).m_What.m_Wanted());
  World Left(AtMostOnce, 1);
  Left.m_Seen.m_Left = true;
  BOOST_TEST(!Left.call(0).m_What.m_Wanted());
  Left.end(0, TransportEnd::TooOld);
  BOOST_TEST(Left.calls() == 1U);
  BOOST_TEST(Left.m_Finished == 1);
}

/// A stream breaks in the middle of an event. The caller has events 1 and 2;
/// the next upstream resumes after 2 but repeats it; the caller receives each
/// event once, in order, and a complete stream.
BOOST_AUTO_TEST_CASE(AResumableStreamGoesOnElsewhere) {
  World It(Resumable, 2);
  It.good(0);
  It.bytes(0, event(1) + event(2) + "id: 3\nda");
  It.end(0, TransportEnd::Broken);
  BOOST_REQUIRE(It.calls() == 2U);
  BOOST_TEST(*findHeader(It.call(1).m_What.m_Headers, "Call-After") == "2");
  BOOST_TEST((It.call(1).m_What.m_Headers != It.call(0).m_What.m_Headers));
  It.good(1);
  It.bytes(1, event(2) + event(3) + event(4));
  It.end(1, TransportEnd::Complete);
  BOOST_TEST(It.m_Seen.m_Stream == event(1) + event(2) + event(3) + event(4));
  BOOST_TEST(It.m_Seen.m_Ended);
  BOOST_TEST(!It.m_Seen.m_Dropped);
}

/// A stream that is not resumable breaks, or ends within an event: the caller
/// must see that it is incomplete.
BOOST_AUTO_TEST_CASE(ABrokenStreamIsVisiblyBroken) {
  for (const TransportEnd How :
       {TransportEnd::Broken, TransportEnd::Complete}) {
    World It(NotResumable, 2);
    It.good(0);
    It.bytes(0, event(1) + "id: 2\nda");
    It.end(0, How);
    BOOST_TEST(It.calls() == 1U);
    BOOST_TEST(It.m_Seen.m_Dropped);
    BOOST_TEST(!It.m_Seen.m_Ended);
    BOOST_TEST(It.m_Seen.m_Stream == event(1));
  }
}

/// A caller resumes a stream itself: the upstream is told where, and no event
/// that the caller has is sent again.
BOOST_AUTO_TEST_CASE(ACallersOwnResumptionIsPassedOn) {
  World It(Resumable, 2, {{"Call-After", "7"}});
  BOOST_TEST(*findHeader(It.call(0).m_What.m_Headers, "Call-After") == "7");
  It.good(0);
  It.bytes(0, event(7) + event(8));
  It.end(0, TransportEnd::Complete);
  BOOST_TEST(It.m_Seen.m_Stream == event(8));
}

/// The upstream sends nothing on any call: a retryable call goes to another
/// one, and one that may run only once waits for its deadline.
BOOST_AUTO_TEST_CASE(ASilentUpstreamIsLeftByRepeatableCalls) {
  World Again(Idempotent, 2);
  Again.m_Timers.advance(2s);
  BOOST_TEST(Again.calls() == 2U);
  BOOST_TEST(Again.call(0).m_Stopped);
  World Once(AtMostOnce, 2);
  Once.m_Timers.advance(2s);
  BOOST_TEST(Once.calls() == 1U);
}

/// A loaded upstream still sends bytes on other calls; a second copy of the
/// call would add to the load that delays it.
BOOST_AUTO_TEST_CASE(ALoadedUpstreamIsNotAskedTwice) {
  World It(Idempotent, 2);
  for (int I = 0; I < 20; ++I) {
    // The ticket of the only call has id 1.
    It.m_Balancer.heard(balance::TicketId(1), It.m_Clock.now());
    It.m_Timers.advance(100ms);
  }
  BOOST_TEST(It.calls() == 1U);
}

/// All slots are taken when the call arrives. It waits in the gateway, with
/// nothing sent, and is placed as soon as one of the other calls ends.
BOOST_AUTO_TEST_CASE(ACallWaitsForRoom) {
  World It(NotResumable, 1, {{"Call-Prompt", "100"}}, Engine{1});
  It.m_Timers.advance(100ms);
  BOOST_TEST(It.calls() == 0U);
  BOOST_TEST(It.m_Waiting.size() == 1U);
  It.m_Balancer.ended(It.m_Others[1], balance::CallOutcome::Served,
                      It.m_Clock.now());
  It.m_Timers.advance(WaitingRoom::AskInterval);
  BOOST_TEST(It.calls() == 1U);
  BOOST_TEST(It.m_Waiting.size() == 0U);
}

/// No slot becomes free. At two fifths of the latency target the caller is told
/// that the call has not run and when to retry, well before its deadline.
BOOST_AUTO_TEST_CASE(ACallThatWaitedInVainIsRefused) {
  World It(NotResumable, 1, {{"Call-Prompt", "100"}}, Engine{1});
  It.m_Timers.advance(200ms);
  BOOST_TEST(It.m_Seen.m_Answers.empty());
  It.m_Timers.advance(80ms);
  BOOST_TEST(It.answer().m_Status == 503U);
  BOOST_TEST(It.answerHas("Retry-After"));
  BOOST_TEST(It.calls() == 0U);
  BOOST_TEST(It.m_Waiting.size() == 0U);
}

/// The caller closes its connection while its call waits: nothing is sent.
BOOST_AUTO_TEST_CASE(ACallerLeavesWhileItsCallWaits) {
  World It(NotResumable, 1, {{"Call-Prompt", "100"}}, Engine{1});
  It.m_Timers.advance(50ms);
  It.m_Seen.m_Gone();
  for (const balance::TicketId Other : It.m_Others)
    It.m_Balancer.ended(Other, balance::CallOutcome::Served, It.m_Clock.now());
  It.m_Timers.advance(1s);
  BOOST_TEST(It.calls() == 0U);
  BOOST_TEST(It.m_Waiting.size() == 0U);
  BOOST_TEST(It.m_Finished == 1);
}

// Guards against a quarantined request, which has crashed three upstreams, that
// is forwarded, or refused with a wrong run state or without Retry-After.
BOOST_AUTO_TEST_CASE(AQuarantinedRequestIsRefusedBeforeAnyUpstream) {
  for (const RouteKind &Kind : {AtMostOnce, Idempotent, Resumable}) {
    World It(Kind, 3);
    It.m_Balancer.quarantine().setListed({contentOfRequest()},
                                         It.m_Clock.now());
    It.refusedBy(0);
    BOOST_TEST(It.calls() == 1U);
    BOOST_TEST(It.answer().m_Status == 503U);
    BOOST_TEST((It.answer().m_State == RunState::NotRun));
    BOOST_TEST(It.answerHas("Retry-After"));
    BOOST_TEST(!It.call(0).m_What.m_Wanted());
  }
}

// Guards against a caller that is told "not run" for a request that may have
// run and was quarantined afterwards.
BOOST_AUTO_TEST_CASE(ARequestThatRanAndIsQuarantinedMayHaveRun) {
  World It(Idempotent, 3);
  It.m_Balancer.quarantine().setListed({contentOfRequest()}, It.m_Clock.now());
  It.end(0, TransportEnd::Broken);
  BOOST_TEST(It.calls() == 1U);
  BOOST_TEST(It.answer().m_Status == 502U);
  BOOST_TEST(!It.answerHas("Retry-After"));
}

// Guards against a broken call without a probe, or with two, and against a
// connection that broke for another reason and counts as a crash.
BOOST_AUTO_TEST_CASE(ABrokenCallIsACrashWhereNobodyListens) {
  for (const auto &[Found, Crashes] : {std::pair(ConnectOutcome::Refused, 1U),
                                       std::pair(ConnectOutcome::Failed, 0U),
                                       std::pair(ConnectOutcome::Stands, 0U)}) {
    World It(Idempotent, 2);
    It.end(0, TransportEnd::Broken);
    BOOST_REQUIRE(It.m_Prober.m_Done.size() == 1U);
    It.m_Prober.m_Done[0](Found);
    BOOST_TEST(It.m_Balancer.quarantine().crashesOf(contentOfRequest()) ==
               Crashes);
    It.good(1);
    It.end(1, TransportEnd::Complete);
    BOOST_TEST(It.m_Balancer.quarantine().crashesOf(contentOfRequest()) == 0U);
  }
}

// Guards against a limit that is not read from a refusal, or cleared by one.
BOOST_AUTO_TEST_CASE(ALimitIsReadFromAnyAnswer) {
  World It(Idempotent, 3);
  const UpstreamId First = upstreamIdOf(It.upstreamOf(0));
  It.head(0, 503, {{"Call-Not-Run", "1"}, {"Call-Limit", "2"}});
  BOOST_TEST(It.m_Balancer.limitOf(First).value_or(0) == 2);
  BOOST_TEST(It.calls() == 2U);
  const UpstreamId Second = upstreamIdOf(It.upstreamOf(1));
  It.head(1, 200, {{"Call-Signed", "s"}, {"Call-Limit", "3"}});
  BOOST_TEST(It.m_Balancer.limitOf(Second).value_or(0) == 3);
}
