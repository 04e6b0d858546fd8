/// The handshake that opens a link.
#include "link/handshake.h"

#include "link/frame_counters.h"

#include <glib.h>
#include <sys/random.h>

namespace crowstep::link {

namespace {

constexpr std::size_t NonceSize = 16;
constexpr std::size_t MacSize = 32;
constexpr std::string_view Context = "crowstep link 1";

std::vector<std::uint8_t> freshNonce() {
  std::vector<std::uint8_t> Result(NonceSize);
  // For up to 256 bytes, getrandom() neither blocks, once the kernel's
  // generator is seeded at boot, nor returns fewer.
  if (getrandom(Result.data(), Result.size(), 0) !=
      static_cast<ssize_t>(Result.size()))
    g_error("getrandom() did not return a full nonce");
  return Result;
}

/// HMAC-SHA256 over fields. Each is prefixed with its length, so that moving a
/// byte from one field to the next changes the code.
class Authenticator {
public:
  explicit Authenticator(const std::string &Key)
      : m_Hmac(g_hmac_new(G_CHECKSUM_SHA256,
                          reinterpret_cast<const guchar *>(Key.data()),
                          Key.size())) {}
  ~Authenticator() { g_hmac_unref(m_Hmac); }
  Authenticator(const Authenticator &) = delete;
  Authenticator &operator=(const Authenticator &) = delete;

  void add(const void *Data, std::size_t Size) {
    const std::uint64_t Length = GUINT64_TO_LE(Size);
    update(&Length, sizeof(Length));
    update(Data, Size);
  }
  void addNumber(std::uint64_t Value) {
    const std::uint64_t Portable = GUINT64_TO_LE(Value);
    add(&Portable, sizeof(Portable));
  }
  void addHello(const wire::HelloT &Hello) {
    addNumber(static_cast<std::uint64_t>(Hello.role));
    add(Hello.instance.data(), Hello.instance.size());
    addNumber(Hello.incarnation);
    add(Hello.zone.data(), Hello.zone.size());
    addNumber(Hello.ip);
    addNumber(Hello.port);
    add(Hello.nonce.data(), Hello.nonce.size());
  }
  std::vector<std::uint8_t> finish() {
    std::vector<std::uint8_t> Mac(MacSize);
    gsize Size = Mac.size();
    g_hmac_get_digest(m_Hmac, Mac.data(), &Size);
    return Mac;
  }

private:
  void update(const void *Data, std::size_t Size) {
    g_hmac_update(m_Hmac, static_cast<const guchar *>(Data),
                  static_cast<gssize>(Size));
  }

  GHmac *m_Hmac; ///< Owned.
};

/// Compares in constant time for equal sizes, so that the time taken does not
/// reveal how many bytes of a guessed code are right.
bool equalInConstantTime(const std::vector<std::uint8_t> &Expected,
                         const flatbuffers::Vector<std::uint8_t> &Given) {
  if (Given.size() != Expected.size())
    return false;
  std::uint8_t Difference = 0;
  for (std::size_t Index = 0; Index < Expected.size(); ++Index)
    Difference |=
        Expected[Index] ^ Given.Get(static_cast<flatbuffers::uoffset_t>(Index));
  return Difference == 0;
}

wire::HelloT helloOf(const LinkConfig &Config) {
  wire::HelloT Result;
  Result.schema = SchemaVersion;
  Result.role = Config.m_Role;
  Result.instance = Config.m_Name;
  Result.incarnation = Config.m_Incarnation.value();
  Result.zone = Config.m_Zone.m_Name;
  Result.ip = Config.m_Listen.m_Ip;
  Result.port = Config.m_Listen.m_Port;
  Result.nonce = freshNonce();
  return Result;
}

Peer peerOf(const wire::HelloT &Hello) {
  return {Hello.role,
          Hello.instance,
          instanceIdOf(Hello.instance),
          Incarnation(Hello.incarnation),
          {Hello.zone},
          {Hello.ip, Hello.port}};
}

} // namespace

Handshake::Handshake(const LinkConfig &Config, Side OwnSide)
    : m_Key(Config.m_Key), m_Side(OwnSide), m_Own(helloOf(Config)) {}

HandshakeStep Handshake::handleFrame(const wire::Frame &Frame) {
  if (hasMessages(Frame))
    return Rejected{CloseReason::BadProof};
  if (Frame.hello() != nullptr && Frame.proof() == nullptr && !m_Peer)
    return handleHello(*Frame.hello());
  if (Frame.proof() != nullptr && Frame.hello() == nullptr && m_Peer)
    return handleProof(*Frame.proof());
  return Rejected{CloseReason::BadFrame};
}

HandshakeStep Handshake::handleHello(const wire::Hello &Received) {
  if (Received.schema() != SchemaVersion)
    return Rejected{CloseReason::WrongSchema};
  wire::HelloT Hello;
  Received.UnPackTo(&Hello);
  if (Hello.nonce.size() != NonceSize || Hello.instance.empty())
    return Rejected{CloseReason::BadFrame};
  // A process that dials its own address, as one of its hints, would otherwise
  // count itself as a peer. The check also rejects a relay that connects this
  // process to itself.
  if (Hello.role == m_Own.role && Hello.instance == m_Own.instance &&
      Hello.incarnation == m_Own.incarnation)
    return Rejected{CloseReason::BadProof};
  m_Peer = std::move(Hello);
  if (m_Side == Side::Acceptor)
    return HandshakePending{};
  return HandshakePending{proofOf(m_Side)};
}

HandshakeStep Handshake::handleProof(const wire::Proof &Received) {
  if (Received.mac() == nullptr ||
      !equalInConstantTime(proofOf(otherSide()).mac, *Received.mac()))
    return Rejected{CloseReason::BadProof};
  HandshakeDone Done;
  Done.m_Peer = peerOf(*m_Peer);
  if (m_Side == Side::Acceptor)
    Done.m_Reply = proofOf(m_Side);
  return Done;
}

wire::ProofT Handshake::proofOf(Side Prover) const {
  const bool OwnDials = m_Side == Side::Dialer;
  Authenticator Code(m_Key);
  Code.add(Context.data(), Context.size());
  Code.addNumber(static_cast<std::uint64_t>(Prover));
  Code.addHello(OwnDials ? m_Own : *m_Peer);
  Code.addHello(OwnDials ? *m_Peer : m_Own);
  wire::ProofT Result;
  Result.mac = Code.finish();
  return Result;
}

Side Handshake::otherSide() const {
  return m_Side == Side::Dialer ? Side::Acceptor : Side::Dialer;
}

} // namespace crowstep::link
