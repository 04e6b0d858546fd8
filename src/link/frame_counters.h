/// Counts the bytes and messages of frames by the mechanism that sent them.
///
/// One frame carries messages of several mechanisms. Their cost must be visible
/// separately, as an instance's budget for control traffic is only a few KB/s.
#ifndef CROWSTEP_LINK_FRAME_COUNTERS_H
#define CROWSTEP_LINK_FRAME_COUNTERS_H

#include "core/metrics.h"
#include "link/frame_codec.h"

#include <array>

namespace crowstep::link {

/// The protocol that a message belongs to.
enum class Mechanism : std::uint8_t {
  Framing,    ///< Lengths, frame headers, handshakes.
  Serving,    ///< Bids, grants and their outcomes.
  Membership, ///< Heartbeats and members.
  Table,      ///< The operators' table and its probes.
  Attachment, ///< Between a dispatcher and its entries.
  Claims,     ///< At-most-once claims.
  Count,      ///< Number of mechanisms; not a mechanism.
};

/// Returns whether \p Frame has fields other than hello and proof.
bool hasMessages(const wire::Frame &Frame);

/// Counters of one direction.
class FrameCounters {
public:
  /// \p Direction is "in" or "out".
  FrameCounters(Metrics &Stats, const std::string &Direction);

  /// Counts a verified frame; \p Encoded is its encoding without the length.
  void count(const wire::Frame &Frame, Bytes Encoded);

private:
  static constexpr auto MechanismCount =
      static_cast<std::size_t>(Mechanism::Count);
  Counter *m_Bytes;  ///< Bytes, lengths included.
  Counter *m_Frames; ///< Frames.
  std::array<Counter *, MechanismCount> m_MechanismBytes{};    ///< Never null.
  std::array<Counter *, MechanismCount> m_MechanismMessages{}; ///< Never null.
};

} // namespace crowstep::link

#endif // CROWSTEP_LINK_FRAME_COUNTERS_H
