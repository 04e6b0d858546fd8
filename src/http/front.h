/// The HTTP side towards callers: listens, and owns their connections.
#ifndef CROWSTEP_HTTP_FRONT_H
#define CROWSTEP_HTTP_FRONT_H

#include "http/caller_connection.h"
#include "instance_type.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace crowstep {

class Front final : public SocketListener, public CallerConnectionOwner {
public:
  /// Gets requests that arrived whole and within the limits.
  using Handler = std::function<void(IncomingRequest Request,
                                     std::unique_ptr<Caller> From)>;

  /// Hears of each request that was refused while it arrived.
  using RefusedHandler = std::function<void(RefusalReason)>;

  Front(const ArrivalLimits &Limits, RefusedHandler OnRefused,
        Scheduler &Timers);
  ~Front() override;
  Front(const Front &) = delete;
  Front &operator=(const Front &) = delete;

  /// Begins to serve. \throws ListenError.
  void listen(const Address &ListenAddress, Handler OnRequest);

  /// Replaces the limits for requests that arrive from now on.
  void setLimits(const ArrivalLimits &Limits) { m_Limits = Limits; }

  /// Takes no new connections.
  void stopListening();

  /// Closes the connections that wait for their next request. One that crosses
  /// the close was not read, and its caller sees a reset.
  void closeIdle();

  /// Returns how many requests have arrived whole and are not yet answered.
  [[nodiscard]] std::size_t unfinished() const;

  /// Returns how many requests have not arrived whole or are not answered.
  [[nodiscard]] std::size_t open() const;

private:
  void socketReady(SocketEvents Events) override;

  [[nodiscard]] const ArrivalLimits &limits() const override {
    return m_Limits;
  }
  void requestArrived(IncomingRequest Request,
                      std::unique_ptr<Caller> From) override;
  void requestRefused(RefusalReason Reason) override;
  void connectionClosed(CallerConnection &Connection) override;

  void pauseAccepting();

  ArrivalLimits m_Limits;             ///< In force for new arrivals.
  RefusedHandler m_OnRefused;         ///< Never empty.
  Scheduler &m_Timers;                ///< Outlives this object.
  Handler m_Handler;                  ///< See listen().
  SocketPtr m_Socket;                 ///< Listens; null while it doesn't.
  std::optional<SocketWatch> m_Watch; ///< Set with m_Socket.
  Timer m_AcceptTimer;                ///< Runs after a failure to accept.
  std::unordered_map<CallerConnection *, std::unique_ptr<CallerConnection>>
      m_Connections; ///< Open ones.
  std::vector<std::unique_ptr<CallerConnection>>
      m_ClosedConnections; ///< To be destroyed.
  Timer m_CleanupTimer;    ///< Destroys what is closed.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_FRONT_H
