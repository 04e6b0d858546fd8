/// The handshake that opens a link: challenge-response with a shared key.
///
/// Both sides send a Hello with a fresh nonce. The dialer proves first that it
/// knows the key, then the acceptor, so that an acceptor sends no proof to an
/// unauthenticated peer. A proof covers the prover's side and both Hellos with
/// their nonces, so that it can't be replayed on another connection or
/// reflected to its sender.
#ifndef CROWSTEP_LINK_HANDSHAKE_H
#define CROWSTEP_LINK_HANDSHAKE_H

#include "link/frame_codec.h"
#include "link/link_tcp.h"

#include <optional>

namespace crowstep::link {

/// Which side of a connection this process is.
enum class Side : std::uint8_t { Dialer, Acceptor };

/// Bytes of the longest frame before the peer is authenticated: keeps an
/// unauthenticated peer from making this process buffer megabytes.
inline constexpr std::uint32_t MaxHandshakeFrame = 1024;

/// The handshake waits for the next frame.
struct HandshakePending {
  std::optional<wire::ProofT> m_Reply; ///< To be sent first, if any.
};

/// The peer is authenticated.
struct HandshakeDone {
  std::optional<wire::ProofT> m_Reply; ///< To be sent, if any.
  Peer m_Peer;
};

using HandshakeStep = std::variant<HandshakePending, HandshakeDone, Rejected>;

/// One handshake, without I/O.
class Handshake {
public:
  Handshake(const LinkConfig &Config, Side OwnSide);

  /// Returns the Hello of this side, which it sends first.
  [[nodiscard]] const wire::HelloT &hello() const { return m_Own; }

  /// Handles the peer's next frame.
  HandshakeStep handleFrame(const wire::Frame &Frame);

private:
  HandshakeStep handleHello(const wire::Hello &Received);
  HandshakeStep handleProof(const wire::Proof &Received);
  [[nodiscard]] wire::ProofT proofOf(Side Prover) const;
  [[nodiscard]] Side otherSide() const;

  std::string m_Key;                  ///< Shared secret.
  Side m_Side;                        ///< Of this process.
  wire::HelloT m_Own;                 ///< As sent.
  std::optional<wire::HelloT> m_Peer; ///< As received; set once.
};

} // namespace crowstep::link

#endif // CROWSTEP_LINK_HANDSHAKE_H
