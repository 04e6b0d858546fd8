/// State machine of a caller's connection: receive, answer, next request.
#include "http/caller_connection.h"

#include "http/refusal_answer.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <limits>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace crowstep {

namespace {

constexpr std::size_t ReadSize = 16384;

/// Size of a read when the memory for requests is used up: short requests are
/// served also then.
constexpr std::size_t ScarceReadSize = 1024;

/// A request may occupy this much even if others have used up the memory.
constexpr std::size_t OwnBytes = 8192;

/// What a request occupies while it waits for its answer, beside its own bytes:
/// the objects of the request and of its call, and the call's connection.
constexpr std::size_t RequestOverhead = 4096;

/// A request that is received more slowly than this while others wait for its
/// memory is given up.
constexpr std::size_t MinProgressBytes = 4096;

/// Bytes that the kernel takes for a caller beyond what it may send at once.
/// Its own limit is several MB a connection, which no budget of this process
/// counts.
constexpr int KernelBacklog = 64 << 10;

/// A caller that accepts no byte of a finished answer for this long counts as
/// gone: without a limit it would hold the memory of the answer for ever.
constexpr Duration FlushTimeout = std::chrono::seconds(20);

/// Time for a caller to read its last answer and to close. Closing a socket
/// with unread input sends a reset, which can destroy an unread answer.
constexpr Duration LingerTimeout = std::chrono::seconds(1);

/// Retry-After of a request that was given up for lack of memory.
constexpr Duration NoMemoryRetryAfter = std::chrono::seconds(1);

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpNoContent = 204;
constexpr unsigned HttpNotModified = 304;

bool hasNoBody(unsigned Status) {
  return Status < HttpOk || Status == HttpNoContent ||
         Status == HttpNotModified;
}

std::size_t longestHeader(const HeaderList &Headers) {
  std::size_t Longest = 0;
  for (const HeaderField &Field : Headers)
    Longest = std::max(Longest, Field.m_Value.size());
  return Longest;
}

/// Returns whether two HTTP implementations could disagree about where the body
/// ends. One would take for a further request what the other takes for the rest
/// of the body, so a caller could smuggle in a request for another workspace.
bool isFramingAmbiguous(const HeaderList &Headers) {
  const std::string *Length = findHeader(Headers, "Content-Length");
  const std::string *Coding = findHeader(Headers, "Transfer-Encoding");
  if (Coding != nullptr)
    return Length != nullptr || !equalsIgnoreCase(*Coding, "chunked") ||
           countHeaders(Headers, "Transfer-Encoding") > 1;
  if (Length == nullptr)
    return false;
  return countHeaders(Headers, "Content-Length") > 1 || Length->empty() ||
         Length->find_first_not_of("0123456789") != std::string::npos;
}

bool closesConnection(const HeaderList &Headers) {
  const std::string *Value = findHeader(Headers, "Connection");
  return Value != nullptr && equalsIgnoreCase(*Value, "close");
}

std::string hex(std::size_t Number) {
  std::array<char, 2 * sizeof(Number)> Text{};
  const auto End =
      std::to_chars(Text.data(), Text.data() + Text.size(), Number, 16).ptr;
  return {Text.data(), End};
}

} // namespace

/// The caller of one request, until it is answered or disconnects.
class CallerConnection::Handle final : public Caller {
public:
  explicit Handle(CallerConnection &Connection) : m_Connection(&Connection) {}
  ~Handle() override { abortAnswer(); }
  Handle(const Handle &) = delete;
  Handle &operator=(const Handle &) = delete;

