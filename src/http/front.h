/// The HTTP side towards callers: what a request must look like to be read.
#ifndef CROWSTEP_HTTP_FRONT_H
#define CROWSTEP_HTTP_FRONT_H

#include "core/http_server.h"
#include "core/scheduler.h"
#include "http/socket_state.h"
#include "refusal_type.h"

#include <functional>
#include <map>
#include <memory>

namespace crowstep {

/// What a request must keep to while it arrives.
struct ArrivalLimits {
  std::size_t m_MaxBody = 0;   ///< Bytes.
  std::size_t m_MaxHeader = 0; ///< Bytes of one header's value.
  Duration m_ReceiveLimit{};   ///< From the end of the headers to the body's.
  Duration m_IdleLimit{};      ///< From an answer to the next headers' end.
};

/// Listens for callers and enforces the limits on headers, bodies and time.
class Front {
public:
  /// Gets requests that arrived whole and within the limits.
  using Handler = std::function<void(SoupServerMessage *)>;

  /// Hears of each request that was refused while it arrived.
  using RefusedHandler = std::function<void(RefusalReason)>;

  Front(const ArrivalLimits &Limits, RefusedHandler OnRefused,
        Scheduler &Timers);
  ~Front();
  Front(const Front &) = delete;
  Front &operator=(const Front &) = delete;

  /// Begins to serve. \throws ListenError.
  void listen(const Address &Where, Handler OnRequest);

  /// Replaces the limits for requests that arrive from now on.
  void setLimits(const ArrivalLimits &Limits) { m_Limits = Limits; }

  /// Takes no new connections.
  void stopListening() { m_Server.stopListening(); }

  /// Closes the connections that wait for their next request. One that crosses
  /// the close was not read, and its caller sees a reset.
  void closeIdle();

  /// Returns how many requests have arrived whole and are not yet answered.
  [[nodiscard]] std::size_t unfinished() const { return m_Unfinished; }

  /// Returns how many requests have not arrived whole or are not answered.
  [[nodiscard]] std::size_t open() const { return m_Arrivals.size(); }

private:
  /// A request that is not answered.
  struct Arrival {
    std::unique_ptr<Timer> m_Limit; ///< Runs until its body is whole.
    std::size_t m_Size = 0;         ///< Of the body so far.
    SocketPtr m_Socket;             ///< Of its connection; may be null.
  };

  /// A connection between an answer and the next request. libsoup tells of a
  /// request when its first byte is read, so it closes none that lie idle.
  struct IdleConnection {
    SocketPtr m_Socket;             ///< Never null; may be closed by its peer.
    std::unique_ptr<Timer> m_Limit; ///< Closes it.
  };

  static void onStarted(SoupServer *, SoupServerMessage *Message, void *Self);
  static void onHeaders(SoupServerMessage *Message, void *Self);
  static void onChunk(SoupServerMessage *Message, GBytes *Chunk, void *Self);
  static void onArrived(SoupServerMessage *Message, void *Self);
  static void onFinished(SoupServerMessage *Message, void *Self);
  void becameIdle(SocketPtr Socket);
  void slow(SoupServerMessage *Message);
  void handle(SoupServerMessage *Message);
  void refuse(SoupServerMessage *Message, RefusalReason Reason);

  ArrivalLimits m_Limits;       ///< In force for new arrivals.
  RefusedHandler m_OnRefused;   ///< Never empty.
  Scheduler &m_Timers;          ///< Outlives this object.
  HttpServer m_Server;          ///< Towards callers.
  Handler m_Handler;            ///< See listen().
  std::size_t m_Unfinished = 0; ///< Handed on and not yet answered.
  std::map<SoupServerMessage *, Arrival> m_Arrivals; ///< Not answered.
  std::map<GSocket *, IdleConnection> m_Idle;        ///< See IdleConnection.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_FRONT_H
