/// One TCP connection with its handshake, reader and send queue.
#ifndef CROWSTEP_LINK_CONNECTION_H
#define CROWSTEP_LINK_CONNECTION_H

#include "core/socket_watch.h"
#include "link/frame_account.h"
#include "link/handshake.h"

#include <gio/gio.h>
#include <memory>
#include <optional>

namespace crowstep::link {

class Connection;

/// Who owns connections and hears what becomes of them.
class ConnectionOwner {
public:
  virtual ~ConnectionOwner() = default;
  virtual void connectionUp(Connection &Which) = 0;
  virtual void connectionFrame(Connection &Which, const wire::Frame &Frame) = 0;
  /// The connection is closed; called once, unless close() was called.
  virtual void connectionFailed(Connection &Which, CloseReason Why) = 0;
};

/// What the connections of one process share.
struct ConnectionShared {
  const LinkConfig &m_Config; ///< Outlives the connections.
  Scheduler &m_Timers;        ///< Outlives the connections.
  ConnectionOwner &m_Owner;   ///< Outlives the connections.
  FrameAccount m_In;          ///< Counts what is read.
  FrameAccount m_Out;         ///< Counts what is written.
};

/// One connection; closed for good after its first failure.
class Connection final : public std::enable_shared_from_this<Connection>,
                         public SocketListener {
public:
  /// \p Where is the address dialled, or none for an accepted connection.
  Connection(ConnectionShared &Shared, LinkId Id, const Address &Where);
  ~Connection() override;
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Begins to connect. A refusal that is known at once is reported later,
  /// never from within this call.
  void connect();

  /// Takes over an accepted socket and its reference.
  void adopt(GSocket *Socket);

  /// Returns the frame under assembly.
  [[nodiscard]] wire::FrameT &outbox() { return m_Outbox; }

  /// Sends the outbox, as far as the socket takes it now.
  void flush();

  /// Closes without telling the owner.
  void close();

  [[nodiscard]] LinkId id() const { return m_Id; }
  [[nodiscard]] const Address &dialled() const { return m_Where; }
  [[nodiscard]] bool isUp() const { return m_Up; }
  [[nodiscard]] const Peer &peer() const { return m_Peer; }

private:
  void socketReady(SocketEvents What) override;

  void configure(GSocket *Socket);
  void connected();
  void startHandshake();
  void readSome();
  void takeInput(Bytes Input);
  void takeFrame(const FrameArrived &Arrived);
  void takeStep(const HandshakeStep &Step);
  void send(const wire::FrameT &Frame);
  void writeQueued();
  void watchForWriting(bool Wanted);
  void learnPeerAddress();
  void fail(CloseReason Why);

  ConnectionShared &m_Shared;         ///< Config, timers, owner, counters.
  LinkId m_Id;                        ///< Of the link that this may become.
  Address m_Where;                    ///< Dialled; none: accepted.
  GSocket *m_Socket = nullptr;        ///< Owned; null once closed.
  std::optional<SocketWatch> m_Watch; ///< Set with m_Socket.
  bool m_Blocked = false;             ///< Waits until it can write.
  bool m_Connected = false;           ///< TCP is established.
  bool m_Up = false;                  ///< The peer has proved itself.
  Timer m_Limit;                      ///< Runs until m_Up.
  Handshake m_Handshake;              ///< In use until m_Up.
  FrameReader m_Reader;               ///< Cuts frames.
  Peer m_Peer;                        ///< Valid once m_Up.
  wire::FrameT m_Outbox;              ///< Under assembly.
  std::vector<std::uint8_t> m_Queue;  ///< Encoded, not yet written.
  std::size_t m_Written = 0;          ///< Of m_Queue, already written.
};

} // namespace crowstep::link

#endif // CROWSTEP_LINK_CONNECTION_H
