/// A TCP relay between two processes that can be cut, slow or silent.
#ifndef CROWSTEP_TESTS_PROCESS_RELAY_H
#define CROWSTEP_TESTS_PROCESS_RELAY_H

#include "core/clock.h"
#include "instance_type.h"

#include <gio/gio.h>
#include <list>
#include <memory>

namespace crowstep::test {

/// Which bytes a relay holds back without closing a connection.
enum class Silence : std::uint8_t {
  None,    ///< None.
  Outward, ///< Those to the target.
  Both,    ///< All.
};

/// Listens on a port of its own and passes bytes on to a target.
class Relay {
public:
  explicit Relay(const Address &Target);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  [[nodiscard]] const Address &address() const { return m_ListenAddress; }

  /// Closes all connections and refuses new ones until mend().
  void cut();

  void mend();

  /// Closes all connections; new ones are taken as before.
  void reset();

  /// Holds bytes back; None passes on what was held.
  void setSilence(Silence Mode);

  /// Bytes stay this long on their way from now on.
  void setDelay(Duration Delay) { m_Delay = Delay; }

private:
  struct Pipe;
  struct Connection;
  void accept(void *Accepted);
  void startRead(const std::shared_ptr<Pipe> &Direction);
  void handleRead(const std::shared_ptr<Pipe> &Direction);
  void forward(const std::shared_ptr<Pipe> &Direction);

  Address m_Target;                             ///< Where the bytes go.
  Address m_ListenAddress;                      ///< Where the relay is.
  GSocketService *m_Service;                    ///< Owned.
  bool m_Blocked = false;                       ///< Refuses connections.
  Duration m_Delay{};                           ///< Of each piece.
  Silence m_Silence = Silence::None;            ///< See setSilence().
  std::list<std::shared_ptr<Pipe>> m_HeldPipes; ///< Pieces held back.
  std::list<std::shared_ptr<Connection>> m_Connections; ///< Open ones.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_RELAY_H