  void answer(const CallerAnswer &Answer) override {
    if (m_Connection != nullptr)
      m_Connection->answer(Answer);
  }
  void beginStream(const CallerAnswer &Head) override {
    if (m_Connection != nullptr)
      m_Connection->beginStream(Head);
  }
  void append(const std::string &Bytes) override {
    if (m_Connection != nullptr)
      m_Connection->append(Bytes);
  }
  void endStream() override {
    if (m_Connection != nullptr)
      m_Connection->endStream();
  }
  void abortAnswer() override {
    if (m_Connection != nullptr)
      m_Connection->abortAnswer();
  }
  [[nodiscard]] bool hasDisconnected() const override {
    return m_Connection == nullptr || m_Connection->hasDisconnected();
  }
  [[nodiscard]] std::size_t backlog() const override {
    return m_Connection == nullptr ? 0 : m_Connection->backlog();
  }
  [[nodiscard]] bool mayBuffer() override {
    return m_Connection == nullptr || m_Connection->m_Unread.hasRoom();
  }
  void onDisconnect(std::function<void()> Callback) override {
    m_OnDisconnect = std::move(Callback);
  }
  void onBacklogReduced(std::function<void()> Callback) override {
    m_OnBacklogReduced = std::move(Callback);
  }

  /// Ends the link to the connection; all calls become no-ops.
  void detach() { m_Connection = nullptr; }

  void notifyDisconnect() const {
    // The callback may destroy the handle.
    if (const auto Callback = m_OnDisconnect)
      Callback();
  }
  void notifyBacklogReduced() const {
    if (m_OnBacklogReduced)
      m_OnBacklogReduced();
  }

private:
  CallerConnection *m_Connection;       ///< Null once answered or disconnected.
  std::function<void()> m_OnDisconnect; ///< May be empty.
  std::function<void()> m_OnBacklogReduced; ///< May be empty.
};

