/// A TCP relay between two processes that can be cut.
#ifndef CROWSTEP_TESTS_PROCESS_RELAY_H
#define CROWSTEP_TESTS_PROCESS_RELAY_H

#include "instance_type.h"

#include <gio/gio.h>
#include <list>
#include <memory>

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

  void mend();

private:
  struct Pipe;
  struct Connection;
  void accept(void *Incoming);
  void pump(const std::shared_ptr<Pipe> &Way);

  Address m_Target;          ///< Where the bytes go.
  Address m_Listen;          ///< Where the relay is.
  GSocketService *m_Service; ///< Owned.
  bool m_Cut = false;        ///< Refuses connections.
  std::list<std::shared_ptr<Connection>> m_Connections; ///< Open ones.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_RELAY_H
