/// Accepting and owning callers' connections.
#include "http/frontend.h"

#include "core/http_server.h"

#include <algorithm>

namespace crowstep {

namespace {

/// Connections accepted at once, so that open ones are served in between.
constexpr int MaxAcceptsPerEvent = 16;

/// Pause after accept has failed. If file descriptors have run out, the pending
/// connection keeps the socket readable and the event loop would spin.
constexpr Duration AcceptPause = std::chrono::milliseconds(100);

} // namespace

Frontend::Frontend(const ReceiveLimits &Limits, RefusedHandler OnRefused,
                   Scheduler &Timers)
    : m_Limits(Limits), m_OnRefused(std::move(OnRefused)), m_Timers(Timers),
      m_AcceptTimer(Timers), m_CleanupTimer(Timers) {}

Frontend::~Frontend() = default;

void Frontend::listen(const Address &ListenAddress, Handler OnRequest) {
  m_Handler = std::move(OnRequest);
  m_Socket.reset(openListeningSocket(ListenAddress));
  g_socket_set_blocking(m_Socket.get(), 0);
  m_Watch.emplace(g_socket_get_fd(m_Socket.get()), *this);
  m_Watch->setEvents({.m_Read = true});
}

void Frontend::stopListening() {
  m_HasStopped = true;
  m_AcceptTimer.stop();
  m_Watch.reset();
  if (m_Socket != nullptr)
    g_socket_close(m_Socket.get(), nullptr);
  m_Socket.reset();
}

void Frontend::socketReady(SocketEvents) {
  for (int Count = 0; Count < MaxAcceptsPerEvent; ++Count) {
    GError *Failure = nullptr;
    SocketPtr Accepted(g_socket_accept(m_Socket.get(), nullptr, &Failure));
    if (Accepted == nullptr) {
      if (!g_error_matches(Failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        pauseAccepting();
      g_error_free(Failure);
      return;
    }
    auto NewConnection = std::make_unique<CallerConnection>(std::move(Accepted),
                                                            *this, m_Timers);
    CallerConnection *Key = NewConnection.get();
    m_Connections.emplace(Key, std::move(NewConnection));
  }
}

void Frontend::pauseAccepting() {
  m_Watch->setEvents({});
  m_AcceptTimer.start(AcceptPause,
                      [this] { m_Watch->setEvents({.m_Read = true}); });
}

void Frontend::requestReceived(IncomingRequest Request,
                               std::unique_ptr<Caller> From) {
  m_Handler(std::move(Request), std::move(From));
}

void Frontend::requestRefused(RefusalReason Reason) { m_OnRefused(Reason); }

void Frontend::connectionClosed(CallerConnection &Connection) {
  auto Node = m_Connections.extract(&Connection);
  m_ClosedConnections.push_back(std::move(Node.mapped()));
  if (!m_CleanupTimer.isRunning())
    m_CleanupTimer.start(Duration::zero(),
                         [this] { m_ClosedConnections.clear(); });
}

void Frontend::closeIdleConnections() {
  std::vector<CallerConnection *> All;
  All.reserve(m_Connections.size());
  for (const auto &[Key, Owned] : m_Connections)
    All.push_back(Key);
  // Closed connections stay valid here: m_CleanupTimer destroys them.
  for (CallerConnection *Connection : All)
    Connection->closeIfIdle();
}

std::size_t Frontend::unansweredRequests() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(m_Connections, [](const auto &Entry) {
        return Entry.second->isAnswering();
      }));
}

std::size_t Frontend::openRequests() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_Connections, [](const auto &Entry) { return Entry.second->isBusy(); }));
}

} // namespace crowstep
