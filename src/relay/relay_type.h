/// Plain types of relayed calls.
#ifndef CROWSTEP_RELAY_RELAY_TYPE_H
#define CROWSTEP_RELAY_RELAY_TYPE_H

#include "core/clock.h"
#include "core/strong_id.h"
#include "http/header_list.h"
#include "http/request_parser.h"
#include "upstream_type.h"

#include <optional>
#include <string_view>
#include <vector>

namespace crowstep::relay {

/// Identifies a relayed call; chosen by the instance that has the request.
using RelayCallId = StrongId<struct RelayCallTag, std::uint64_t>;

/// Bytes of an answer that may be on their way without a credit for them.
inline constexpr std::size_t RelayWindow = 64 << 10;

/// How a relayed call ended at the instance that carried it. Numbers on links
/// don't change.
enum class RelayOutcome : std::uint8_t {
  Complete = 0,       ///< The answer was received in full.
  NotSent = 1,        ///< No connection; no byte was sent.
  ConnectRefused = 2, ///< The upstream refused it; no byte was sent.
  Withheld = 3,       ///< The last check failed; no byte was sent.
  Broken = 4,         ///< The connection to the upstream broke; maybe sent.
  Busy = 5,           ///< It carries too many calls; no byte was sent.
  NotAdmitted = 6,    ///< Its table or list does not allow it; not sent.
  Stopping = 7,       ///< It shuts down; no byte was sent.
  Count = 8,          ///< Number of outcomes; not an outcome.
};

/// Returns the stable name in logs and metrics, such as "not_admitted".
std::string_view nameOf(RelayOutcome Outcome);

/// Returns whether the outcome proves that no byte was sent.
bool provesNotSent(RelayOutcome Outcome);

/// A request to connect to an upstream for a call, without sending it yet.
struct RelayOpening {
  RelayCallId m_Call;                         ///< See RelayCallId.
  UpstreamId m_Upstream;                      ///< Where it goes.
  IncomingRequest m_Request;                  ///< As the caller sent it.
  Duration m_TimeLeft{};                      ///< For the request.
  bool m_IsRepeatable = false;                ///< May run more than once.
  std::optional<std::uint64_t> m_LastEventId; ///< A stream goes on after it.
};

/// Which upstreams an instance reaches, and how busy it is.
struct PathAnswer {
  std::uint64_t m_Question = 0;      ///< That it answers.
  std::vector<UpstreamId> m_Reached; ///< Connected since the question.
  std::uint32_t m_OpenCalls = 0;     ///< That the instance carries.
  bool m_IsStopping = false;         ///< It takes no further calls.
};

} // namespace crowstep::relay

#endif // CROWSTEP_RELAY_RELAY_TYPE_H
