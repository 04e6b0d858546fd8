/// Plans of callers, their requests and their reading of the answers.
#include "soak/stop_callers.h"

#include "process/answer_parser.h"
#include "soak/soak_upstream.h"
#include "unit/loopback_peer.h"

#include <deque>
#include <sys/poll.h>

namespace crowstep::soak {

using namespace std::chrono_literals;

const std::array<StopRoute, 4> StopRoutes = {
    StopRoute{RequestKind::Stream, LongStreamPath, "streaming", 20s},
    StopRoute{RequestKind::AtMostOnce, HeldPath, "non_idempotent", 20s},
    StopRoute{RequestKind::Idempotent, LargePath, "idempotent", 20s},
    StopRoute{RequestKind::Idempotent, "/prompt/", "idempotent", 2s}};

namespace {

constexpr std::size_t CallersPerStop = 24;
constexpr Duration PollInterval = 10ms;

/// Receive buffer of callers that read late, in bytes.
constexpr int SmallBuffer = 4096;

/// Requests that a caller sends ahead of their answers.
constexpr std::size_t SentAhead = 2;

/// What sets a caller apart.
enum class Habit : std::uint8_t {
  LongRequest,  ///< Requests what outlasts the grace period.
  SlowBody,     ///< Sends a body in chunks, with a pause.
  SendsAhead,   ///< Sends requests before the answers to previous ones.
  LateFirstUse, ///< Sends its first request late in the stop.
  ReadsLate,    ///< Reads nothing for long.
  Count,        ///< Number of habits; not a habit.
};

/// Returns whether the other end has closed or reset the connection; reads
/// nothing.
bool isHungUp(int Fd) {
  pollfd Watched{Fd, POLLRDHUP, 0};
  return ::poll(&Watched, 1, 0) > 0;
}

} // namespace

struct StopCallers::OneCaller {
  /// A request without a complete answer so far.
  struct OpenRequest {
    std::string m_Id;                             ///< X-Attempt-Id.
    std::shared_ptr<test::CallResult> m_Result{}; ///< Shared with the ledger.
    test::AnswerParser m_Parser{};                ///< Of its answer.
  };

