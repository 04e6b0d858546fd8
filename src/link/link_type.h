/// Links between crowstep's own processes: plain types and the interface.
///
/// A Link is an authenticated TCP connection that carries length-prefixed
/// FlatBuffers frames. The daemons use TcpLinks (link_tcp.h); tests use fakes.
#ifndef CROWSTEP_LINK_LINK_TYPE_H
#define CROWSTEP_LINK_LINK_TYPE_H

#include "core/strong_id.h"
#include "instance_type.h"
#include "wire/crowstep_generated.h"

#include <string>

namespace crowstep::link {

/// Names one connection; never reused within a process.
using LinkId = StrongId<struct LinkTag, std::uint64_t>;

/// Who is at the other end, as proved by the handshake.
struct Peer {
  wire::Role m_Role = wire::Role::Entry; ///< Kind of process.
  std::string m_Name;                    ///< Name of its instance.
  InstanceId m_Instance;                 ///< Hash of the name.
  Incarnation m_Incarnation;             ///< Its start.
  AvailabilityZone m_Zone;               ///< Where it is.
  Address m_Address;                     ///< Where it listens; none: entry.
};

/// Why a link closed; each is counted.
enum class CloseReason : std::uint8_t {
  Local,          ///< This process closed it.
  PeerClosed,     ///< End of stream or reset.
  ConnectRefused, ///< Nobody listens there: the process is gone.
  ConnectFailed,  ///< No route, timeout.
  BadFrame,       ///< Not a valid FlatBuffers frame.
  FrameTooLarge,  ///< Over the size limit.
  Foreign,        ///< First bytes are not ours.
  WrongSchema,    ///< A schema version that this build can't read.
  BadProof,       ///< The peer does not know the link key.
  HandshakeSlow,  ///< No proof within the limit.
  Backlog,        ///< The peer reads too slowly; the send queue is full.
  Count,          ///< Number of reasons; not a reason.
};

/// Who hears of links.
class LinkListener {
public:
  virtual ~LinkListener() = default;
  /// The handshake succeeded.
  virtual void linkUp(LinkId Link, const Peer &Who) = 0;
  /// A verified frame arrived; it is valid during the call only.
  virtual void linkFrame(LinkId Link, const wire::Frame &Frame) = 0;
  /// A link that was up closed.
  virtual void linkDown(LinkId Link, const Peer &Who, CloseReason Why) = 0;
  /// A dial did not get as far as up; it is tried again with back-off.
  virtual void dialFailed(const Address &Where, CloseReason Why) = 0;
};

/// Opens and feeds links.
class Links {
public:
  virtual ~Links() = default;

  /// Keeps a link to \p Where open, with jittered back-off, until hangUp().
  virtual void dial(const Address &Where) = 0;

  /// Drops the link to \p Where and stops dialling it.
  virtual void hangUp(const Address &Where) = 0;

  /// Returns the frame under assembly for \p Link. What is put into it goes
  /// out joined, at the end of the loop iteration. For an unknown link the
  /// frame is thrown away.
  virtual wire::FrameT &outbox(LinkId Link) = 0;

  /// Closes one link at once.
  virtual void close(LinkId Link) = 0;
};

} // namespace crowstep::link

#endif // CROWSTEP_LINK_LINK_TYPE_H
