/// One request through the gateway, with a fake caller and fake upstreams.
#ifndef CROWSTEP_TESTS_UNIT_FORWARDED_REQUEST_ENV_H
#define CROWSTEP_TESTS_UNIT_FORWARDED_REQUEST_ENV_H

#include "gateway/forwarded_request.h"
#include "unit/fake_origins.h"
#include "unit/fake_prober.h"
#include "unit/plain_codec.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace crowstep::test {

using namespace gateway;
using namespace std::chrono_literals;

/// What the caller received.
struct CallerRecord {
  std::vector<CallerAnswer> m_Answers; ///< Without a stream.
  std::string m_Stream;                ///< Bytes of a stream.
  bool m_Ended = false;                ///< The stream is complete.
  bool m_Dropped = false;              ///< Closed before its end.
  bool m_HasLeft = false;              ///< The caller closed its connection.
  std::function<void()> m_OnGone;      ///< Runs when it does.
  std::size_t m_Backlog = 0;           ///< That it has not read.
  std::function<void()> m_OnRoom;      ///< Runs when it has read more.
};

class FakeCaller final : public Caller {
public:
  explicit FakeCaller(CallerRecord &Record) : m_Record(Record) {}
  void answer(const CallerAnswer &Answer) override {
    m_Record.m_Answers.push_back(Answer);
  }
  void beginStream(const CallerAnswer &) override {}
  void append(const std::string &Bytes) override { m_Record.m_Stream += Bytes; }
  void endStream() override { m_Record.m_Ended = true; }
  void abortAnswer() override { m_Record.m_Dropped = true; }
  [[nodiscard]] bool hasDisconnected() const override {
    return m_Record.m_HasLeft;
  }
  [[nodiscard]] std::size_t backlog() const override {
    return m_Record.m_Backlog;
  }
  [[nodiscard]] bool mayBuffer() override {
    constexpr std::size_t Room = 64 << 10;
    return m_Record.m_Backlog <= Room;
  }
  void onDisconnect(std::function<void()> Job) override {
    m_Record.m_OnGone = std::move(Job);
  }
  void onBacklogReduced(std::function<void()> Job) override {
    m_Record.m_OnRoom = std::move(Job);
  }

private:
  CallerRecord &m_Record; ///< Outlives the caller.
};

/// A call whose answer a test plays; it is marked when its handle is destroyed.
struct PlayedCall {
  UpstreamRequest m_Send;       ///< As sent.
  UpstreamListener *m_Listener; ///< Receives the answer.
  bool m_Stopped = false;       ///< The gateway closed it.
  CallProgress m_Progress = CallProgress::Acknowledged; ///< Of the request.
};

class FakeUpstreams final : public UpstreamClient {
public:
  std::unique_ptr<UpstreamCall> send(const UpstreamRequest &Send,
                                     UpstreamListener &Listener) override {
    m_Calls.push_back({Send, &Listener});
    return std::make_unique<Handle>(m_Calls.back());
  }
  void closeIdle(const Address &) override {}
  std::deque<PlayedCall> m_Calls; ///< All, in order.

private:
  class Handle final : public UpstreamCall {
  public:
    explicit Handle(PlayedCall &Call) : m_Call(Call) {}
    ~Handle() override { m_Call.m_Stopped = true; }
    Handle(const Handle &) = delete;
    Handle &operator=(const Handle &) = delete;
    void pauseReading() override {}
    void resumeReading() override {}
    void release() override {}
    [[nodiscard]] CallProgress progress() const override {
      return m_Call.m_Progress;
    }

  private:
    PlayedCall &m_Call; ///< Outlives the handle.
  };
};

inline constexpr const char *Id = "attempt-1";

inline std::string event(int Number) {
  return "id: " + std::to_string(Number) + "\ndata: x\n\n";
}

/// Switches waiting by prediction on.
class ActiveSpeeds final : public speed::SpeedView {
public:
  [[nodiscard]] bool isActive(PoolId) const override { return true; }
  [[nodiscard]] double speedOf(UpstreamId, TimePoint) const override {
    return 1;
  }
  [[nodiscard]] int speedClassOf(UpstreamId) const override { return 0; }
  [[nodiscard]] double usableShareOf(UpstreamId, TimePoint) const override {
    return 1;
  }
  [[nodiscard]] double machineSlowdownOf(UpstreamId, TimePoint) const override {
    return 1;
  }
};

struct TestEnv {
  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  balance::Balancer m_Balancer{{"a"}};
  balance::RetryBudget m_Budget{{0.2, 56, 10s}};
  FakeUpstreams m_Upstreams;
  DirectTransport m_Transport{m_Upstreams};
  PlainCodec m_Codec;
  Metrics m_Metrics;
  GatewayStats m_Stats{m_Metrics};
  FakeProber m_Prober;
  CrashWatch m_CrashWatch{m_Clock, m_Timers, m_Balancer, m_Prober, m_Metrics};
  WaitQueue m_WaitQueue{m_Timers};
  ActiveSpeeds m_ActiveSpeeds;
  waiting::WaitPolicy m_WaitPolicy{m_ActiveSpeeds, m_Balancer.backlog()};
  AnswerMemory m_AnswerMemory;
  FakeOrigins m_Origins;
  SoftwareHistory m_SoftwareHistory;
  SystemWallClock m_WallClock;
  duty::MajorityClock m_Time{m_WallClock, m_Clock};
  duty::UsageMeter m_Meter{{InstanceId(1), Incarnation(1)}, 1h, m_Time};
  ForwardContext m_Context{m_Clock,
                           m_Timers,
                           m_Balancer,
                           m_Budget,
                           m_Transport,
                           m_CrashWatch,
                           m_Origins,
                           m_SoftwareHistory,
                           m_Codec,
                           m_Stats,
                           m_WaitQueue,
                           m_AnswerMemory,
                           [] { return 0.5; },
                           [] { return false; },
                           &m_Meter};
  CallerRecord m_Record;
  int m_Finished = 0;
  std::vector<balance::TicketId> m_Others; ///< Of takeAllSlots().
  std::unique_ptr<ForwardedRequest> m_Request;

