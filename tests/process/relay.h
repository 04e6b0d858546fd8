/// A TCP relay between two processes that can be cut, frozen and slowed.
#ifndef CROWSTEP_TESTS_PROCESS_RELAY_H
#define CROWSTEP_TESTS_PROCESS_RELAY_H

#include "core/clock.h"
#include "instance_type.h"

#include <list>
#include <memory>

typedef struct _GSocketService GSocketService;

namespace crowstep::test {

/// Listens on a port of its own and passes bytes on to a target.
class Relay {
public:
  explicit Relay(const Address &Target);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  [[nodiscard]] const Address &address() const { return m_Listen; }

  /// Closes all connections and refuses new ones until mend().
  void cut();

  /// Passes nothing on, keeps connections open, until mend(): what a switch
  /// that drops packets looks like.
  void freeze();

  /// Holds each piece back for \p Delay.
  void slow(Duration Delay) { m_Delay = Delay; }

  void mend();

private:
  struct Pipe;
  struct Connection;
  void accept(void *Incoming);
  void pump(const std::shared_ptr<Pipe> &Way);
  void passOn(const std::shared_ptr<Pipe> &Way);

  Address m_Target;          ///< Where the bytes go.
  Address m_Listen;          ///< Where the relay is.
  GSocketService *m_Service; ///< Owned.
  bool m_Cut = false;        ///< Refuses connections.
  bool m_Frozen = false;     ///< Passes nothing on.
  Duration m_Delay{};        ///< Of each piece.
  std::list<std::shared_ptr<Connection>> m_Connections; ///< Open ones.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_RELAY_H
