/// Accounts for the bytes of frames by the mechanism that caused them.
///
/// One frame carries messages of several mechanisms; the cost of each must
/// still be visible, as a node's budget for control is only a few KB a second.
#ifndef CROWSTEP_LINK_FRAME_ACCOUNT_H
#define CROWSTEP_LINK_FRAME_ACCOUNT_H

#include "core/metrics.h"
#include "link/frame_codec.h"

#include <array>

namespace crowstep::link {

/// What a message belongs to.
enum class Mechanism : std::uint8_t {
  Framing,    ///< Lengths, frame headers, handshakes.
  Serving,    ///< Bids, grants and what becomes of them.
  Membership, ///< Heartbeats and members.
  Table,      ///< The operators' table and its confirmation.
  Attachment, ///< What a dispatcher tells its entries.
  Claims,     ///< At-most-once claims.
  Count,      ///< Number of mechanisms; not a mechanism.
};

/// Returns whether \p Frame has fields other than hello and proof.
bool hasMessages(const wire::Frame &Frame);

/// Counters of one direction.
class FrameAccount {
public:
  /// \p Direction is "in" or "out".
  FrameAccount(Metrics &Stats, const std::string &Direction);

  /// Counts a verified frame.
  void count(const wire::Frame &Frame, Bytes Encoded);

private:
  static constexpr auto MechanismCount =
      static_cast<std::size_t>(Mechanism::Count);
  Counter *m_Bytes;  ///< All bytes, lengths included.
  Counter *m_Frames; ///< All frames.
  std::array<Counter *, MechanismCount> m_MechanismBytes{};    ///< Never null.
  std::array<Counter *, MechanismCount> m_MechanismMessages{}; ///< Never null.
};

} // namespace crowstep::link

#endif // CROWSTEP_LINK_FRAME_ACCOUNT_H
