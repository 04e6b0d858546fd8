/// A caller's connection: arrival, answer, and the next request.
#include "http/caller_connection.h"

#include "http/refusal_answer.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace crowstep {

namespace {

constexpr std::size_t ReadSize = 16384;

/// Written bytes that may stay in memory while a caller reads slowly.
constexpr std::size_t WrittenToForget = 64 << 10;

/// How long a caller has to read its last answer and to close. Closing with
/// unread bytes resets the connection, and the answer could be lost with it.
constexpr Duration LingerLimit = std::chrono::seconds(1);

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpNoContent = 204;
constexpr unsigned HttpNotModified = 304;

bool hasNoBody(unsigned Status) {
  return Status < HttpOk || Status == HttpNoContent ||
         Status == HttpNotModified;
}

std::size_t longestHeader(const HeaderList &Headers) {
  std::size_t Longest = 0;
  for (const HeaderField &Each : Headers)
    Longest = std::max(Longest, Each.m_Value.size());
  return Longest;
}

/// Returns whether two readers could disagree about where the body ends. What
/// one takes for the body's rest the other takes for a further request, and a
/// caller could hide a request of another workspace there.
bool framingIsAmbiguous(const HeaderList &Headers) {
  const std::string *Length = findHeader(Headers, "Content-Length");
  const std::string *Coding = findHeader(Headers, "Transfer-Encoding");
  if (Coding != nullptr)
    return Length != nullptr || !sameHeader(*Coding, "chunked") ||
           countHeaders(Headers, "Transfer-Encoding") > 1;
  if (Length == nullptr)
    return false;
  return countHeaders(Headers, "Content-Length") > 1 || Length->empty() ||
         Length->find_first_not_of("0123456789") != std::string::npos;
}

bool closesConnection(const HeaderList &Headers) {
  const std::string *Value = findHeader(Headers, "Connection");
  return Value != nullptr && sameHeader(*Value, "close");
}

std::string hex(std::size_t Number) {
  std::array<char, 2 * sizeof(Number)> Text{};
  const auto End =
      std::to_chars(Text.data(), Text.data() + Text.size(), Number, 16).ptr;
  return {Text.data(), End};
}

} // namespace

/// The caller of one request, until it is answered or gone.
class CallerConnection::Handle final : public Caller {
public:
  explicit Handle(CallerConnection &Of) : m_Connection(&Of) {}
  ~Handle() override { drop(); }
  Handle(const Handle &) = delete;
  Handle &operator=(const Handle &) = delete;

