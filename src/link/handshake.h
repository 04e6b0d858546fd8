/// The handshake that opens a link: challenge and response over a shared key.
///
/// Both sides send a Hello with a fresh nonce. The dialer proves first that it
/// knows the key, then the acceptor; so an acceptor answers no stranger. The
/// proof covers the direction, both Hellos and with them both nonces: it can't
/// be replayed on another connection or reflected to its sender.
#ifndef CROWSTEP_LINK_HANDSHAKE_H
#define CROWSTEP_LINK_HANDSHAKE_H

#include "link/frame_codec.h"
#include "link/link_tcp.h"

#include <optional>

namespace crowstep::link {

/// Which side of a connection this process is.
enum class Side : std::uint8_t { Dialer, Acceptor };

/// Longest frame before the peer is authenticated: a stranger must not make
/// this process hold megabytes.
inline constexpr std::uint32_t MaxHandshakeFrame = 1024;

/// Nothing to do until the next frame but to send \p m_Reply, if any.
struct HandshakeGoesOn {
  std::optional<wire::ProofT> m_Reply; ///< To be sent.
};

/// The peer has proved itself.
struct HandshakeDone {
  std::optional<wire::ProofT> m_Reply; ///< To be sent.
  Peer m_Peer;                         ///< Who it is.
};

using HandshakeStep = std::variant<HandshakeGoesOn, HandshakeDone, Rejected>;

/// One handshake; without I/O.
class Handshake {
public:
  Handshake(const LinkConfig &Config, Side Own);

  /// Returns what this side sends first.
  [[nodiscard]] const wire::HelloT &hello() const { return m_Own; }

  /// Takes the peer's next frame.
  HandshakeStep take(const wire::Frame &Frame);

private:
  HandshakeStep takeHello(const wire::Hello &Theirs);
  HandshakeStep takeProof(const wire::Proof &Theirs);
  [[nodiscard]] wire::ProofT proofOf(Side Prover) const;
  [[nodiscard]] Side other() const;

  std::string m_Key;                  ///< Shared secret.
  Side m_Side;                        ///< Of this process.
  wire::HelloT m_Own;                 ///< As sent.
  std::optional<wire::HelloT> m_Peer; ///< As received; set once.
};

} // namespace crowstep::link

#endif // CROWSTEP_LINK_HANDSHAKE_H
