/// A TCP relay between two processes that injects faults: closed connections,
/// delay, and bytes that are held back.
#ifndef CROWSTEP_TESTS_PROCESS_RELAY_H
#define CROWSTEP_TESTS_PROCESS_RELAY_H

#include "core/clock.h"
#include "instance_type.h"

#include <gio/gio.h>
#include <list>
#include <memory>

namespace crowstep::test {

/// Which bytes a relay holds back while its connections stay open.
enum class Silence : std::uint8_t {
  None,     ///< No bytes.
  ToTarget, ///< Bytes to the target.
  Both,     ///< Bytes in both directions.
};

/// Listens on its own port and forwards connections to a target.
class Relay {
public:
  explicit Relay(const Address &Target);
  ~Relay();
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

  /// Delays each chunk that is read from now on.
  void setDelay(Duration Delay) { m_Delay = Delay; }

private:
  struct Pipe;
  struct Connection;
  void accept(void *Accepted);
  void startRead(const std::shared_ptr<Pipe> &Direction);
  void handleRead(const std::shared_ptr<Pipe> &Direction);
  void forward(const std::shared_ptr<Pipe> &Direction);

  Address m_Target;                             ///< Forwarding destination.
  Address m_ListenAddress;                      ///< Listening address.
  GSocketService *m_Service;                    ///< Owned.
  bool m_Blocked = false;                       ///< New connections are closed.
  Duration m_Delay{};                           ///< Of each chunk.
  Silence m_Silence = Silence::None;            ///< See setSilence().
  std::list<std::shared_ptr<Pipe>> m_HeldPipes; ///< With a chunk held back.
  std::list<std::shared_ptr<Connection>>
      m_Connections; ///< Accepted since the last reset().
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_RELAY_H