  void answer(const CallerAnswer &What) override {
    if (m_Connection != nullptr)
      m_Connection->answer(What);
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
  void drop() override {
    if (m_Connection != nullptr)
      m_Connection->cut();
  }
  [[nodiscard]] bool hasLeft() const override {
    return m_Connection == nullptr || m_Connection->hasLeft();
  }
  [[nodiscard]] std::size_t backlog() const override {
    return m_Connection == nullptr ? 0 : m_Connection->backlog();
  }
  void onGone(std::function<void()> Job) override { m_Gone = std::move(Job); }
  void onDrained(std::function<void()> Job) override {
    m_Drained = std::move(Job);
  }

  /// The connection serves this request no more.
  void detach() { m_Connection = nullptr; }

  void gone() const {
    // The handle may be destroyed by the job.
    if (const auto Job = m_Gone)
      Job();
  }
  void drained() const {
    if (m_Drained)
      m_Drained();
  }

private:
  CallerConnection *m_Connection;  ///< Null once answered or gone.
  std::function<void()> m_Gone;    ///< May be empty.
  std::function<void()> m_Drained; ///< May be empty.
};

CallerConnection::CallerConnection(SocketPtr Socket,
                                   CallerConnectionOwner &Owner,
                                   Scheduler &Timers)
    : m_Owner(Owner), m_Socket(std::move(Socket)), m_Limit(Timers) {
  g_socket_set_blocking(m_Socket.get(), 0);
  // Answers are written whole; Nagle's algorithm would delay their ends.
  g_socket_set_option(m_Socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  m_Watch.emplace(g_socket_get_fd(m_Socket.get()), *this);
  waitForRequest();
}

CallerConnection::~CallerConnection() {
  if (Handle *Open = release())
    Open->detach();
  m_Watch.reset();
  g_socket_close(m_Socket.get(), nullptr);
}

bool CallerConnection::busy() const {
  return answering() || (m_Phase == Phase::Arriving &&
                         m_Parser->state() != ArrivalState::Nothing);
}

CallerConnection::Handle *CallerConnection::release() {
  return std::exchange(m_Handle, nullptr);
}

void CallerConnection::close() {
  if (m_Phase == Phase::Closed)
    return;
  m_Phase = Phase::Closed;
  m_Limit.stop();
  m_Watch.reset();
  g_socket_close(m_Socket.get(), nullptr);
  Handle *Open = release();
  m_Owner.connectionClosed(*this);
  if (Open == nullptr)
    return;
  Open->detach();
  Open->gone();
}

void CallerConnection::updateWatch() {
  if (!m_Watch)
    return;
  const bool Waits = m_Phase == Phase::Held || m_Phase == Phase::Streaming;
  m_Watch->watchFor({.m_Read = m_Phase != Phase::Flushing && !m_MoreWaits,
                     .m_Write = !m_Broken && m_Sent < m_Out.size(),
                     .m_HungUp = Waits});
}

void CallerConnection::socketReady(SocketEvents What) {
  if (m_Phase == Phase::Held || m_Phase == Phase::Streaming) {
    if (What.m_HungUp) {
      close();
      return;
    }
    if (What.m_Read && !m_MoreWaits)
      checkStillThere();
    if (What.m_Write && m_Phase != Phase::Closed) {
      write();
      if (m_Handle != nullptr)
        m_Handle->drained();
    }
    return;
  }
  if (What.m_Write && m_Sent < m_Out.size())
    write();
  if (m_Broken)
    close();
  else if (What.m_Read && m_Phase != Phase::Flushing)
    readSome();
}

/// Nothing is read while an answer is awaited, so the caller's close has to be
/// asked for: without this one that went would keep its place in the queue and
/// its slot to the end.
void CallerConnection::checkStillThere() {
  char Byte = 0;
  const ssize_t Seen =
      recv(g_socket_get_fd(m_Socket.get()), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Seen < 0 && wouldBlock(errno))
    return;
  if (Seen <= 0) {
    close();
    return;
  }
  // A further request; a close behind it is still reported.
  m_MoreWaits = true;
  updateWatch();
}

// ---- Arrival ----------------------------------------------------------------

void CallerConnection::waitForRequest() {
  m_Phase = Phase::Arriving;
  m_Parser.emplace();
  m_MoreWaits = false;
  watchIdle();
  updateWatch();
}

void CallerConnection::watchIdle() {
  m_Limit.start(m_Owner.limits().m_IdleLimit, [this] { idleTooLong(); });
}

/// A process that was held up has not read yet what came in time.
void CallerConnection::idleTooLong() {
  if (m_Parser->state() != ArrivalState::Nothing) {
    close();
    return;
  }
  m_Limit.start(m_Owner.limits().m_ReceiveLimit, [this] { close(); });
  readSome();
  if (m_Phase == Phase::Arriving && !busy())
    close();
}

void CallerConnection::closeIfIdle() {
  if (!m_Served || m_Phase != Phase::Arriving || busy())
    return;
  readSome();
  if (m_Phase == Phase::Arriving && !busy())
    close();
}

void CallerConnection::readSome() {
  static std::array<char, ReadSize> Buffer;
  const ssize_t Size = recv(g_socket_get_fd(m_Socket.get()), Buffer.data(),
                            Buffer.size(), MSG_DONTWAIT);
  if (Size < 0 && wouldBlock(errno))
    return;
  if (Size <= 0) {
    // Also amid a request: one that breaks off is never handed on.
    close();
    return;
  }
  if (m_Phase == Phase::Discarding)
    return;
  m_In.append(Buffer.data(), static_cast<std::size_t>(Size));
  takeInput();
}

void CallerConnection::takeInput() {
  m_Parsing = true;
  while (m_Phase == Phase::Arriving && !m_In.empty()) {
    const ArrivalState Before = m_Parser->state();
    m_In.erase(0, m_Parser->feed(m_In));
    const ArrivalState Now = m_Parser->state();
    if (Before < ArrivalState::Body && Now == ArrivalState::Body)
      headArrived();
    else if (Now == ArrivalState::Invalid)
      refuse(m_Parser->headTooLarge()     ? RefusalReason::HeaderTooLarge
             : m_Parser->framingUnclear() ? RefusalReason::AmbiguousFraming
                                          : RefusalReason::MalformedHeader);
    else if (Now == ArrivalState::Body)
      checkBody();
    else if (Now == ArrivalState::Complete)
      requestComplete();
  }
  m_Parsing = false;
}

void CallerConnection::headArrived() {
  const ArrivalLimits &Limits = m_Owner.limits();
  const HeaderList &Headers = m_Parser->request().m_Headers;
  m_Limit.start(Limits.m_ReceiveLimit,
                [this] { refuse(RefusalReason::SlowCaller); });
  if (framingIsAmbiguous(Headers)) {
    refuse(RefusalReason::AmbiguousFraming);
  } else if (longestHeader(Headers) > Limits.m_MaxHeader) {
    refuse(RefusalReason::HeaderTooLarge);
  } else if (m_Parser->statedLength() > Limits.m_MaxBody) {
    refuse(RefusalReason::BodyTooLarge);
  } else if (const std::string *Expected = findHeader(Headers, "Expect");
             Expected != nullptr && sameHeader(*Expected, "100-continue")) {
    m_Out += "HTTP/1.1 100 Continue\r\n\r\n";
    write();
  }
}

/// A body without a length is found out while it comes.
void CallerConnection::checkBody() {
  if (m_Parser->request().m_Body.size() > m_Owner.limits().m_MaxBody)
    refuse(RefusalReason::BodyTooLarge);
}

void CallerConnection::requestComplete() {
  checkBody();
  if (m_Phase != Phase::Arriving)
    return;
  m_Limit.stop();
  m_Phase = Phase::Held;
  m_CloseAfter = !m_Parser->takesChunks() || !m_Parser->wantsToKeepConnection();
  m_HeadOnly = m_Parser->request().m_Method == "HEAD";
  auto From = std::make_unique<Handle>(*this);
  m_Handle = From.get();
  updateWatch();
  m_Owner.requestArrived(m_Parser->takeRequest(), std::move(From));
}

/// The rest of the request is read and thrown away: closing at once would reset
/// the connection before the caller reads the refusal.
void CallerConnection::refuse(RefusalReason Reason) {
  m_Owner.requestRefused(Reason);
  CallerAnswer Answer =
      refusalAnswer(Reason, RunState::NotRun, Duration::zero());
  Answer.m_Headers.push_back({"Connection", "close"});
  appendHead(Answer,
             {{"Content-Length", std::to_string(Answer.m_Body.size())}});
  m_Out += Answer.m_Body;
  m_CloseAfter = true;
  m_Linger = m_Owner.limits().m_ReceiveLimit;
  m_Phase = Phase::Flushing;
  write();
}

// ---- Answers ----------------------------------------------------------------

void CallerConnection::appendHead(const CallerAnswer &What,
                                  const HeaderList &Framing) {
  const char *Reason = http_status_str(static_cast<http_status>(What.m_Status));
  m_Out += "HTTP/1.1 " + std::to_string(What.m_Status) + " " + Reason + "\r\n";
  const auto Append = [this](const HeaderField &Field) {
    m_Out += Field.m_Name + ": " + Field.m_Value + "\r\n";
  };
  const HeaderList Own = headersOf(What);
  std::ranges::for_each(Own, Append);
  std::ranges::for_each(Framing, Append);
  m_CloseAfter = m_CloseAfter || closesConnection(Own);
  if (m_CloseAfter && !closesConnection(Own))
    Append({"Connection", "close"});
  m_Out += "\r\n";
}

void CallerConnection::answer(const CallerAnswer &What) {
  if (m_Phase != Phase::Held)
    return;
  if (hasNoBody(What.m_Status)) {
    appendHead(What, {});
  } else {
    appendHead(What, {{"Content-Length", std::to_string(What.m_Body.size())}});
    if (!m_HeadOnly)
      m_Out += What.m_Body;
  }
  answered();
}

void CallerConnection::beginStream(const CallerAnswer &Head) {
  if (m_Phase != Phase::Held)
    return;
  m_Phase = Phase::Streaming;
  m_Chunked = m_Parser->takesChunks();
  CallerAnswer Streamed = Head;
  std::erase_if(Streamed.m_Headers, [](const HeaderField &Field) {
    return sameHeader(Field.m_Name, "Cache-Control");
  });
  HeaderList Framing = {{"Cache-Control", "no-cache"}};
  if (m_Chunked)
    Framing.push_back({"Transfer-Encoding", "chunked"});
  appendHead(Streamed, Framing);
  write();
}

void CallerConnection::append(const std::string &Bytes) {
  if (m_Phase != Phase::Streaming || Bytes.empty() || m_HeadOnly)
    return;
  const bool Waits = m_Sent < m_Out.size();
  if (m_Chunked)
    m_Out += hex(Bytes.size()) + "\r\n" + Bytes + "\r\n";
  else
    m_Out += Bytes;
  // A backlog goes out when the socket reports room, which tells who waits for
  // that.
  if (!Waits)
    write();
}

void CallerConnection::endStream() {
  if (m_Phase != Phase::Streaming)
    return;
  if (m_Chunked && !m_HeadOnly)
    m_Out += "0\r\n\r\n";
  answered();
}

void CallerConnection::answered() {
  m_Phase = Phase::Flushing;
  m_Served = true;
  m_Linger = LingerLimit;
  if (Handle *Open = release())
    Open->detach();
  write();
}

/// The caller must see that the answer is not whole. One that takes no chunks
/// sees it only by a reset.
void CallerConnection::cut() {
  if (Handle *Open = release())
    Open->detach();
  if (m_Phase == Phase::Streaming && !m_Chunked) {
    const linger Reset = {1, 0};
    setsockopt(g_socket_get_fd(m_Socket.get()), SOL_SOCKET, SO_LINGER, &Reset,
               sizeof(Reset));
  }
  close();
}

bool CallerConnection::hasLeft() const { return closedByPeer(m_Socket.get()); }

/// Never closes the connection, as it runs amid the caller's own work.
void CallerConnection::write() {
  while (!m_Broken && m_Sent < m_Out.size()) {
    const ssize_t Size =
        send(g_socket_get_fd(m_Socket.get()), m_Out.data() + m_Sent,
             m_Out.size() - m_Sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Size < 0 && wouldBlock(errno))
      break;
    if (Size < 0)
      m_Broken = true; // The socket reports itself as failed.
    else
      m_Sent += static_cast<std::size_t>(Size);
  }
  if (m_Sent == m_Out.size() || m_Broken) {
    m_Out.clear();
    m_Sent = 0;
    if (m_Phase == Phase::Flushing)
      flushed();
  } else if (m_Sent >= WrittenToForget) {
    m_Out.erase(0, m_Sent);
    m_Sent = 0;
  }
  updateWatch();
}

void CallerConnection::flushed() {
  if (m_CloseAfter || m_Broken) {
    discard();
    return;
  }
  waitForRequest();
  // Not from here, which may be amid the handling of the last request.
  if (!m_In.empty() && !m_Parsing)
    m_Limit.start(Duration::zero(), [this] {
      watchIdle();
      takeInput();
    });
}

void CallerConnection::discard() {
  m_Phase = Phase::Discarding;
  m_In.clear();
  m_MoreWaits = false;
  g_socket_shutdown(m_Socket.get(), 0, 1, nullptr);
  m_Limit.start(m_Linger, [this] { close(); });
}

} // namespace crowstep
