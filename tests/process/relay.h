/// A TCP relay between two processes that injects faults: closed connections,
/// delay, bytes that are held back, and a path that is cut for some clients.
#ifndef CROWSTEP_TESTS_PROCESS_RELAY_H
#define CROWSTEP_TESTS_PROCESS_RELAY_H

#include "core/clock.h"
#include "core/socket_watch.h"
#include "instance_type.h"

#include <list>
#include <memory>
#include <set>

namespace crowstep::test {

/// Which bytes a relay holds back while its connections stay open.
enum class Silence : std::uint8_t {
  None,     ///< No bytes.
  ToTarget, ///< Bytes to the target.
  Both,     ///< Bytes in both directions.
};

/// Listens on its own port and forwards connections to a target.
class Relay final : private SocketListener {
public:
  /// Listens on \p ListenIp; 0: on that of the target.
  explicit Relay(const Address &Target, std::uint32_t ListenIp = 0);
  ~Relay() override;
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  [[nodiscard]] const Address &address() const { return m_ListenAddress; }

  /// Closes all connections, and new ones at once, until unblock().
  void block();

  void unblock();

  /// Closes all connections; new ones are accepted as before.
  void reset();

  /// Sets which bytes are held back, then forwards held bytes that may pass.
  void setSilence(Silence Mode);

  /// Cuts the paths of the clients with these IP addresses: their packets are
  /// dropped, so that neither connections nor bytes are answered.
  void setCutClients(const std::set<std::uint32_t> &Ips);

  /// Delays each chunk that is read from now on.
  void setDelay(Duration Delay) { m_Delay = Delay; }

private:
  struct Pipe;
  struct Side;
  struct Connection;
  void socketReady(SocketEvents Events) override;
  void forwardConnection(int Accepted, std::uint32_t ClientIp);
  void filterPackets(int Socket) const;
  [[nodiscard]] bool isHeldBack(const Connection &From,
                                const Pipe &Direction) const;
  void forwardHeldPipes();
  void read(Connection &From, Pipe &Direction);
  void forward(Connection &From, Pipe &Direction);
  static void write(Connection &From, Pipe &Direction);

  Address m_Target;                     ///< Forwarding destination.
  Address m_ListenAddress;              ///< Listening address.
  int m_ListenSocket;                   ///< Owned.
  SocketWatch m_ListenWatch;            ///< Of m_ListenSocket.
  bool m_Blocked = false;               ///< New connections are closed.
  Duration m_Delay{};                   ///< Of each chunk.
  Silence m_Silence = Silence::None;    ///< See setSilence().
  std::set<std::uint32_t> m_CutClients; ///< See setCutClients().
  std::list<std::shared_ptr<Connection>>
      m_Connections; ///< Accepted since the last reset().
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_RELAY_H
