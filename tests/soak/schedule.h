/// Which troubles come when: made from a seed alone.
#ifndef CROWSTEP_TESTS_SOAK_SCHEDULE_H
#define CROWSTEP_TESTS_SOAK_SCHEDULE_H

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crowstep::soak {

/// Kinds of troubles.
enum class FaultKind : std::uint8_t {
  GatewayTerm,        ///< SIGTERM; started again after its end.
  GatewayKill,        ///< SIGKILL; started again.
  GatewayFreeze,      ///< SIGSTOP, later SIGCONT.
  GatewayHangUp,      ///< Settings are written anew, SIGHUP.
  AllGatewaysKill,    ///< SIGKILL of all at once.
  UpstreamBusy,       ///< See Trouble.
  UpstreamErrors,     ///< See Trouble.
  UpstreamCuts,       ///< See Trouble.
  UpstreamLost,       ///< See Trouble.
  UpstreamMute,       ///< See Trouble.
  AllUpstreamsErrors, ///< The same, all of them.
  UpstreamCrash,      ///< Gone without a word, later back as a new start.
  UpstreamRelease,    ///< Leaves as announced, later back as a new start.
  PathReset,          ///< Connections to one upstream are reset.
  PathSilent,         ///< One upstream's connections go silent.
  PathOneWay,         ///< Nothing reaches one upstream; its answers come.
  PathSlow,           ///< Bytes to and from one upstream are late.
  StoreBusy,          ///< The store answers 503.
  StoreSilent,        ///< The store takes calls and says nothing.
  StoreCut,           ///< One gateway can't reach the store.
  StoreSlow,          ///< The store's answers to one gateway are late.
  StoreOldCopy,       ///< A change, lost history, and reads from before it.
  StoreForgets,       ///< The store drops its history.
  TableChange,        ///< A new table: one route goes, one comes.
  CallersLeave,       ///< All callers hang up.
  Count,              ///< Number of kinds; not a kind.
};

/// Returns the stable name, such as "gateway-kill".
std::string_view nameOf(FaultKind Kind);

struct Fault {
  Duration m_At{};                           ///< From the start of the load.
  FaultKind m_Kind = FaultKind::GatewayTerm; ///< What.
  unsigned m_Which = 0; ///< Gateway or upstream, modulo their number.
  Duration m_Span{};    ///< Until it ends, where it lasts.
};

/// Returns the troubles of \p Seed within \p Span, in order. They come in
/// series and overlap; every fourth seed plays only planned work, in which
/// nothing may be cut. With \p Only all are of that kind.
std::vector<Fault> makeSchedule(std::uint64_t Seed, Duration Length,
                                std::optional<FaultKind> OnlyKind = {});

/// Returns the kind of that name, or nothing.
std::optional<FaultKind> faultKindOf(const std::string &Name);

/// Returns whether \p Seed plays only planned work.
bool isCalm(std::uint64_t Seed);

/// Returns whether, beside the schedule of \p Seed, a request comes again and
/// again that crashes the upstreams that run it.
bool hasCrashingRequest(std::uint64_t Seed);

} // namespace crowstep::soak

#endif // CROWSTEP_TESTS_SOAK_SCHEDULE_H
