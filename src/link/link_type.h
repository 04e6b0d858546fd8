/// Links between crowstep's processes: plain types and interfaces.
///
/// A link is an authenticated TCP connection that carries length-prefixed
/// FlatBuffers frames. The daemons use TcpLinks (link_tcp.h); tests use fakes.
#ifndef CROWSTEP_LINK_LINK_TYPE_H
#define CROWSTEP_LINK_LINK_TYPE_H

#include "core/strong_id.h"
#include "instance_type.h"
#include "wire/crowstep_generated.h"

#include <string>

namespace crowstep::link {

/// Identifies a connection; never reused within a process.
using LinkId = StrongId<struct LinkTag, std::uint64_t>;

/// The process at the other end of a link, authenticated by the handshake.
struct Peer {
  wire::Role m_Role = wire::Role::Entry; ///< Kind of process.
  std::string m_Name;                    ///< Of its instance.
  InstanceId m_Instance;                 ///< Hash of the name.
  Incarnation m_Incarnation;             ///< Of the process.
  AvailabilityZone m_Zone;               ///< Of its instance.
  Address m_Address; ///< Where it listens; none for an entry.
};

/// Why a link was closed; metrics count each reason.
enum class CloseReason : std::uint8_t {
  Local,          ///< This process closed it.
  PeerClosed,     ///< End of stream or reset.
  ConnectRefused, ///< Nothing listens at the address.
  ConnectFailed,  ///< No route, or no answer in time.
  BadFrame,       ///< Not a valid FlatBuffers frame.
  FrameTooLarge,  ///< Over the size limit.
  Foreign,        ///< Not the preamble of this protocol.
  WrongSchema,    ///< Schema version not supported.
  BadProof,       ///< The peer does not know the link key.
  HandshakeSlow,  ///< No proof within the timeout.
  Backlog,        ///< Send queue full: the peer reads too slowly.
  Count,          ///< Number of reasons; not a reason.
};

/// Receives the events of links.
class LinkListener {
public:
  virtual ~LinkListener() = default;
  /// The handshake succeeded.
  virtual void linkUp(LinkId Link, const Peer &Remote) = 0;
  /// A verified frame arrived; it is valid only during the call.
  virtual void linkFrame(LinkId Link, const wire::Frame &Frame) = 0;
  /// A link that was up has closed.
  virtual void linkDown(LinkId Link, const Peer &Remote,
                        CloseReason Reason) = 0;
  /// A dial failed before the link was up; it is retried with backoff.
  virtual void dialFailed(const Address &Dialled, CloseReason Reason) = 0;
};

/// Opens links and sends frames over them.
class Links {
public:
  virtual ~Links() = default;

  /// Keeps a link to \p Remote open, with jittered backoff, until
  /// disconnect().
  virtual void dial(const Address &Remote) = 0;

  /// Closes the link to \p Remote and stops dialling it.
  virtual void disconnect(const Address &Remote) = 0;

  /// Stops dialling \p Remote. A link that is up stays until it is closed or
  /// fails.
  virtual void stopDialling(const Address &Remote) = 0;

  /// Returns the frame under assembly for \p Link. Its messages are sent as one
  /// frame at the end of the loop iteration. For a link that is not up the
  /// frame is discarded.
  virtual wire::FrameT &outbox(LinkId Link) = 0;

  /// Sends the frame under assembly for \p Link now.
  virtual void flush(LinkId Link) = 0;

  /// Returns how many encoded bytes the socket of \p Link has not accepted; 0
  /// where that is not known.
  [[nodiscard]] virtual std::size_t queuedBytes(LinkId /*Link*/) const {
    return 0;
  }

  /// Closes one link at once.
  virtual void close(LinkId Link) = 0;
};

} // namespace crowstep::link

#endif // CROWSTEP_LINK_LINK_TYPE_H
