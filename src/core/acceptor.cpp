/// A listening socket and the connections that it accepts.
#include "core/acceptor.h"

#include "core/http_server.h"

namespace crowstep {

namespace {

/// Connections accepted at once, so that open ones are served in between.
constexpr int MaxAcceptsPerEvent = 16;

/// The same with those that are closed at once, which take little time.
constexpr int MaxClosesPerEvent = 256;

/// Pause after accept has failed. If file descriptors have run out, the pending
/// connection keeps the socket readable and the event loop would spin.
constexpr Duration AcceptPause = std::chrono::milliseconds(100);

} // namespace

void Acceptor::listen(const Address &ListenAddress, Handler OnAccepted) {
  m_OnAccepted = std::move(OnAccepted);
  m_Socket.reset(openListeningSocket(ListenAddress));
  g_socket_set_blocking(m_Socket.get(), 0);
  m_Watch.emplace(g_socket_get_fd(m_Socket.get()), *this);
  m_Watch->setEvents({.m_Read = true});
}

void Acceptor::stop() {
  m_PauseTimer.stop();
  m_Watch.reset();
  if (m_Socket != nullptr)
    g_socket_close(m_Socket.get(), nullptr);
  m_Socket.reset();
}

void Acceptor::socketReady(SocketEvents) {
  int Kept = 0;
  for (int Count = 0; Kept < MaxAcceptsPerEvent && Count < MaxClosesPerEvent;
       ++Count) {
    GError *Failure = nullptr;
    SocketPtr Accepted(g_socket_accept(m_Socket.get(), nullptr, &Failure));
    if (Accepted == nullptr) {
      if (!g_error_matches(Failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        pause();
      g_error_free(Failure);
      return;
    }
    Kept += m_OnAccepted(std::move(Accepted)) ? 1 : 0;
  }
}

void Acceptor::pause() {
  m_Watch->setEvents({});
  m_PauseTimer.start(AcceptPause,
                     [this] { m_Watch->setEvents({.m_Read = true}); });
}

} // namespace crowstep
