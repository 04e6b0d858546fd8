/// A listening socket and the connections that it accepts.
#ifndef CROWSTEP_CORE_ACCEPTOR_H
#define CROWSTEP_CORE_ACCEPTOR_H

#include "core/scheduler.h"
#include "core/socket_ptr.h"
#include "core/socket_watch.h"
#include "instance_type.h"

#include <functional>
#include <optional>

namespace crowstep {

class Acceptor final : public SocketListener {
public:
  /// Takes an accepted connection; returns whether it stays open.
  using Handler = std::function<bool(SocketPtr)>;

  explicit Acceptor(Scheduler &Timers) : m_PauseTimer(Timers) {}
  ~Acceptor() override = default;
  Acceptor(const Acceptor &) = delete;
  Acceptor &operator=(const Acceptor &) = delete;

  /// Starts to listen. \throws ListenError.
  void listen(const Address &ListenAddress, Handler OnAccepted);

  /// Closes the listening socket.
  void stop();

private:
  void socketReady(SocketEvents Events) override;
  void pause();

  Handler m_OnAccepted;               ///< Not empty while listening.
  SocketPtr m_Socket;                 ///< Null if not listening.
  std::optional<SocketWatch> m_Watch; ///< Set while m_Socket is.
  Timer m_PauseTimer;                 ///< Runs after accept has failed.
};

} // namespace crowstep

#endif // CROWSTEP_CORE_ACCEPTOR_H
