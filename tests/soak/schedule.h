/// The schedule of faults, made from a seed alone.
#ifndef CROWSTEP_TESTS_SOAK_SCHEDULE_H
#define CROWSTEP_TESTS_SOAK_SCHEDULE_H

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crowstep::soak {

/// Kinds of faults.
enum class FaultKind : std::uint8_t {
  GatewayTerm,        ///< SIGTERM; restarted once it has exited.
  GatewayKill,        ///< SIGKILL; restarted.
  GatewayFreeze,      ///< SIGSTOP, later SIGCONT.
  GatewayHangUp,      ///< SIGHUP after its settings are rewritten.
  AllGatewaysKill,    ///< SIGKILL of all at once.
  UpstreamBusy,       ///< See UpstreamFault.
  UpstreamErrors,     ///< See UpstreamFault.
  UpstreamCuts,       ///< See UpstreamFault.
  UpstreamAnswerLost, ///< See UpstreamFault.
  UpstreamMute,       ///< See UpstreamFault.
  AllUpstreamsErrors, ///< UpstreamErrors at every upstream.
  UpstreamCrash,      ///< Stops without draining; restarted later.
  UpstreamRelease,    ///< Drains or is removed; restarted later.
  PathReset,          ///< Connections to one upstream are reset.
  PathSilent,         ///< One upstream's connections fall silent.
  PathOneWay,         ///< One upstream receives nothing; its answers pass.
  PathSlow,           ///< Bytes to and from one upstream are delayed.
  StoreBusy,          ///< The store answers 503.
  StoreSilent,        ///< The store accepts calls and doesn't answer.
  StoreCut,           ///< One gateway can't reach the store.
  StoreSlow,          ///< One gateway's path to the store is delayed.
  StoreOldCopy,       ///< Reads from before a change; history is lost.
  StoreForgets,       ///< The store drops its history.
  TableChange,        ///< A new table: one route removed, one added.
  CallersLeave,       ///< All callers close their connections.
  Count,              ///< Number of kinds; not a kind.
};

/// Returns the name that options and output use, such as "gateway-kill".
std::string_view nameOf(FaultKind Kind);

/// One scheduled fault.
struct Fault {
  Duration m_Start{};                        ///< Since the start of the load.
  FaultKind m_Kind = FaultKind::GatewayTerm; ///< Which fault.
  unsigned m_Target = 0; ///< Of gateway or upstream, modulo their count.
  Duration m_Duration{}; ///< Until it ends; some kinds don't last.
};

/// Returns the faults of \p Seed that begin within \p Length, in order. They
/// come in series of one kind and overlap. Every fourth seed plays only planned
/// work, during which no request may be cut. With \p OnlyKind all faults are of
/// that kind.
std::vector<Fault> makeSchedule(std::uint64_t Seed, Duration Length,
                                std::optional<FaultKind> OnlyKind = {});

/// Kinds of faults of the duties that one gateway holds for all.
enum class DutyFaultKind : std::uint8_t {
  HolderKill,      ///< SIGKILL of the gateway that has acted last.
  HolderTerm,      ///< SIGTERM of it.
  HolderFreeze,    ///< SIGSTOP, later SIGCONT.
  HolderCut,       ///< It can't reach the store.
  PlatformBusy,    ///< The platform rejects the calls.
  PlatformLimited, ///< The platform rejects them for their rate.
  PlatformSilent,  ///< The platform carries them out and does not answer.
  Count,           ///< Number of kinds; not a kind.
};

/// One scheduled fault of the duties.
struct DutyFault {
  Duration m_Start{};                               ///< Since the load's start.
  DutyFaultKind m_Kind = DutyFaultKind::HolderKill; ///< Which fault.
  Duration m_Duration{}; ///< Until it ends; some kinds don't last.
};

/// Returns the faults of the duties of \p Seed that begin within \p Length, in
/// order; they are drawn apart from the other faults. Some seeds have none.
std::vector<DutyFault> makeDutySchedule(std::uint64_t Seed, Duration Length);

/// Kinds of faults in which something must be learned from an answer, or in
/// spite of one that never comes.
enum class StatementFaultKind : std::uint8_t {
  UpstreamLeaves,    ///< An upstream leaves; only its answers say so.
  UpstreamPauses,    ///< An upstream rejects some calls with a pause.
  StoreForgetsCalls, ///< The store is silent and loses its history meanwhile.
  Count,             ///< Number of kinds; not a kind.
};

/// One scheduled fault of that sort.
struct StatementFault {
  Duration m_Start{};          ///< Since the load's start.
  StatementFaultKind m_Kind{}; ///< Which fault.
  unsigned m_Target = 0;       ///< Upstream, modulo their count.
  Duration m_Duration{};       ///< Until it ends.
};

/// Returns such faults of \p Seed that begin within \p Length, in order; they
/// are drawn apart from the other faults. Some seeds have none.
std::vector<StatementFault> makeStatementSchedule(std::uint64_t Seed,
                                                  Duration Length);

/// Which paths between gateways and upstreams are cut.
enum class PathCutKind : std::uint8_t {
  OneGateway,   ///< One gateway loses all upstreams.
  MostGateways, ///< All gateways but one do.
  OnePair,      ///< One gateway loses one upstream.
  Count,        ///< Number of kinds; not a kind.
};

/// One scheduled cut.
struct PathCut {
  Duration m_Start{};                           ///< Since the load's start.
  PathCutKind m_Kind = PathCutKind::OneGateway; ///< Which paths.
  unsigned m_Target = 0; ///< Gateway or upstream, modulo their count.
  Duration m_Duration{}; ///< Until it ends.
};

/// Returns the cuts of \p Seed that begin within \p Length, in order; they are
/// drawn apart from the other faults and overlap. Some seeds have none.
std::vector<PathCut> makePathCutSchedule(std::uint64_t Seed, Duration Length);

/// A time that concerns the whole fleet.
struct FleetSpan {
  Duration m_Start{};    ///< Since the load's start.
  Duration m_Duration{}; ///< Until it ends.
  unsigned m_Target = 0; ///< Gateway, modulo their count.
};

/// Returns the times of \p Seed, which begin within \p Length, whose changes
/// the store loses at their end: it comes back from a copy of their begin. They
/// are drawn apart from the other faults and don't overlap. Some seeds have
/// none.
std::vector<FleetSpan> makeRestoreSchedule(std::uint64_t Seed, Duration Length);

/// Returns the times of \p Seed, which begin within \p Length, in which most
/// new connections go to the target; drawn as makeRestoreSchedule().
std::vector<FleetSpan> makeUnevenSchedule(std::uint64_t Seed, Duration Length);

/// Returns the planned stops of the target of \p Seed, which begin within
/// \p Length and around which StopCallers play; an upstream leaves at the end
/// of each span. They are drawn apart from the other faults. Some seeds of
/// planned work have them.
std::vector<FleetSpan> makeStopSchedule(std::uint64_t Seed, Duration Length);

/// Returns the kind named \p Name, or nothing.
std::optional<FaultKind> faultKindOf(const std::string &Name);

/// Returns whether \p Seed plays only planned work.
bool isPlannedWorkOnly(std::uint64_t Seed);

/// Returns whether a request that crashes the upstreams that run it is sent
/// repeatedly, beside the schedule of \p Seed.
bool hasCrashingRequest(std::uint64_t Seed);

/// Returns whether requests with a segment that crashes upstreams are sent
/// repeatedly, no two alike, beside the schedule of \p Seed.
bool hasCrashingSegment(std::uint64_t Seed);

} // namespace crowstep::soak

#endif // CROWSTEP_TESTS_SOAK_SCHEDULE_H
