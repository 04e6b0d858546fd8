/// Upstream calls: each has a connection for one request and one answer.
#include "http/upstream_call.h"

#include "core/log.h"
#include "http/answer_parser.h"
#include "http/http_error.h"
#include "http/request_target.h"

#include <algorithm>
#include <array>
#include <utility>

namespace crowstep {

std::string_view nameOf(CallProgress Progress) {
  static constexpr std::array<std::string_view, 3> Names = {
      "connecting", "unacknowledged", "acknowledged"};
  return Names.at(static_cast<std::size_t>(Progress));
}

namespace {

/// Limit on the statement of a process check.
constexpr std::size_t MaxStatementBytes = 64 << 10;

/// Rejects line breaks, which would start another header.
bool isOneLine(const HeaderField &Field) {
  constexpr const char *LineBreaks = "\r\n";
  return Field.m_Name.find_first_of(LineBreaks) == std::string::npos &&
         Field.m_Value.find_first_of(LineBreaks) == std::string::npos;
}

std::string requestText(const UpstreamRequest &Request) {
  if (!isSendablePath(Request.m_Path))
    throw UpstreamUriError(Request.m_Path);
  std::string Result =
      Request.m_Method + " " + Request.m_Path + " HTTP/1.1\r\n";
  const auto Append = [&](const std::string &Name, const std::string &Value) {
    Result += Name + ": " + Value + "\r\n";
  };
  if (findHeader(Request.m_Headers, "Host") == nullptr)
    Append("Host", toString(Request.m_Address));
  for (const HeaderField &Field : Request.m_Headers)
    if (isOneLine(Field))
      Append(Field.m_Name, Field.m_Value);
  if (Request.m_CloseAfter)
    Append("Connection", "close");
  if (!Request.m_Body.empty() || Request.m_Method != "GET")
    Append("Content-Length", std::to_string(Request.m_Body.size()));
  return Result + "\r\n" + Request.m_Body;
}

class HttpUpstreamCall final : public UpstreamCall, public SocketListener {
public:
  HttpUpstreamCall(const Clock &Time, Scheduler &Timers, const Address &Source,
                   IdleConnections &Idle, BrokenAnswerStats *BrokenAnswers,
                   const UpstreamRequest &Request, UpstreamListener &Listener);
  ~HttpUpstreamCall() override {
    if (m_Destroyed != nullptr)
      *m_Destroyed = true;
  }
  HttpUpstreamCall(const HttpUpstreamCall &) = delete;
  HttpUpstreamCall &operator=(const HttpUpstreamCall &) = delete;

  void pauseReading() override;
  void resumeReading() override;
  void release() override;
  [[nodiscard]] CallProgress progress() const override;

private:
  void socketReady(SocketEvents Events) override;

  void open();
  [[nodiscard]] bool mayRetry() const;
  void finishConnect();
  void handleConnected();
  [[nodiscard]] bool maySend() const;
  void startSending();
  [[nodiscard]] bool needsCheck() const;
  void startCheck();
  void readStatement();
  void endCheck();
  void write();
  void freeWrittenRequest();
  void read();
  void deliver();
  void recordFault(const AnswerParser &Parser);
  void keepConnection();
  void updateWatch();
  void startConnectTimer();
  void startSilenceTimer(Duration Delay);
  void fail();
  [[nodiscard]] TransportEnd connectFailure(ConnectOutcome Outcome) const;
  void scheduleEnd(TransportEnd End);
  void end(TransportEnd End);