  explicit TestEnv(RouteKind Kind, unsigned MaxAttempts = 2,
                   HeaderList More = {},
                   const UpstreamKind &Upstreams = PlainService{4},
                   const std::vector<WorkspaceEntry> &Workspaces = {},
                   const std::function<void(TestEnv &)> &Prepare = nullptr) {
    // The budget allows two retries before any calls add to it.
    m_Budget.setInstances(21, m_Clock.now() - 10s);
    std::vector<Upstream> List;
    for (int I = 0; I < 3; ++I) {
      const std::string Name = "u" + std::to_string(I);
      List.push_back(
          {upstreamIdOf(Name), Name, "s", {1, 1}, {"a"}, Upstreams, false});
      List.back().m_Software = SoftwareVersion("1.0");
    }
    setUpstreams(List);
    receive(Kind, MaxAttempts, std::move(More), Workspaces);
    if (Prepare)
      Prepare(*this);
    else if (std::holds_alternative<Engine>(Upstreams))
      takeAllSlots();
    m_Request->start();
  }

  /// Makes the request that start() starts, in place of an earlier one.
  void receive(RouteKind Kind, unsigned MaxAttempts, HeaderList More,
               const std::vector<WorkspaceEntry> &Workspaces = {}) {
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
    Data.m_Workspaces = Workspaces;
    IncomingRequest Incoming{
        "POST", "/p/x?y=1", {{"Host", "h"}, {"Call-Id", Id}}, "body"};
    Incoming.m_Headers.insert(Incoming.m_Headers.end(), More.begin(),
                              More.end());
    auto Admission =
        admit(Incoming, std::make_shared<RouteTable>(std::move(Data)), m_Codec);
    m_Request = std::make_unique<ForwardedRequest>(
        m_Context, Incoming, std::get<AdmittedRequest>(Admission),
        std::make_unique<FakeCaller>(m_Record), [this] { ++m_Finished; });
  }

  void setUpstreams(const std::vector<Upstream> &List) {
    m_Balancer.setUpstreams(List);
    m_SoftwareHistory.record(List, m_Clock.now());
    m_SoftwareHistory.setRegister(m_SoftwareHistory.seenVersions(m_Clock.now()),
                                  m_Clock.now());
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

  /// Queues 100,000 tokens of prefill at each upstream.
  void queuePrefill() {
    balance::PlacementQuery Query;
    Query.m_Service = "s";
    Query.m_WaitLimit = 10s;
    Query.m_Prompt = {{{1, 100000}}, 100000, 10, 10};
    for (int I = 0; I < 3; ++I) {
      const auto Taken = m_Balancer.place(Query, m_Clock.now());
      const auto &Ticket = std::get<balance::Placed>(Taken);
      m_Others.push_back(Ticket.m_Ticket);
      Query.m_Excluded.push_back(Ticket.m_Upstream);
    }
  }

  PlayedCall &call(std::size_t Index) { return m_Upstreams.m_Calls.at(Index); }
  std::size_t calls() const { return m_Upstreams.m_Calls.size(); }
  std::string upstreamOf(std::size_t Index) {
    return *findHeader(call(Index).m_Send.m_Headers, "Call-Upstream");
  }

  void sendHeaders(std::size_t Index, unsigned Status,
                   HeaderList Headers = {}) {
    Headers.push_back({"Call-Id", Id});
    call(Index).m_Listener->upstreamHeaders(Status, Headers);
  }
  void sendGoodHeaders(std::size_t Index) {
    sendHeaders(Index, 200, {{"Call-Signed", "s"}});
  }
  void sendBytes(std::size_t Index, const std::string &Text) {
    call(Index).m_Listener->upstreamBytes(Text);
  }
  void endCall(std::size_t Index, TransportEnd End) {
    call(Index).m_Listener->upstreamEnded(End);
  }
  void refuseCall(std::size_t Index) {
    sendHeaders(Index, 503, {{"Call-Not-Run", "1"}});
  }

  /// Returns the only answer, which is required.
  const CallerAnswer &answer() {
    BOOST_REQUIRE(m_Record.m_Answers.size() == 1U);
    BOOST_TEST(m_Finished == 1);
    return m_Record.m_Answers[0];
  }
  bool answerHas(const char *Name) {
    return findHeader(answer().m_Headers, Name) != nullptr;
  }
};

inline const RouteKind AtMostOnce = PlainCall{false};
inline const RouteKind Idempotent = PlainCall{true};
inline const RouteKind Resumable = EventStream{true, 250ms};
inline const RouteKind NotResumable = EventStream{false, 250ms};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_FORWARDED_REQUEST_ENV_H