CallerConnection::CallerConnection(SocketPtr Socket,
                                   CallerConnectionOwner &Owner,
                                   Scheduler &Timers)
    : m_Owner(Owner), m_Socket(std::move(Socket)), m_Timer(Timers),
      m_RoomTimer(Timers), m_Unread(Owner.unreadBytes(),
                                    [this] {
                                      if (m_Handle != nullptr)
                                        m_Handle->notifyBacklogReduced();
                                    }),
      m_Received(Owner.receivedBytes(), [this] {
        m_RoomTimer.start(Duration::zero(), [this] { handleRoom(); });
      }) {
  g_socket_set_blocking(m_Socket.get(), 0);
  // Nagle's algorithm would delay the last segment of an answer.
  g_socket_set_option(m_Socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  g_socket_set_option(m_Socket.get(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
                      KernelBacklog, nullptr);
  m_Watch.emplace(g_socket_get_fd(m_Socket.get()), *this);
  waitForRequest();
}

CallerConnection::~CallerConnection() {
  if (Handle *OpenHandle = releaseHandle())
    OpenHandle->detach();
  m_Watch.reset();
  g_socket_close(m_Socket.get(), nullptr);
}

bool CallerConnection::isBusy() const {
  const bool HasInput =
      !m_Input.empty() || m_Parser->state() != RequestParseState::NotStarted;
  return isAnswering() || (m_Phase == Phase::Receiving && HasInput);
}

CallerConnection::Handle *CallerConnection::releaseHandle() {
  return std::exchange(m_Handle, nullptr);
}

void CallerConnection::close() {
  if (m_Phase == Phase::Closed)
    return;
  m_Phase = Phase::Closed;
  m_Timer.stop();
  m_RoomTimer.stop();
  m_Watch.reset();
  g_socket_close(m_Socket.get(), nullptr);
  Handle *OpenHandle = releaseHandle();
  m_Output.clear();
  m_Unread.resize(0);
  m_Received.resize(0);
  m_Owner.connectionClosed(*this);
  if (OpenHandle == nullptr)
    return;
  OpenHandle->detach();
  OpenHandle->notifyDisconnect();
}

void CallerConnection::updateWatch() {
  if (!m_Watch)
    return;
  const bool AnswerPending =
      m_Phase == Phase::AwaitingAnswer || m_Phase == Phase::Streaming;
  m_Watch->setEvents({.m_Read = m_Phase != Phase::Flushing &&
                                !m_NextRequestPending && mayReceive(),
                      .m_Write = !m_WriteFailed && !m_Output.empty(),
                      .m_HungUp = AnswerPending});
}

/// Requests are read only while there is room for them; the kernel then stops
/// the caller. The first bytes always are: they tell whether the caller is
/// there, and a short request needs no more.
bool CallerConnection::mayReceive() {
  if (m_Phase != Phase::Receiving)
    return true;
  if (m_IsComplete)
    return false;
  // The only request has room up to the limit on its size.
  const bool IsAlone =
      m_Received.bytes() == m_Owner.receivedBytes().usedBytes();
  if (m_Received.bytes() < OwnBytes || IsAlone || m_Received.hasRoom())
    return true;
  m_Owner.roomNeeded();
  return false;
}

std::size_t CallerConnection::partialBytes() const {
  return m_Input.capacity() + m_Parser->memoryBytes();
}

std::size_t CallerConnection::readSize() const {
  if (m_Phase != Phase::Receiving)
    return ReadSize;
  return std::clamp(m_Owner.receivedBytes().freeBytes(), ScarceReadSize,
                    ReadSize);
}

void CallerConnection::handleRoom() {
  if (m_IsComplete)
    handleRequest();
  else
    updateWatch();
}

// ---- Progress ---------------------------------------------------------------

void CallerConnection::startMeasuringProgress() { m_ProgressBytes = 0; }

bool CallerConnection::hasStalled() const {
  return m_Phase == Phase::Receiving && m_Received.bytes() > 0 &&
         m_ProgressBytes < MinProgressBytes;
}

bool CallerConnection::isWaitingForRoom() const {
  return m_Phase == Phase::Receiving && m_Received.isWaiting();
}

void CallerConnection::giveUp(RefusalReason Reason) {
  if (m_Phase == Phase::Receiving)
    refuse(Reason);
}

void CallerConnection::socketReady(SocketEvents Events) {
  if (m_Phase == Phase::AwaitingAnswer || m_Phase == Phase::Streaming) {
    if (Events.m_HungUp) {
      close();
      return;
    }
    if (Events.m_Read && !m_NextRequestPending)
      detectClose();
    if (Events.m_Write && m_Phase != Phase::Closed) {
      write();
      if (m_Handle != nullptr)
        m_Handle->notifyBacklogReduced();
    }
    return;
  }
  if (Events.m_Write && !m_Output.empty())
    write();
  if (m_WriteFailed)
    close();
  else if (Events.m_Read && m_Phase != Phase::Flushing)
    readSocket();
}

/// Nothing is read while an answer is pending, so the caller's close has to be
/// detected by a peek. Otherwise the request of a caller that disconnected
/// would keep its place in the queue, and its slot, until it is finished.
void CallerConnection::detectClose() {
  char Byte = 0;
  const ssize_t Size =
      recv(g_socket_get_fd(m_Socket.get()), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Size < 0 && wouldBlock(errno))
    return;
  if (Size <= 0) {
    close();
    return;
  }
  // The next request; a close after it is still reported as a hang-up.
  m_NextRequestPending = true;
  updateWatch();
}

// ---- Receiving --------------------------------------------------------------

void CallerConnection::waitForRequest() {
  m_Phase = Phase::Receiving;
  m_Parser.emplace();
  m_NextRequestPending = false;
  startIdleTimer();
  updateWatch();
}

void CallerConnection::startIdleTimer() {
  m_Timer.start(m_Owner.limits().m_IdleTimeout,
                [this] { handleIdleTimeout(); });
}

/// If the event loop was delayed, a request that arrived in time may still be
/// unread, so the socket is read once more before the close.
void CallerConnection::handleIdleTimeout() {
  if (m_Parser->state() != RequestParseState::NotStarted) {
    close();
    return;
  }
  m_Timer.start(m_Owner.limits().m_ReceiveTimeout, [this] { close(); });
  readSocket();
  if (m_Phase == Phase::Receiving && !isBusy())
    close();
}

void CallerConnection::closeIfIdle() {
  if (!m_HasServed || m_Phase != Phase::Receiving || isBusy())
    return;
  readSocket();
  if (m_Phase == Phase::Receiving && !isBusy())
    close();
}

void CallerConnection::readSocket() {
  static std::array<char, ReadSize> Buffer;
  const ssize_t Size = recv(g_socket_get_fd(m_Socket.get()), Buffer.data(),
                            readSize(), MSG_DONTWAIT);
  if (Size < 0 && wouldBlock(errno))
    return;
  if (Size <= 0) {
    // Also within a request: a truncated one is never passed on.
    close();
    return;
  }
  if (m_Phase == Phase::Discarding)
    return;
  m_ProgressBytes += static_cast<std::size_t>(Size);
  m_Input.append(Buffer.data(), static_cast<std::size_t>(Size));
  processInput();
  if (m_Phase != Phase::Receiving || m_IsComplete)
    return;
  m_Received.resize(partialBytes());
  updateWatch();
}

void CallerConnection::processInput() {
  m_IsParsing = true;
  while (m_Phase == Phase::Receiving && !m_IsComplete && !m_Input.empty()) {
    const RequestParseState Before = m_Parser->state();
    m_Input.erase(0, m_Parser->feed(m_Input));
    if (m_Input.empty())
      std::string().swap(m_Input); // An idle connection keeps no memory.
    const RequestParseState Now = m_Parser->state();
    if (Before < RequestParseState::Body && Now == RequestParseState::Body)
      handleHead();
    else if (Now == RequestParseState::Invalid)
      refuse(m_Parser->isHeadTooLarge()      ? RefusalReason::HeaderTooLarge
             : m_Parser->hasInvalidFraming() ? RefusalReason::AmbiguousFraming
                                             : RefusalReason::MalformedHeader);
    else if (Now == RequestParseState::Body)
      checkBodySize();
    else if (Now == RequestParseState::Complete)
      handleRequest();
  }
  m_IsParsing = false;
}

void CallerConnection::handleHead() {
  const ReceiveLimits &Limits = m_Owner.limits();
  const HeaderList &Headers = m_Parser->request().m_Headers;
  m_Timer.start(Limits.m_ReceiveTimeout, [this] {
    refuse(isWaitingForRoom() ? RefusalReason::NoMemory
                              : RefusalReason::SlowCaller);
  });
  if (isFramingAmbiguous(Headers)) {
    refuse(RefusalReason::AmbiguousFraming);
  } else if (longestHeader(Headers) > Limits.m_MaxHeaderBytes) {
    refuse(RefusalReason::HeaderTooLarge);
  } else if (m_Parser->contentLength() > Limits.m_MaxBodyBytes) {
    refuse(RefusalReason::BodyTooLarge);
  } else if (const std::string *Expected = findHeader(Headers, "Expect");
             Expected != nullptr &&
             equalsIgnoreCase(*Expected, "100-continue")) {
    m_Output.append("HTTP/1.1 100 Continue\r\n\r\n");
    write();
  }
}

/// A chunked body states no length, so its size is checked as it arrives.
void CallerConnection::checkBodySize() {
  if (m_Parser->request().m_Body.size() > m_Owner.limits().m_MaxBodyBytes)
    refuse(RefusalReason::BodyTooLarge);
}

void CallerConnection::handleRequest() {
  checkBodySize();
  if (m_Phase != Phase::Receiving)
    return;
  // The request is kept for retries, beside the copy that an upstream reads.
  constexpr std::size_t Copies = 2;
  const std::size_t Needed =
      RequestOverhead + m_Input.capacity() + Copies * m_Parser->memoryBytes();
  m_IsComplete = Needed > OwnBytes && !m_Received.tryResize(Needed);
  if (m_IsComplete) {
    m_Received.resize(partialBytes());
    updateWatch();
    m_Owner.roomNeeded();
    return;
  }
  m_Received.resize(Needed);
  m_Timer.stop();
  m_Phase = Phase::AwaitingAnswer;
  m_CloseAfterAnswer =
      !m_Parser->acceptsChunked() || !m_Parser->wantsKeepAlive();
  m_IsHeadRequest = m_Parser->request().m_Method == "HEAD";
  auto From = std::make_unique<Handle>(*this);
  m_Handle = From.get();
  updateWatch();
  passOnRequest(std::move(From));
}

/// A request that can't be handled must not end the others of the process. Its
/// caller is told nothing, as it may have run.
void CallerConnection::passOnRequest(std::unique_ptr<Caller> From) {
  try {
    m_Owner.requestReceived(m_Parser->takeRequest(), std::move(From));
  } catch (const std::exception &Failure) {
    m_Owner.requestFailed(Failure);
    close();
  }
}

/// The rest of the request is read and discarded: closing at once would reset
/// the connection before the caller has read the refusal.
void CallerConnection::refuse(RefusalReason Reason) {
  m_Owner.requestRefused(Reason);
  CallerAnswer Answer =
      refusalAnswer(Reason, RunState::NotRun,
                    Reason == RefusalReason::NoMemory ? NoMemoryRetryAfter
                                                      : Duration::zero());
  Answer.m_Headers.push_back({"Connection", "close"});
  appendHead(Answer,
             {{"Content-Length", std::to_string(Answer.m_Body.size())}});
  m_Output.append(Answer.m_Body);
  m_CloseAfterAnswer = true;
  m_LingerTime = m_Owner.limits().m_ReceiveTimeout;
  m_Phase = Phase::Flushing;
  m_Parser.emplace();
  m_IsComplete = false;
  m_Received.resize(0);
  write();
}

// ---- Answers ----------------------------------------------------------------

void CallerConnection::appendHead(const CallerAnswer &Answer,
                                  const HeaderList &Framing) {
  const char *Reason =
      http_status_str(static_cast<http_status>(Answer.m_Status));
  std::string Text =
      "HTTP/1.1 " + std::to_string(Answer.m_Status) + " " + Reason + "\r\n";
  const auto Append = [&Text](const HeaderField &Field) {
    Text += Field.m_Name + ": " + Field.m_Value + "\r\n";
  };
  const HeaderList AnswerHeaders = headersOf(Answer);
  std::ranges::for_each(AnswerHeaders, Append);
  std::ranges::for_each(Framing, Append);
  m_CloseAfterAnswer = m_CloseAfterAnswer || closesConnection(AnswerHeaders);
  if (m_CloseAfterAnswer && !closesConnection(AnswerHeaders))
    Append({"Connection", "close"});
  m_Output.append(Text + "\r\n");
}

void CallerConnection::answer(const CallerAnswer &Answer) {
  if (m_Phase != Phase::AwaitingAnswer)
    return;
  if (hasNoBody(Answer.m_Status)) {
    appendHead(Answer, {});
  } else {
    appendHead(Answer,
               {{"Content-Length", std::to_string(Answer.m_Body.size())}});
    if (!m_IsHeadRequest)
      m_Output.append(Answer.m_Body);
  }
  finishAnswer();
}

void CallerConnection::beginStream(const CallerAnswer &Head) {
  if (m_Phase != Phase::AwaitingAnswer)
    return;
  m_Phase = Phase::Streaming;
  m_IsChunked = m_Parser->acceptsChunked();
  CallerAnswer Streamed = Head;
  std::erase_if(Streamed.m_Headers, [](const HeaderField &Field) {
    return equalsIgnoreCase(Field.m_Name, "Cache-Control");
  });
  HeaderList Framing = {{"Cache-Control", "no-cache"}};
  if (m_IsChunked)
    Framing.push_back({"Transfer-Encoding", "chunked"});
  else
    setResetOnClose(true);
  appendHead(Streamed, Framing);
  write();
}

void CallerConnection::append(const std::string &Bytes) {
  if (m_Phase != Phase::Streaming || Bytes.empty() || m_IsHeadRequest)
    return;
  const bool HasBacklog = !m_Output.empty();
  if (m_IsChunked)
    m_Output.append(hex(Bytes.size()) + "\r\n");
  m_Output.append(Bytes);
  if (m_IsChunked)
    m_Output.append("\r\n");
  // An existing backlog is written once the socket is writable, as only that
  // runs the onBacklogReduced() callback.
  if (!HasBacklog)
    write();
  else
    m_Unread.resize(m_Output.size());
}

void CallerConnection::endStream() {
  if (m_Phase != Phase::Streaming)
    return;
  if (m_IsChunked && !m_IsHeadRequest)
    m_Output.append("0\r\n\r\n");
  finishAnswer();
}

void CallerConnection::finishAnswer() {
  m_Phase = Phase::Flushing;
  m_Received.resize(0);
  m_HasServed = true;
  m_LingerTime = LingerTimeout;
  if (Handle *OpenHandle = releaseHandle())
    OpenHandle->detach();
  write();
}

/// A stream without chunks has no end but that of its connection, so only a
/// reset shows that it is truncated. The kernel also resets if the process is
/// killed.
void CallerConnection::setResetOnClose(bool Reset) {
  const linger Value = {.l_onoff = Reset ? 1 : 0, .l_linger = 0};
  setsockopt(g_socket_get_fd(m_Socket.get()), SOL_SOCKET, SO_LINGER, &Value,
             sizeof(Value));
}

void CallerConnection::abortAnswer() {
  if (Handle *OpenHandle = releaseHandle())
    OpenHandle->detach();
  close();
}

bool CallerConnection::hasDisconnected() const {
  return isClosedByPeer(m_Socket.get());
}

/// Never closes the connection, as it may run within a call of the owner.
void CallerConnection::write() {
  while (!m_WriteFailed && !m_Output.empty()) {
    const std::string_view Next = m_Output.front();
    const ssize_t Size = send(g_socket_get_fd(m_Socket.get()), Next.data(),
                              Next.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Size < 0 && wouldBlock(errno))
      break;
    if (Size < 0) {
      m_WriteFailed = true; // The socket watch will report the error.
      break;
    }
    m_Output.recordWritten(static_cast<std::size_t>(Size));
  }
  if (m_WriteFailed)
    m_Output.clear();
  m_Unread.resize(m_Output.size());
  if (m_Phase == Phase::Flushing) {
    if (m_Output.empty())
      handleFlushed();
    else
      m_Timer.start(FlushTimeout, [this] { close(); });
  }
  updateWatch();
}

/// The kernel's own growth of its buffer follows what the caller has read.
void CallerConnection::writeFinishedAnswer() {
  if (m_Phase != Phase::Flushing)
    return;
  constexpr int NoLimit = 0;
  g_socket_set_option(m_Socket.get(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, NoLimit,
                      nullptr);
  int BufferSize = 0;
  g_socket_get_option(m_Socket.get(), SOL_SOCKET, SO_SNDBUF, &BufferSize,
                      nullptr);
  const auto Needed = static_cast<int>(
      std::min<std::size_t>(m_Output.size(), std::numeric_limits<int>::max()));
  if (BufferSize < Needed)
    g_socket_set_option(m_Socket.get(), SOL_SOCKET, SO_SNDBUF, Needed, nullptr);
  write();
}

void CallerConnection::handleFlushed() {
  if (m_CloseAfterAnswer || m_WriteFailed || m_Owner.closesAfterAnswers()) {
    startDiscarding();
    return;
  }
  waitForRequest();
  // Input that was already read is parsed from the event loop, as this may run
  // within the handling of the last request.
  if (!m_Input.empty() && !m_IsParsing)
    m_Timer.start(Duration::zero(), [this] {
      startIdleTimer();
      processInput();
    });
}

void CallerConnection::startDiscarding() {
  m_Phase = Phase::Discarding;
  m_Input.clear();
  m_NextRequestPending = false;
  setResetOnClose(false); // The answer is written in full.
  g_socket_shutdown(m_Socket.get(), 0, 1, nullptr);
  m_Timer.start(m_LingerTime, [this] { close(); });
}

} // namespace crowstep
