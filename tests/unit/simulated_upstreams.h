/// Upstreams that several instances call, with paths that a test can cut.
#ifndef CROWSTEP_TESTS_UNIT_SIMULATED_UPSTREAMS_H
#define CROWSTEP_TESTS_UNIT_SIMULATED_UPSTREAMS_H

#include "core/scheduler.h"
#include "http/upstream_call.h"
#include "upstream_type.h"

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace crowstep::test {

using namespace std::chrono_literals;

/// State of the path between an instance and an upstream.
enum class PathMode : std::uint8_t {
  Open,       ///< Nothing is lost.
  Silent,     ///< Nothing arrives, in either direction.
  Reset,      ///< Connections are reset, new ones are refused.
  RefusesNew, ///< Connections go on, new ones are refused.
};

/// A call that an upstream has begun to run.
struct UpstreamRun {
  std::string m_Request;  ///< Id of the attempt.
  std::string m_Upstream; ///< Name.
  std::size_t m_Sender;   ///< Instance that sent it.
};

/// What all instances share.
struct UpstreamWorld {
  static constexpr Duration Delay = 1ms;            ///< One way.
  static constexpr Duration PlainTime = 20ms;       ///< Of a plain call.
  static constexpr Duration FirstEventTime = 150ms; ///< Of a stream.
  static constexpr Duration EventInterval = 50ms;   ///< Between two events.
  static constexpr int EventCount = 20;             ///< Of a stream.
  /// A connection with no acknowledged byte for this long is reset.
  static constexpr Duration UserTimeout = 3s;

  explicit UpstreamWorld(ManualScheduler &Timers) : m_Timers(Timers) {}

  [[nodiscard]] PathMode pathMode(std::size_t Sender,
                                  const Address &Upstream) const {
    return m_CutInstances.contains(Sender) &&
                   (!m_IsCut || m_IsCut(Sender, Upstream))
               ? m_Mode
               : PathMode::Open;
  }

  ManualScheduler &m_Timers;            ///< Outlives it.
  std::vector<Upstream> m_List;         ///< All upstreams.
  std::set<std::size_t> m_CutInstances; ///< With cut paths.
  PathMode m_Mode = PathMode::Silent;   ///< Of their paths.
  /// Which of their paths are cut; empty: all.
  std::function<bool(std::size_t, const Address &)> m_IsCut;
  std::set<std::string> m_Down;    ///< Names of crashed upstreams.
  std::vector<UpstreamRun> m_Runs; ///< In order.
  std::size_t m_EventBytes = 1;    ///< Of an event's data.
  bool m_PausedDesks = false;      ///< Plain upstreams request a pause.
  bool m_StampsVersions = false;   ///< An event's data is the version.
};

class SimulatedUpstreams;

/// One call of one instance.
class SimulatedCall final : public UpstreamCall {
public:
  SimulatedCall(SimulatedUpstreams &Owner, UpstreamRequest Request,
                UpstreamListener &Listener, bool IsReused);
  ~SimulatedCall() override;
  SimulatedCall(const SimulatedCall &) = delete;
  SimulatedCall &operator=(const SimulatedCall &) = delete;

  void pauseReading() override { m_IsPaused = true; }
  void resumeReading() override { m_IsPaused = false; }
  void release() override { startSending(); }
  [[nodiscard]] CallProgress progress() const override;

  /// The paths of the instance have changed.
  void handlePathChange();

  /// The upstream's process has ended.
  void handleCrash() { end(TransportEnd::Broken); }
  [[nodiscard]] const Address &address() const { return m_Request.m_Address; }

private:
  void connect();
  void handleConnected();
  void startSending();
  void run();
  void sendNext();
  void end(TransportEnd End);
  [[nodiscard]] PathMode pathMode() const;
  [[nodiscard]] bool isStream() const;
  void after(Duration Delay, void (SimulatedCall::*Step)()) {
    m_Timer.start(Delay, [this, Step] { (this->*Step)(); });
  }

  SimulatedUpstreams &m_Owner;  ///< Outlives the call.
  UpstreamRequest m_Request;    ///< As sent.
  UpstreamListener &m_Listener; ///< Outlives the call.
  std::uint64_t m_Number;       ///< In the order of sending.
  bool m_IsReused;              ///< On a kept connection.
  bool m_IsSent = false;        ///< Bytes have left.
  bool m_IsRunning = false;     ///< The upstream has the request.
  bool m_HeadSent = false;      ///< The answer has begun.
  bool m_IsPaused = false;      ///< The listener reads slowly.
  int m_NextEvent = 1;          ///< Of a stream.
  Timer m_Timer;                ///< Next step.
  Timer m_ConnectTimer;         ///< Limit for the connection.
  Timer m_CutTimer;             ///< UserTimeout.
};

/// The upstreams as one instance sees them.
class SimulatedUpstreams final : public UpstreamClient, public UpstreamProber {
public:
  SimulatedUpstreams(UpstreamWorld &World, const Clock &Time, std::size_t Self)
      : m_World(World), m_Clock(Time), m_Self(Self) {}

  std::unique_ptr<UpstreamCall> send(const UpstreamRequest &Request,
                                     UpstreamListener &Listener) override {
    const bool IsReused = Request.m_Repeatable && m_Kept[Request.m_Address] > 0;
    if (IsReused)
      --m_Kept[Request.m_Address];
    return std::make_unique<SimulatedCall>(*this, Request, Listener, IsReused);
  }

  void closeIdle(const Address &Where) override { m_Kept.erase(Where); }

  std::unique_ptr<UpstreamProbe> probe(const Address &Where, Duration Timeout,
                                       ProbeCallback OnDone) override {
    ++m_ProbeCount;
    return std::make_unique<Probe>(*this, Where, Timeout, std::move(OnDone));
  }

  void handlePathChange() {
    if (m_World.m_Mode == PathMode::Reset)
      std::erase_if(m_Kept, [&](const auto &Entry) {
        return m_World.pathMode(m_Self, Entry.first) != PathMode::Open;
      });
    forEachCall([](SimulatedCall &Call) { Call.handlePathChange(); });
  }

  /// The process of the upstream at \p Where has ended.
  void handleCrash(const Address &Where) {
    m_Kept.erase(Where);
    forEachCall([&](SimulatedCall &Call) {
      if (Call.address() == Where)
        Call.handleCrash();
    });
  }

  [[nodiscard]] const Upstream *upstreamAt(const Address &Where) const {
    for (const Upstream &Entry : m_World.m_List)
      if (Entry.m_Address == Where)
        return &Entry;
    return nullptr;
  }

  /// Calls \p Action for each open call, in the order in which they were sent.
  /// It may end calls and send others.
  void forEachCall(const std::function<void(SimulatedCall &)> &Action) {
    const std::map<std::uint64_t, SimulatedCall *> Before = m_Calls;
    for (const auto &[Number, Call] : Before)
      if (m_Calls.contains(Number))
        Action(*Call);
  }

  UpstreamWorld &m_World;       ///< Outlives it.
  const Clock &m_Clock;         ///< Outlives it.
  std::size_t m_Self;           ///< The instance.
  std::uint64_t m_LastCall = 0; ///< Number of the last call.
  std::map<std::uint64_t, SimulatedCall *> m_Calls; ///< Open ones, by number.
  std::map<Address, int> m_Kept;                    ///< Idle connections.
  std::size_t m_ProbeCount = 0;                     ///< Made so far.
  std::size_t m_SendCount = 0; ///< Calls of which bytes have left.

private:
  class Probe final : public UpstreamProbe {
  public:
    Probe(SimulatedUpstreams &Owner, const Address &Where, Duration Timeout,
          ProbeCallback OnDone)
        : m_Timer(Owner.m_World.m_Timers) {
      const PathMode Mode = Owner.m_World.pathMode(Owner.m_Self, Where);
      const bool IsDown =
          Owner.m_World.m_Down.contains(Owner.upstreamAt(Where)->m_Name);
      const auto Result = Mode == PathMode::Silent ? ConnectOutcome::Failed
                          : Mode != PathMode::Open || IsDown
                              ? ConnectOutcome::Refused
                              : ConnectOutcome::Connected;
      m_Timer.start(Mode == PathMode::Silent ? Timeout
                                             : UpstreamWorld::Delay * 2,
                    [Result, Done = std::move(OnDone)] { Done(Result); });
    }

  private:
    Timer m_Timer; ///< Until the outcome.
  };
};

inline SimulatedCall::SimulatedCall(SimulatedUpstreams &Owner,
                                    UpstreamRequest Request,
                                    UpstreamListener &Listener, bool IsReused)
    : m_Owner(Owner), m_Request(std::move(Request)), m_Listener(Listener),
      m_Number(++Owner.m_LastCall), m_IsReused(IsReused),
      m_Timer(Owner.m_World.m_Timers), m_ConnectTimer(Owner.m_World.m_Timers),
      m_CutTimer(Owner.m_World.m_Timers) {
  m_Owner.m_Calls.emplace(m_Number, this);
  if (m_IsReused) {
    after(Duration::zero(), &SimulatedCall::handleConnected);
    return;
  }
  if (m_Request.m_ConnectTimeout > Duration::zero())
    m_ConnectTimer.start(m_Request.m_ConnectTimeout,
                         [this] { end(TransportEnd::NotSent); });
  after(UpstreamWorld::Delay * 2, &SimulatedCall::connect);
}

inline SimulatedCall::~SimulatedCall() { m_Owner.m_Calls.erase(m_Number); }

inline PathMode SimulatedCall::pathMode() const {
  return m_Owner.m_World.pathMode(m_Owner.m_Self, m_Request.m_Address);
}

inline CallProgress SimulatedCall::progress() const {
  if (!m_IsSent)
    return CallProgress::Connecting;
  return m_IsRunning ? CallProgress::Acknowledged
                     : CallProgress::Unacknowledged;
}

inline void SimulatedCall::connect() {
  const PathMode Mode = pathMode();
  if (Mode == PathMode::Silent)
    return; // The connect timeout ends it.
  if (Mode != PathMode::Open ||
      m_Owner.m_World.m_Down.contains(
          m_Owner.upstreamAt(m_Request.m_Address)->m_Name)) {
    end(TransportEnd::ConnectRefused);
    return;
  }
  m_ConnectTimer.stop();
  handleConnected();
}

inline void SimulatedCall::handleConnected() {
  if (m_Request.m_HoldSend)
    m_Listener.upstreamConnected();
  else
    startSending();
}

inline void SimulatedCall::startSending() {
  if (m_Request.m_SendCheck && !m_Request.m_SendCheck()) {
    end(TransportEnd::Withheld);
    return;
  }
  m_IsSent = true;
  ++m_Owner.m_SendCount;
  after(UpstreamWorld::Delay, &SimulatedCall::run);
  if (pathMode() != PathMode::Open)
    handlePathChange();
}

inline bool SimulatedCall::isStream() const {
  return std::holds_alternative<Engine>(
      m_Owner.upstreamAt(m_Request.m_Address)->m_Kind);
}

inline void SimulatedCall::run() {
  if (pathMode() == PathMode::Silent)
    return; // handlePathChange() goes on.
  if (m_Owner.m_World.m_PausedDesks && !isStream()) {
    m_Listener.upstreamHeaders(
        503, {{"Call-Not-Run", "1"}, {"Call-Pause-Ms", "2000"}});
    return;
  }
  const HeaderList &Headers = m_Request.m_Headers;
  // Another process may listen at the address by now.
  if (*findHeader(Headers, "Call-Upstream") !=
      m_Owner.upstreamAt(m_Request.m_Address)->m_Name) {
    m_Listener.upstreamHeaders(421, {{"Call-Not-Run", "1"}});
    return;
  }
  m_IsRunning = true;
  m_Owner.m_World.m_Runs.push_back(
      {*findHeader(Headers, "Call-Id"),
       m_Owner.upstreamAt(m_Request.m_Address)->m_Name, m_Owner.m_Self});
  if (const std::string *After = findHeader(Headers, "Call-After"))
    m_NextEvent = std::atoi(After->c_str()) + 1;
  after(isStream() ? UpstreamWorld::FirstEventTime : UpstreamWorld::PlainTime,
        &SimulatedCall::sendNext);
}

inline void SimulatedCall::sendNext() {
  if (m_IsPaused || pathMode() == PathMode::Silent) {
    after(10ms, &SimulatedCall::sendNext);
    return;
  }
  if (!m_HeadSent) {
    m_HeadSent = true;
    m_Listener.upstreamHeaders(
        200, {{"Call-Id", *findHeader(m_Request.m_Headers, "Call-Id")},
              {"Call-Signed", "s"}});
  }
  if (isStream() && m_NextEvent <= UpstreamWorld::EventCount) {
    const std::string Number = std::to_string(m_NextEvent++);
    after(UpstreamWorld::EventInterval, &SimulatedCall::sendNext);
    m_Listener.upstreamBytes(
        "id: " + Number + "\ndata: " +
        (m_Owner.m_World.m_StampsVersions
             ? m_Owner.upstreamAt(m_Request.m_Address)->m_Software.text()
             : std::string(m_Owner.m_World.m_EventBytes, 'x')) +
        "\n\n");
    return;
  }
  if (!isStream())
    m_Listener.upstreamBytes("ok");
  ++m_Owner.m_Kept[m_Request.m_Address];
  end(TransportEnd::Complete);
}

inline void SimulatedCall::handlePathChange() {
  const PathMode Mode = pathMode();
  if (Mode == PathMode::Reset && m_IsSent) {
    end(TransportEnd::Broken);
  } else if (Mode == PathMode::Silent && m_IsSent) {
    if (!m_CutTimer.isRunning())
      m_CutTimer.start(UpstreamWorld::UserTimeout,
                       [this] { end(TransportEnd::Broken); });
  } else {
    m_CutTimer.stop();
    if (m_IsSent && !m_IsRunning && !m_Timer.isRunning())
      after(UpstreamWorld::Delay, &SimulatedCall::run);
  }
}

inline void SimulatedCall::end(TransportEnd End) {
  m_Timer.stop();
  m_ConnectTimer.stop();
  m_CutTimer.stop();
  m_Owner.m_Calls.erase(m_Number);
  m_Listener.upstreamEnded(End);
}

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_SIMULATED_UPSTREAMS_H