  const Clock &m_Clock;                ///< Outlives the call.
  IdleConnections &m_IdleConnections;  ///< Outlives the call.
  BrokenAnswerStats *m_BrokenAnswers;  ///< May be null; outlives the call.
  UpstreamListener &m_Listener;        ///< Outlives the call.
  Address m_Source;                    ///< See HttpUpstreamClient.
  Address m_Address;                   ///< Of the upstream.
  TimePoint m_SendDeadline;            ///< See UpstreamRequest.
  std::function<bool()> m_SendCheck;   ///< May be empty.
  bool m_CloseAfter;                   ///< Don't keep the connection.
  bool m_IsHeld;                       ///< Waits for release().
  std::string m_Output;                ///< The serialized request.
  std::optional<ProcessCheck> m_Check; ///< See UpstreamRequest.
  std::unique_ptr<AnswerParser> m_StatementParser; ///< Set during the check.
  std::string m_Statement;                         ///< Its body so far.
  std::size_t m_WrittenBytes = 0; ///< Part of m_Output already written.
  AnswerParser m_Parser;          ///< Of the answer.
  std::unique_ptr<UpstreamConnection> m_Connection; ///< Null once ended.
  bool m_RetryStaleConnection;  ///< See UpstreamRequest; false after the retry.
  bool m_IsReused = false;      ///< The first connection came from the pool.
  bool m_IsConnecting = false;  ///< Not established yet.
  bool m_SendStarted = false;   ///< Bytes may have been sent.
  bool m_WriteFailed = false;   ///< The request was not sent in full.
  bool m_IsPaused = false;      ///< The caller reads slowly.
  bool m_AnswerStarted = false; ///< Bytes or the end of the answer were read.
  bool m_HeadDelivered = false; ///< The listener has the head.
  CallProgress m_LastProgress =
      CallProgress::Connecting; ///< Without a connection.
  bool *m_Destroyed = nullptr;  ///< Set during a call of the listener.
  TimePoint m_LastByte;         ///< For the silence timeout.
  Timer m_SilenceTimer;         ///< For the silence timeout.
  Timer m_ConnectTimer;         ///< For the connect timeout and scheduleEnd().
  Duration m_SilenceTimeout;    ///< 0: none.
  Duration m_ConnectTimeout;    ///< 0: none.
  Timer m_AnswerTimer;          ///< For the timeout of the whole call.
};

HttpUpstreamCall::HttpUpstreamCall(const Clock &Time, Scheduler &Timers,
                                   const Address &Source, IdleConnections &Idle,
                                   BrokenAnswerStats *BrokenAnswers,
                                   const UpstreamRequest &Request,
                                   UpstreamListener &Listener)
    : m_Clock(Time), m_IdleConnections(Idle), m_BrokenAnswers(BrokenAnswers),
      m_Listener(Listener), m_Source(Source), m_Address(Request.m_Address),
      m_SendDeadline(Request.m_SendDeadline), m_SendCheck(Request.m_SendCheck),
      m_CloseAfter(Request.m_CloseAfter), m_IsHeld(Request.m_HoldSend),
      m_Output(requestText(Request)), m_Check(Request.m_ProcessCheck),
      m_Parser(Request.m_Method == "HEAD"),
      m_RetryStaleConnection(Request.m_RetryStaleConnection),
      m_LastByte(Time.now()), m_SilenceTimer(Timers), m_ConnectTimer(Timers),
      m_SilenceTimeout(Request.m_SilenceTimeout),
      m_ConnectTimeout(Request.m_ConnectTimeout), m_AnswerTimer(Timers) {
  startSilenceTimer(m_SilenceTimeout);
  if (Request.m_AnswerTimeout > Duration::zero())
    m_AnswerTimer.start(Request.m_AnswerTimeout, [this] { fail(); });
  // If the upstream closes an idle connection just as a request is sent on it,
  // the outcome of the call is unknown. A new connection that fails to open
  // proves that nothing was sent.
  if (Request.m_Repeatable)
    m_Connection = m_IdleConnections.take(m_Address, *this);
  m_IsReused = m_Connection != nullptr;
  if (!m_IsReused)
    open();
  else if (m_IsHeld)
    m_ConnectTimer.start(Duration::zero(),
                         [this] { m_Listener.upstreamConnected(); });
  else
    handleConnected();
}

void HttpUpstreamCall::handleConnected() {
  if (needsCheck())
    startCheck();
  else if (maySend())
    startSending();
  else
    scheduleEnd(TransportEnd::Withheld);
}

void HttpUpstreamCall::release() {
  m_IsHeld = false;
  handleConnected();
}

void HttpUpstreamCall::open() {
  auto Opened = UpstreamConnection::open(m_Address, m_Source, *this);
  if (const auto *Failed = std::get_if<ConnectOutcome>(&Opened)) {
    scheduleEnd(connectFailure(*Failed));
    return;
  }
  m_Connection =
      std::get<std::unique_ptr<UpstreamConnection>>(std::move(Opened));
  m_IsConnecting = true;
  updateWatch();
  startConnectTimer();
}

/// The close of an idle connection by the upstream is no sign of its failure.
bool HttpUpstreamCall::mayRetry() const {
  return m_RetryStaleConnection && m_IsReused && !m_AnswerStarted;
}

void HttpUpstreamCall::pauseReading() {
  m_IsPaused = true;
  updateWatch();
}

void HttpUpstreamCall::resumeReading() {
  m_IsPaused = false;
  m_LastByte = m_Clock.now();
  updateWatch();
}

void HttpUpstreamCall::updateWatch() {
  if (m_Connection == nullptr)
    return;
  m_Connection->watch().setEvents(
      {.m_Read = m_SendStarted && !m_IsConnecting && !m_IsPaused,
       .m_Write = m_IsConnecting ||
                  (m_SendStarted && m_WrittenBytes < m_Output.size())});
}

void HttpUpstreamCall::socketReady(SocketEvents Events) {
  if (m_IsConnecting) {
    finishConnect();
    return;
  }
  if (m_StatementParser != nullptr) {
    readStatement();
    return;
  }
  if (Events.m_Write)
    write();
  if (Events.m_Read && !m_IsPaused)
    read();
}

CallProgress HttpUpstreamCall::progress() const {
  if (!m_SendStarted || m_Connection == nullptr || m_IsConnecting)
    return m_LastProgress;
  const bool IsPending = m_WrittenBytes < m_Output.size() ||
                         m_Connection->hasUnacknowledgedBytes();
  return m_AnswerStarted || !IsPending ? CallProgress::Acknowledged
                                       : CallProgress::Unacknowledged;
}

/// Returns the end of a call whose connection failed before it was established.
/// The first attempt on a stale connection may have been received.
TransportEnd HttpUpstreamCall::connectFailure(ConnectOutcome Outcome) const {
  if (m_SendStarted)
    return TransportEnd::Broken;
  return Outcome == ConnectOutcome::Refused ? TransportEnd::ConnectRefused
                                            : TransportEnd::NotSent;
}

void HttpUpstreamCall::finishConnect() {
  if (const ConnectOutcome Outcome = m_Connection->connectOutcome();
      Outcome != ConnectOutcome::Connected) {
    end(connectFailure(Outcome));
    return;
  }
  m_IsConnecting = false;
  m_ConnectTimer.stop();
  if (m_IsHeld) {
    updateWatch();
    m_Listener.upstreamConnected();
    return;
  }
  if (needsCheck())
    startCheck();
  else if (maySend())
    startSending();
  else
    // The first attempt on a stale connection may have been received.
    end(m_SendStarted ? TransportEnd::Broken : TransportEnd::Withheld);
}

/// The last point at which a call can be withheld: the connection is
/// established and nothing has been written to it. The process may still be
/// suspended between this check and the write; the claim, which no other
/// instance takes over, ensures that such a call runs at most once.
bool HttpUpstreamCall::maySend() const {
  return m_Clock.readNow() < m_SendDeadline && (!m_SendCheck || m_SendCheck());
}

void HttpUpstreamCall::startSending() {
  m_SendStarted = true;
  write();
}

bool HttpUpstreamCall::needsCheck() const {
  return m_Check && m_Connection->process() != m_Check->m_Process;
}

/// The statement is so short that the socket takes it at once.
void HttpUpstreamCall::startCheck() {
  const std::string Text = "GET " + m_Check->m_Path +
                           " HTTP/1.1\r\nHost: " + toString(m_Address) +
                           "\r\n\r\n";
  m_StatementParser = std::make_unique<AnswerParser>(false);
  m_Statement.clear();
  if (m_Connection->write(Text) != Text.size()) {
    scheduleEnd(TransportEnd::NotSent);
    return;
  }
  m_Connection->watch().setEvents({.m_Read = true});
  startConnectTimer();
}

/// An idle connection may have been closed just before: a new one is opened.
void HttpUpstreamCall::readStatement() {
  std::string_view Bytes;
  const ReadOutcome Outcome = m_Connection->read(Bytes);
  if (Outcome == ReadOutcome::WouldBlock)
    return;
  if (Outcome == ReadOutcome::Bytes) {
    m_StatementParser->feed(Bytes);
    m_Statement += m_StatementParser->takeBody();
    if (m_Statement.size() > MaxStatementBytes)
      end(TransportEnd::Unproven);
    else if (m_StatementParser->state() != AnswerState::Reading)
      endCheck();
    return;
  }
  m_StatementParser.reset();
  if (std::exchange(m_IsReused, false))
    open();
  else
    end(TransportEnd::NotSent);
}

void HttpUpstreamCall::endCheck() {
  constexpr unsigned HttpOk = 200;
  m_ConnectTimer.stop();
  recordFault(*m_StatementParser);
  const bool IsReadable = m_StatementParser->state() == AnswerState::Complete &&
                          m_StatementParser->status() == HttpOk &&
                          m_StatementParser->canReuseConnection();
  const ProcessStatement Stated =
      IsReadable ? m_Check->m_Read(m_Statement) : ProcessStatement::Unreadable;
  m_StatementParser.reset();
  switch (Stated) {
  case ProcessStatement::Expected:
    m_Connection->setProcess(m_Check->m_Process);
    handleConnected();
    break;
  case ProcessStatement::Other:
    end(TransportEnd::OtherProcess);
    break;
  case ProcessStatement::Unreadable:
    end(TransportEnd::Unproven);
    break;
  }
}

void HttpUpstreamCall::write() {
  if (m_WrittenBytes < m_Output.size()) {
    const auto Size =
        m_Connection->write(std::string_view(m_Output).substr(m_WrittenBytes));
    // An upstream that closes before it has read the whole request may have
    // answered, so the outcome depends on what can be read.
    m_WriteFailed = !Size;
    m_WrittenBytes = Size ? m_WrittenBytes + *Size : m_Output.size();
  }
  freeWrittenRequest();
  updateWatch();
}

/// An answer may take long, and its request is needed only until it can't be
/// sent again.
void HttpUpstreamCall::freeWrittenRequest() {
  if (m_WrittenBytes < m_Output.size() || mayRetry())
    return;
  std::string().swap(m_Output);
  m_WrittenBytes = 0;
}

void HttpUpstreamCall::read() {
  std::string_view Bytes;
  const ReadOutcome Outcome = m_Connection->read(Bytes);
  if (Outcome == ReadOutcome::WouldBlock)
    return;
  if (Outcome != ReadOutcome::Bytes && mayRetry()) {
    m_RetryStaleConnection = false;
    m_WrittenBytes = 0;
    open();
    return;
  }
  m_LastByte = m_Clock.now();
  m_AnswerStarted = true;
  freeWrittenRequest();
  if (Outcome == ReadOutcome::Bytes)
    m_Parser.feed(Bytes);
  else if (Outcome == ReadOutcome::Closed)
    m_Parser.peerClosed();
  else
    m_Parser.connectionFailed();
  deliver();
}

/// Delivers what the parser has. The listener may destroy the call.
void HttpUpstreamCall::deliver() {
  bool Destroyed = false;
  m_Destroyed = &Destroyed;
  if (m_Parser.hasHead() && !m_HeadDelivered) {
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
  if (m_Parser.state() == AnswerState::Invalid) {
    recordFault(m_Parser);
    fail();
  } else if (m_Parser.state() == AnswerState::Complete) {
    keepConnection();
    end(TransportEnd::Complete);
  }
}

void HttpUpstreamCall::recordFault(const AnswerParser &Parser) {
  const std::optional<AnswerFault> Fault = Parser.fault();
  if (!Fault)
    return;
  if (m_BrokenAnswers != nullptr)
    m_BrokenAnswers->count(*Fault);
  logEvent(LogEvent::AnswerBroken, {{"upstream", toString(m_Address)},
                                    {"reason", std::string(nameOf(*Fault))}});
}

/// An upstream that answers before it has read the whole body would take the
/// next request for the rest of that body.
void HttpUpstreamCall::keepConnection() {
  const bool SentWhole = m_WrittenBytes == m_Output.size() && !m_WriteFailed;
  if (SentWhole && m_Parser.canReuseConnection() && !m_CloseAfter)
    m_IdleConnections.add(m_Address, std::move(m_Connection));
}

/// A machine that is down does not answer the SYN. The kernel's own timeout is
/// over a minute, and the caller would wait for all of it.
void HttpUpstreamCall::startConnectTimer() {
  if (m_ConnectTimeout > Duration::zero())
    m_ConnectTimer.start(m_ConnectTimeout, [this] { fail(); });
}

/// An upstream that hangs does not close its connections; without a timeout its
/// callers would wait forever and its slots would stay occupied.
void HttpUpstreamCall::startSilenceTimer(Duration Delay) {
  if (m_SilenceTimeout <= Duration::zero())
    return;
  m_SilenceTimer.start(Delay, [this] {
    const Duration Silent = m_Clock.now() - m_LastByte;
    if (m_IsPaused || Silent < m_SilenceTimeout)
      startSilenceTimer(m_IsPaused ? m_SilenceTimeout
                                   : m_SilenceTimeout - Silent);
    else
      fail();
  });
}

/// A call that timed out behind a cut must not arrive once the cut has healed:
/// its sender has given it up, and another one may have taken its place.
void HttpUpstreamCall::fail() {
  if (m_SendStarted && m_Connection != nullptr)
    m_Connection->resetOnClose();
  end(m_SendStarted ? TransportEnd::Broken : TransportEnd::NotSent);
}

/// Ends the call from the event loop, as the listener must not be called from
/// within send().
void HttpUpstreamCall::scheduleEnd(TransportEnd End) {
  m_Connection.reset();
  m_ConnectTimer.start(Duration::zero(), [this, End] { end(End); });
}

/// The listener may destroy the call, so upstreamEnded() must come last.
void HttpUpstreamCall::end(TransportEnd End) {
  m_SilenceTimer.stop();
  m_ConnectTimer.stop();
  m_AnswerTimer.stop();
  m_LastProgress = progress();
  m_Connection.reset();
  m_Listener.upstreamEnded(End);
}

/// Opens a connection to check whether an upstream accepts it.
class HttpUpstreamProbe final : public UpstreamProbe, public SocketListener {
public:
  HttpUpstreamProbe(Scheduler &Timers, const Address &Source,
                    IdleConnections &Idle, const Address &Upstream,
                    Duration Timeout, ProbeCallback OnDone)
      : m_IdleConnections(Idle), m_Address(Upstream),
        m_OnDone(std::move(OnDone)), m_Timer(Timers) {
    auto Opened = UpstreamConnection::open(Upstream, Source, *this);
    if (const auto *FailedOutcome = std::get_if<ConnectOutcome>(&Opened)) {
      m_Timer.start(Duration::zero(),
                    [this, Outcome = *FailedOutcome] { finish(Outcome); });
      return;
    }
    m_Connection =
        std::get<std::unique_ptr<UpstreamConnection>>(std::move(Opened));
    m_Connection->watch().setEvents({.m_Write = true});
    m_Timer.start(Timeout, [this] { finish(ConnectOutcome::Failed); });
  }

private:
  void socketReady(SocketEvents) override {
    const ConnectOutcome Result = m_Connection->connectOutcome();
    if (Result == ConnectOutcome::Connected)
      m_IdleConnections.add(m_Address, std::move(m_Connection));
    finish(Result);
  }

  /// Ends all sources of events first: the owner may keep the probe until the
  /// next iteration of the loop, and another one may be due in this one. The
  /// callback may destroy the probe, so it must come last.
  void finish(ConnectOutcome Outcome) {
    m_Timer.stop();
    m_Connection.reset();
    const ProbeCallback OnDone = std::exchange(m_OnDone, nullptr);
    OnDone(Outcome);
  }

  IdleConnections &m_IdleConnections; ///< Outlives the probe.
  Address m_Address;                  ///< Of the upstream.
  ProbeCallback m_OnDone;             ///< Never empty.
  Timer m_Timer; ///< For the timeout, or an immediate failure.
  std::unique_ptr<UpstreamConnection> m_Connection; ///< Null when done.
};

} // namespace

std::unique_ptr<UpstreamProbe>
HttpUpstreamClient::probe(const Address &Upstream, Duration Timeout,
                          ProbeCallback OnDone) {
  return std::make_unique<HttpUpstreamProbe>(m_Timers, m_Source,
                                             m_IdleConnections, Upstream,
                                             Timeout, std::move(OnDone));
}

std::unique_ptr<UpstreamCall>
HttpUpstreamClient::send(const UpstreamRequest &Request,
                         UpstreamListener &Listener) {
  return std::make_unique<HttpUpstreamCall>(m_Clock, m_Timers, m_Source,
                                            m_IdleConnections, m_BrokenAnswers,
                                            Request, Listener);
}

} // namespace crowstep
