/// Upstream calls: one request, one answer, on a connection of their own.
#include "http/upstream_call.h"

#include "http/answer_parser.h"
#include "http/http_error.h"

#include <algorithm>

namespace crowstep {

namespace {

/// A path with one of these would end the request line early.
bool isPath(const std::string &Text) {
  return Text.starts_with('/') && std::ranges::none_of(Text, [](char Each) {
           return static_cast<unsigned char>(Each) <= ' ' || Each == '\x7f';
         });
}

/// A value with a line break would begin a header of its own.
bool isOneLine(const HeaderField &Field) {
  constexpr const char *LineBreaks = "\r\n";
  return Field.m_Name.find_first_of(LineBreaks) == std::string::npos &&
         Field.m_Value.find_first_of(LineBreaks) == std::string::npos;
}

std::string requestText(const UpstreamSend &What) {
  if (!isPath(What.m_Path))
    throw UpstreamUriError(What.m_Path);
  std::string Result = What.m_Method + " " + What.m_Path + " HTTP/1.1\r\n";
  const auto Append = [&](const std::string &Name, const std::string &Value) {
    Result += Name + ": " + Value + "\r\n";
  };
  if (findHeader(What.m_Headers, "Host") == nullptr)
    Append("Host", toString(What.m_Where));
  for (const HeaderField &Field : What.m_Headers)
    if (isOneLine(Field))
      Append(Field.m_Name, Field.m_Value);
  if (What.m_CloseAfter)
    Append("Connection", "close");
  if (!What.m_Body.empty() || What.m_Method != "GET")
    Append("Content-Length", std::to_string(What.m_Body.size()));
  return Result + "\r\n" + What.m_Body;
}

class HttpUpstreamCall final : public UpstreamCall, public SocketListener {
public:
  HttpUpstreamCall(const Clock &Time, Scheduler &Timers, IdleConnections &Idle,
                   const UpstreamSend &What, UpstreamListener &Listener);
  ~HttpUpstreamCall() override {
    if (m_Destroyed != nullptr)
      *m_Destroyed = true;
  }
  HttpUpstreamCall(const HttpUpstreamCall &) = delete;
  HttpUpstreamCall &operator=(const HttpUpstreamCall &) = delete;

  void pauseReading() override;
  void continueReading() override;

private:
  void socketReady(SocketEvents What) override;

  void open();
  [[nodiscard]] bool maySendAgain() const;
  void connected();
  [[nodiscard]] bool mayStart() const;
  void start();
  void write();
  void read();
  void deliver(bool Failed);
  void keepConnection();
  void updateWatch();
  void watchConnecting();
  void watchSilence(Duration Wait);
  void fail();
  void endSoon(TransportEnd How);
  void end(TransportEnd How);

