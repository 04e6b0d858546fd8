/// One TCP connection with its handshake, reader and send queue.
#ifndef CROWSTEP_LINK_CONNECTION_H
#define CROWSTEP_LINK_CONNECTION_H

#include "core/socket_watch.h"
#include "link/frame_counters.h"
#include "link/handshake.h"
#include "link/send_queue.h"

#include <gio/gio.h>
#include <memory>
#include <optional>

namespace crowstep::link {

class Connection;

/// The owner of connections, which is notified of their events.
class ConnectionOwner {
public:
  virtual ~ConnectionOwner() = default;
  virtual void connectionUp(Connection &Source) = 0;
  virtual void connectionFrame(Connection &Source,
                               const wire::Frame &Frame) = 0;
  /// The connection was closed; called once, but not after close().
  virtual void connectionFailed(Connection &Source, CloseReason Reason) = 0;
};

/// Shared by the connections of one process.
struct ConnectionContext {
  const LinkConfig &m_Config; ///< Outlives the connections.
  Scheduler &m_Timers;        ///< Outlives the connections.
  ConnectionOwner &m_Owner;   ///< Outlives the connections.
  FrameCounters m_In;         ///< Counts what is read.
  FrameCounters m_Out;        ///< Counts what is written.
};

/// One connection; it stays closed after its first failure.
class Connection final : public std::enable_shared_from_this<Connection>,
                         public SocketListener {
public:
  /// \p Dialled is the address to dial, or none for an accepted connection.
  Connection(ConnectionContext &Shared, LinkId Id, const Address &Dialled);
  ~Connection() override;
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Starts to connect. A failure is always reported later, never from within
  /// this call.
  void connect();

  /// Takes ownership of an accepted socket and starts the handshake.
  void adopt(GSocket *Socket);

  /// Returns the frame under assembly.
  [[nodiscard]] wire::FrameT &outbox() { return m_Outbox; }

  /// Sends the outbox; what the socket does not accept now stays queued.
  void flush();

  /// Closes without notifying the owner.
  void close();

  [[nodiscard]] LinkId id() const { return m_Id; }
  [[nodiscard]] const Address &dialledAddress() const {
    return m_DialledAddress;
  }
  [[nodiscard]] bool isUp() const { return m_Up; }
  [[nodiscard]] std::size_t queuedBytes() const {
    return m_SendQueue.unwritten().size();
  }
  [[nodiscard]] const Peer &peer() const { return m_Peer; }

private:
  void socketReady(SocketEvents Ready) override;

  void configure(GSocket *Socket);
  void finishConnect();
  void startHandshake();
  void readSome();
  void processInput(Bytes Input);
  void processFrame(const FrameArrived &Received);
  void processHandshakeStep(const HandshakeStep &Step);
  void send(const wire::FrameT &Frame);
  void writeQueued();
  void watchForWriting(bool Blocked);
  void fillPeerAddress();
  void fail(CloseReason Reason);

  ConnectionContext &m_Context; ///< Outlives this.
  LinkId m_Id;                  ///< Also the id of the link once it is up.
  Address m_DialledAddress;     ///< None if accepted.
  GSocket *m_Socket = nullptr;  ///< Owned; null once closed.
  std::optional<SocketWatch> m_SocketWatch; ///< Set with m_Socket.
  bool m_WriteBlocked = false; ///< Waits until the socket is writable.
  bool m_Connected = false;    ///< TCP is established.
  bool m_Up = false;           ///< The peer is authenticated.
  Timer m_HandshakeTimer;      ///< Runs until m_Up.
  Handshake m_Handshake;       ///< In use until m_Up.
  FrameReader m_Reader;        ///< Splits the input into frames.
  Peer m_Peer;                 ///< Valid once m_Up.
  wire::FrameT m_Outbox;       ///< Under assembly.
  bool m_HoldsOutbox = false;  ///< It is sent once the queue is empty.
  SendQueue m_SendQueue;       ///< Encoded frames.
};

} // namespace crowstep::link

#endif // CROWSTEP_LINK_CONNECTION_H