  StoppingGateway m_Gateway{}; ///< It is connected to this one.
  Habit m_Habit{};             ///< See there.
  std::size_t m_Route = 0;     ///< Of its first request.
  TimePoint m_ConnectAt;       ///< When it connects.
  TimePoint m_SendAt;          ///< When it sends its first request.
  TimePoint m_EndBodyAt;       ///< When that request's body ends.
  TimePoint m_ReadFrom;        ///< When it begins to read.
  TimePoint m_LastOpenAt;      ///< When its connection was seen open.
  std::unique_ptr<test::Peer> m_Connection{}; ///< Null before m_ConnectAt.
  std::size_t m_ParsedSize = 0;               ///< Of the bytes received.
  bool m_HasSent = false;                     ///< Its first request.
  bool m_IsInBody = false;                    ///< That request isn't whole yet.
  std::deque<OpenRequest> m_Requests{};       ///< In order.
};

StopCallers::StopCallers(std::uint64_t Seed, Ledger &Requests,
                         const Clock &Time, Scheduler &Timers)
    : m_Random(Seed), m_Ledger(Requests), m_Clock(Time), m_PollTimer(Timers) {}

StopCallers::~StopCallers() = default;

Duration StopCallers::drawTime(std::chrono::milliseconds From,
                               std::chrono::milliseconds To) {
  return From +
         std::chrono::milliseconds(
             m_Random() % static_cast<std::uint64_t>((To - From).count()));
}

void StopCallers::start(const StoppingGateway &To) {
  for (std::size_t I = 0; I < CallersPerStop; ++I) {
    OneCaller &Drawn = m_Open.emplace_back();
    Drawn.m_Gateway = To;
    Drawn.m_Habit =
        static_cast<Habit>(I % static_cast<std::size_t>(Habit::Count));
    drawPlan(Drawn);
  }
  if (!m_PollTimer.isRunning())
    poll();
}

void StopCallers::drawPlan(OneCaller &For) {
  const TimePoint SignalAt = m_Clock.now() + LeadTime;
  For.m_ConnectAt = SignalAt + drawTime(-900ms, 2000ms);
  For.m_Route = m_Random() % StopRoutes.size();
  Duration SendAfter = drawTime(0ms, 2000ms);
  Duration BodyTime{};
  For.m_ReadFrom = For.m_ConnectAt;
  if (For.m_Habit == Habit::LongRequest) {
    For.m_Route = m_Random() % 2; // Those that last long.
    SendAfter = drawTime(0ms, 5500ms);
  } else if (For.m_Habit == Habit::SlowBody) {
    BodyTime = drawTime(200ms, 6000ms);
  } else if (For.m_Habit == Habit::SendsAhead) {
    For.m_Route = StopRoutes.size() - 1;
  } else if (For.m_Habit == Habit::LateFirstUse) {
    SendAfter = drawTime(2600ms, 5700ms);
  } else {
    For.m_Route = 2;
    For.m_ReadFrom = SignalAt + drawTime(2500ms, 8500ms);
  }
  For.m_SendAt = For.m_ConnectAt + SendAfter;
  For.m_EndBodyAt = For.m_SendAt + BodyTime;
}

void StopCallers::poll() {
  m_Open.remove_if(
      [this](OneCaller &Current) { return !continueCaller(Current); });
  if (!m_Open.empty())
    m_PollTimer.start(PollInterval, [this] { poll(); });
}

/// Returns whether the caller goes on.
bool StopCallers::continueCaller(OneCaller &Current) {
  const TimePoint Now = m_Clock.readNow();
  if (Now < Current.m_ConnectAt)
    return true;
  if (Current.m_Connection == nullptr) {
    Current.m_Connection = test::Peer::connect(
        Current.m_Gateway.m_ListenAddress,
        Current.m_Habit == Habit::ReadsLate ? SmallBuffer : 0);
  }
  if (!isHungUp(Current.m_Connection->fd()))
    Current.m_LastOpenAt = Now;
  if (Now >= Current.m_ReadFrom) {
    readAnswers(Current, Current.m_Connection->isClosed());
    if (Current.m_Connection->fd() < 0)
      return false;
  }
  if (Now < Current.m_SendAt)
    return true;
  if (Current.m_IsInBody) {
    if (Now >= Current.m_EndBodyAt)
      endBody(Current);
    return true;
  }
  const std::size_t Ahead =
      Current.m_Habit == Habit::SendsAhead ? SentAhead : 1;
  if (!Current.m_HasSent || (Current.m_Requests.size() < Ahead &&
                             Current.m_Habit != Habit::ReadsLate))
    sendNext(Current);
  return true;
}

/// Later requests of a connection are like the first, but sent at once.
void StopCallers::sendNext(OneCaller &From) {
  const StopRoute &Route = StopRoutes.at(From.m_Route);
  const std::string Id = "stop-" + std::to_string(++m_LastNumber);
  From.m_IsInBody = !From.m_HasSent && From.m_Habit == Habit::SlowBody;
  From.m_HasSent = true;
  RequestRecord Record;
  Record.m_Kind = Route.m_Kind;
  Record.m_Gateway = From.m_Gateway.m_Number;
  Record.m_Incarnation = From.m_Gateway.m_Incarnation;
  Record.m_GatewayStartedAt = From.m_Gateway.m_StartedAt;
  Record.m_SentAt = m_Clock.readNow();
  Record.m_IsAroundStop = true;
  Record.m_TimeLimit = Route.m_TimeLimit;
  Record.m_Padding = Route.m_Path == LargePath ? LargePadding : 0;
  if (!From.m_IsInBody)
    Record.m_LastByteAt = Record.m_SentAt;
  const auto &Opened = From.m_Requests.emplace_back(
      OneCaller::OpenRequest{Id, std::make_shared<test::CallResult>()});
  Record.m_Result = Opened.m_Result;
  m_Ledger.recordRequest(Id, std::move(Record));
  From.m_Connection->send(
      "POST " + Route.m_Path + Id +
      " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + Id +
      "\r\nX-Deadline-Ms: " + std::to_string(Route.m_TimeLimit.count()) +
      (From.m_IsInBody ? "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n"
                       : "\r\nContent-Length: 2\r\n\r\n{}"));
}

void StopCallers::endBody(OneCaller &From) {
  From.m_IsInBody = false;
  if (!From.m_Requests.empty()) // Else it was answered before its end.
    m_Ledger.request(From.m_Requests.back().m_Id).m_LastByteAt =
        m_Clock.readNow();
  From.m_Connection->send("1\r\n}\r\n0\r\n\r\n");
}

/// A caller closes its connection after an answer that announces a close, and
/// once the other end has closed it.
void StopCallers::readAnswers(OneCaller &From, bool IsClosed) {
  std::string Bytes = From.m_Connection->received().substr(From.m_ParsedSize);
  From.m_ParsedSize += Bytes.size();
  while (!From.m_Requests.empty()) {
    auto &[Id, Result, Parser] = From.m_Requests.front();
    Parser.parse(Bytes, *Result);
    if (!Parser.isComplete())
      break;
    Result->m_Ended = true;
    Result->m_Elapsed = m_Clock.readNow() - m_Ledger.request(Id).m_SentAt;
    Bytes = Parser.rest();
    const bool AllowsReuse = Parser.allowsReuse();
    From.m_Requests.pop_front();
    if (!AllowsReuse) {
      IsClosed = true;
      break;
    }
  }
  if (IsClosed)
    failOpenRequests(From);
}

void StopCallers::failOpenRequests(OneCaller &From) {
  for (const auto &[Id, Result, Parser] : From.m_Requests) {
    const RequestRecord &Record = m_Ledger.request(Id);
    Result->m_Ended = true;
    Result->m_ConnectionBroken = true;
    Result->m_Elapsed =
        std::max(Duration::zero(), From.m_LastOpenAt - Record.m_SentAt);
  }
  From.m_Requests.clear();
  From.m_Connection->close();
}

} // namespace crowstep::soak