  const Clock &m_Clock;           ///< Outlives the call.
  IdleConnections &m_Idle;        ///< Outlives the call.
  UpstreamListener &m_Listener;   ///< Outlives the call.
  Address m_Where;                ///< Of the upstream.
  TimePoint m_SendBefore;         ///< Last check.
  std::function<bool()> m_Wanted; ///< Last check as well; may be empty.
  bool m_CloseAfter;              ///< The connection serves no further call.
  std::string m_Out;              ///< The request as it is sent.
  std::size_t m_Written = 0;      ///< Of m_Out.
  AnswerParser m_Parser;          ///< Of the answer.
  std::unique_ptr<UpstreamConnection> m_Connection; ///< Null once ended.
  bool m_SendAgain;             ///< See UpstreamSend; false once it was done.
  bool m_Kept = false;          ///< The connection served a call before.
  bool m_Connecting = false;    ///< The connection doesn't stand yet.
  bool m_Started = false;       ///< A byte may have been sent.
  bool m_WriteFailed = false;   ///< The request was not sent whole.
  bool m_Paused = false;        ///< The caller reads slowly.
  bool m_Answering = false;     ///< Some of the answer, or its end, was read.
  bool m_HeadDelivered = false; ///< The listener knows the head.
  bool *m_Destroyed = nullptr;  ///< Set while the listener is called.
  TimePoint m_LastByte;         ///< For the silence limit.
  Timer m_Silence;              ///< For the silence limit.
  Timer m_Connect;              ///< For the connect limit, and endSoon().
  Duration m_SilenceLimit;      ///< 0: none.
  Duration m_ConnectLimit;      ///< 0: none.
  Timer m_Answer;               ///< For the limit on the whole answer.
};

HttpUpstreamCall::HttpUpstreamCall(const Clock &Time, Scheduler &Timers,
                                   IdleConnections &Idle,
                                   const UpstreamSend &What,
                                   UpstreamListener &Listener)
    : m_Clock(Time), m_Idle(Idle), m_Listener(Listener), m_Where(What.m_Where),
      m_SendBefore(What.m_SendBefore), m_Wanted(What.m_Wanted),
      m_CloseAfter(What.m_CloseAfter && !What.m_Repeatable),
      m_Out(requestText(What)), m_Parser(What.m_Method == "HEAD"),
      m_SendAgain(What.m_SendAgain), m_LastByte(Time.now()), m_Silence(Timers),
      m_Connect(Timers), m_SilenceLimit(What.m_SilenceLimit),
      m_ConnectLimit(What.m_ConnectLimit), m_Answer(Timers) {
  watchSilence(m_SilenceLimit);
  if (What.m_AnswerLimit > Duration::zero())
    m_Answer.start(What.m_AnswerLimit, [this] { fail(); });
  // A kept connection that the upstream closes just now would leave the outcome
  // of a call unknown; on a fresh one a failure to connect proves "not sent".
  if (What.m_Repeatable)
    m_Connection = m_Idle.take(m_Where, *this);
  m_Kept = m_Connection != nullptr;
  if (!m_Kept)
    open();
  else if (mayStart())
    start();
  else
    endSoon(TransportEnd::TooOld);
}

void HttpUpstreamCall::open() {
  auto Opened = UpstreamConnection::open(m_Where, *this);
  if (std::holds_alternative<ConnectOutcome>(Opened)) {
    endSoon(m_Started ? TransportEnd::Broken : TransportEnd::NotSent);
    return;
  }
  m_Connection =
      std::get<std::unique_ptr<UpstreamConnection>>(std::move(Opened));
  m_Connecting = true;
  updateWatch();
  watchConnecting();
}

/// A kept connection that the upstream has closed says nothing of the upstream.
bool HttpUpstreamCall::maySendAgain() const {
  return m_SendAgain && m_Kept && !m_Answering;
}

void HttpUpstreamCall::pauseReading() {
  m_Paused = true;
  updateWatch();
}

void HttpUpstreamCall::continueReading() {
  m_Paused = false;
  m_LastByte = m_Clock.now();
  updateWatch();
}

void HttpUpstreamCall::updateWatch() {
  if (m_Connection == nullptr)
    return;
  m_Connection->watch().watchFor(
      {.m_Read = m_Started && !m_Connecting && !m_Paused,
       .m_Write = m_Connecting || (m_Started && m_Written < m_Out.size())});
}

void HttpUpstreamCall::socketReady(SocketEvents What) {
  if (m_Connecting) {
    connected();
    return;
  }
  if (What.m_Write)
    write();
  if (What.m_Read && !m_Paused)
    read();
}

void HttpUpstreamCall::connected() {
  if (m_Connection->connected() != ConnectOutcome::Stands) {
    fail();
    return;
  }
  m_Connecting = false;
  m_Connect.stop();
  if (mayStart())
    start();
  else
    end(TransportEnd::TooOld);
}

/// The last step at which a call can still be kept back: the connection stands
/// and no byte is written. What remains is a freeze between this check and the
/// write; the claim, which is never stolen, keeps such a call at most once.
bool HttpUpstreamCall::mayStart() const {
  return m_Clock.fresh() < m_SendBefore && (!m_Wanted || m_Wanted());
}

void HttpUpstreamCall::start() {
  m_Started = true;
  write();
}

void HttpUpstreamCall::write() {
  if (m_Written < m_Out.size()) {
    const auto Size =
        m_Connection->write(std::string_view(m_Out).substr(m_Written));
    // An upstream that closed before it read all may have answered: what is
    // there to read decides.
    m_WriteFailed = !Size;
    m_Written = Size ? m_Written + *Size : m_Out.size();
  }
  updateWatch();
}

void HttpUpstreamCall::read() {
  std::string_view Bytes;
  const ReadOutcome Outcome = m_Connection->read(Bytes);
  if (Outcome == ReadOutcome::Nothing)
    return;
  if (Outcome != ReadOutcome::Bytes && maySendAgain()) {
    m_SendAgain = false;
    m_Written = 0;
    open();
    return;
  }
  m_LastByte = m_Clock.now();
  m_Answering = true;
  if (Outcome == ReadOutcome::Bytes)
    m_Parser.feed(Bytes);
  else if (Outcome == ReadOutcome::Closed)
    m_Parser.closed();
  deliver(Outcome == ReadOutcome::Failed);
}

/// Passes on what the parser has. The listener may destroy the call.
void HttpUpstreamCall::deliver(bool Failed) {
  bool Destroyed = false;
  m_Destroyed = &Destroyed;
  if (m_Parser.headKnown() && !m_HeadDelivered) {
    m_HeadDelivered = true;
    m_Listener.upstreamHeaders(m_Parser.status(), m_Parser.headers());
    if (Destroyed)
      return;
  }
  if (const std::string Body = m_Parser.takeBody(); !Body.empty()) {
    m_Listener.upstreamBytes(Body);
    if (Destroyed)
      return;
  }
  m_Destroyed = nullptr;
  if (Failed || m_Parser.state() == AnswerState::Invalid) {
    fail();
  } else if (m_Parser.state() == AnswerState::Complete) {
    keepConnection();
    end(TransportEnd::Complete);
  }
}

/// An upstream that answers before it has read the whole body would take a
/// further request for the rest of it.
void HttpUpstreamCall::keepConnection() {
  const bool SentWhole = m_Written == m_Out.size() && !m_WriteFailed;
  if (SentWhole && m_Parser.mayKeepConnection() && !m_CloseAfter)
    m_Idle.keep(m_Where, std::move(m_Connection));
}

/// A dark machine answers no opening packet; the kernel's own limit is over a
/// minute, and until then the caller would wait for nothing.
void HttpUpstreamCall::watchConnecting() {
  if (m_ConnectLimit > Duration::zero())
    m_Connect.start(m_ConnectLimit, [this] { fail(); });
}

/// A hung upstream closes nothing; without a limit its callers would wait for
/// ever and its slot would stay taken.
void HttpUpstreamCall::watchSilence(Duration Wait) {
  if (m_SilenceLimit <= Duration::zero())
    return;
  m_Silence.start(Wait, [this] {
    const Duration Silent = m_Clock.now() - m_LastByte;
    if (m_Paused || Silent < m_SilenceLimit)
      watchSilence(m_Paused ? m_SilenceLimit : m_SilenceLimit - Silent);
    else
      fail();
  });
}

void HttpUpstreamCall::fail() {
  end(m_Started ? TransportEnd::Broken : TransportEnd::NotSent);
}

/// The listener hears nothing from within send().
void HttpUpstreamCall::endSoon(TransportEnd How) {
  m_Connection.reset();
  m_Connect.start(Duration::zero(), [this, How] { end(How); });
}

/// The listener may destroy the call, so nothing follows.
void HttpUpstreamCall::end(TransportEnd How) {
  m_Silence.stop();
  m_Connect.stop();
  m_Answer.stop();
  m_Connection.reset();
  m_Listener.upstreamEnded(How);
}

/// A connection that is opened to see whether anybody listens.
class HttpUpstreamProbe final : public UpstreamProbe, public SocketListener {
public:
  HttpUpstreamProbe(Scheduler &Timers, IdleConnections &Idle,
                    const Address &Where, Duration Limit, ProbeDone OnDone)
      : m_Idle(Idle), m_Where(Where), m_Done(std::move(OnDone)),
        m_Limit(Timers) {
    auto Opened = UpstreamConnection::open(Where, *this);
    if (const auto *Failure = std::get_if<ConnectOutcome>(&Opened)) {
      m_Limit.start(Duration::zero(), [this, Why = *Failure] { m_Done(Why); });
      return;
    }
    m_Connection =
        std::get<std::unique_ptr<UpstreamConnection>>(std::move(Opened));
    m_Connection->watch().watchFor({.m_Write = true});
    m_Limit.start(Limit, [this] { m_Done(ConnectOutcome::Failed); });
  }

private:
  /// The owner may destroy the probe, so nothing follows m_Done.
  void socketReady(SocketEvents) override {
    m_Limit.stop();
    const ConnectOutcome Result = m_Connection->connected();
    if (Result == ConnectOutcome::Stands)
      m_Idle.keep(m_Where, std::move(m_Connection));
    else
      m_Connection.reset();
    m_Done(Result);
  }

  IdleConnections &m_Idle; ///< Outlives the probe.
  Address m_Where;         ///< Of the upstream.
  ProbeDone m_Done;        ///< Never empty.
  Timer m_Limit;           ///< Or the outcome of the opening.
  std::unique_ptr<UpstreamConnection> m_Connection; ///< Null once it failed.
};

} // namespace

std::unique_ptr<UpstreamProbe> HttpUpstreamCaller::probe(const Address &Where,
                                                         Duration Limit,
                                                         ProbeDone OnDone) {
  return std::make_unique<HttpUpstreamProbe>(m_Timers, m_Idle, Where, Limit,
                                             std::move(OnDone));
}

std::unique_ptr<UpstreamCall>
HttpUpstreamCaller::send(const UpstreamSend &What, UpstreamListener &Listener) {
  return std::make_unique<HttpUpstreamCall>(m_Clock, m_Timers, m_Idle, What,
                                            Listener);
}

} // namespace crowstep
