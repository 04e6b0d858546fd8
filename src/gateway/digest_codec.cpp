/// Encoding of load digests on links.
#include "gateway/digest_codec.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace crowstep::gateway {

namespace {

constexpr double MilliPerUnit = 1000;

std::uint32_t toMilli(double Value) {
  constexpr double Max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(Value * MilliPerUnit, Max));
}

std::uint32_t milliseconds(Duration Span) {
  return static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(Span).count());
}

/// Instances of versions that know requests only ignore crashes of segments.
void packCrash(const quarantine::CrashUpdate &Crash,
               wire::GatewayDigestT &Into) {
  const ContentHash &Suspect = Crash.m_Suspect;
  const std::uint64_t Process = Crash.m_Crash.value_or(IncarnationId()).value();
  if (Crash.m_Segment)
    Into.segment_crashes.emplace_back(
        Suspect.m_High, Suspect.m_Low, Process, Crash.m_Segment->m_Request,
        Crash.m_Segment->m_Position, !Crash.m_Crash);
  else
    Into.crashes.emplace_back(Suspect.m_High, Suspect.m_Low, Process,
                              !Crash.m_Crash);
}

void unpackCrashes(const wire::GatewayDigest &From,
                   std::vector<quarantine::CrashUpdate> &Into) {
  const auto Process = [](const auto &Crash, std::uint64_t Id) {
    return Crash.clears() ? std::nullopt : std::optional(IncarnationId(Id));
  };
  if (From.crashes() != nullptr)
    for (const wire::RequestCrash *Crash : *From.crashes())
      Into.push_back({{Crash->request_high(), Crash->request_low()},
                      Process(*Crash, Crash->upstream()),
                      std::nullopt});
  if (From.segment_crashes() != nullptr)
    for (const wire::SegmentCrash *Crash : *From.segment_crashes())
      Into.push_back(
          {{Crash->segment_high(), Crash->segment_low()},
           Process(*Crash, Crash->process()),
           quarantine::SegmentEvidence{Crash->request(), Crash->position()}});
}

/// Returns \p Value as far as \p Integer can hold it; 0 if it is no number.
template <typename Integer> Integer bounded(double Value) {
  using Limits = std::numeric_limits<Integer>;
  return std::isfinite(Value) ? static_cast<Integer>(std::clamp<double>(
                                    Value, Limits::min(), Limits::max()))
                              : Integer(0);
}

/// Returns the mean of some samples in thousandths.
template <typename Integer, typename Update>
Integer meanMilli(const Update &From) {
  return bounded<Integer>(
      std::round(From.m_LogSum / From.m_Samples * MilliPerUnit));
}

template <typename Id> std::uint32_t lowerHalf(Id Whole) {
  return static_cast<std::uint32_t>(Whole.value());
}

void packSpeed(const speed::SpeedUpdate &Update, wire::GatewayDigestT &Into) {
  if (const auto *Upstream = std::get_if<speed::UpstreamSpeedUpdate>(&Update))
    Into.speeds.emplace_back(
        lowerHalf(Upstream->m_Upstream), meanMilli<std::int16_t>(*Upstream),
        bounded<std::uint8_t>(Upstream->m_Samples), Upstream->m_IsCrowded);
  else if (const auto *Service =
               std::get_if<speed::ServiceSpeedUpdate>(&Update))
    Into.service_speeds.emplace_back(
        lowerHalf(Service->m_Pool), meanMilli<std::uint16_t>(*Service),
        bounded<std::uint8_t>(Service->m_Samples), Service->m_State);
  else if (const auto *Pace = std::get_if<speed::MachinePaceUpdate>(&Update))
    Into.machine_paces.emplace_back(
        lowerHalf(Pace->m_Upstream), bounded<std::uint16_t>(Pace->m_Percent),
        bounded<std::uint16_t>(milliseconds(Pace->m_Age)));
}

void unpackSpeeds(const wire::GatewayDigest &From,
                  std::vector<speed::SpeedUpdate> &Into) {
  if (From.speeds() != nullptr)
    for (const wire::UpstreamSpeed *Speed : *From.speeds())
      Into.emplace_back(speed::UpstreamSpeedUpdate{
          UpstreamId(Speed->upstream()), Speed->crowded(), Speed->samples(),
          Speed->samples() * Speed->mean_milli() / MilliPerUnit});
  if (From.service_speeds() != nullptr)
    for (const wire::ServiceSpeed *Speed : *From.service_speeds())
      Into.emplace_back(speed::ServiceSpeedUpdate{
          PoolId(Speed->pool()), Speed->state(), Speed->samples(),
          Speed->samples() * Speed->mean_milli() / MilliPerUnit});
  if (From.machine_paces() != nullptr)
    for (const wire::MachinePace *Pace : *From.machine_paces())
      Into.emplace_back(speed::MachinePaceUpdate{
          UpstreamId(Pace->upstream()), Pace->percent(),
          std::chrono::milliseconds(Pace->age_ms())});
}

/// Calls of a group are sent with its number times UrgencyCount added to their
/// urgency.
std::uint8_t packStanding(const waiting::CallStanding &Standing) {
  return static_cast<std::uint8_t>(static_cast<std::size_t>(Standing.m_Group) *
                                       balance::UrgencyCount +
                                   Standing.m_Urgency);
}

waiting::CallStanding unpackStanding(std::uint8_t Packed) {
  return {static_cast<waiting::CallGroup>(Packed / balance::UrgencyCount),
          static_cast<std::uint8_t>(Packed % balance::UrgencyCount)};
}

std::uint16_t toCount(std::uint32_t Value) {
  return static_cast<std::uint16_t>(std::min<std::uint32_t>(
      Value, std::numeric_limits<std::uint16_t>::max()));
}

void packWaiting(const std::vector<waiting::WaitingCalls> &Calls,
                 std::vector<wire::WaitingCalls> &Into) {
  Into.clear();
  for (const waiting::WaitingCalls &Entry : Calls)
    Into.emplace_back(Entry.m_Pool.value(), toCount(Entry.m_Waiting),
                      toCount(Entry.m_Placed), packStanding(Entry.m_Standing));
}

void unpackWaiting(const wire::GatewayDigest &From,
                   std::vector<waiting::WaitingCalls> &Into) {
  if (From.waiting() == nullptr)
    return;
  for (const wire::WaitingCalls *Calls : *From.waiting())
    if (Calls->urgency() < waiting::GroupCount * balance::UrgencyCount)
      Into.push_back({PoolId(Calls->pool()), unpackStanding(Calls->urgency()),
                      Calls->waiting(), Calls->placed()});
}

} // namespace

void packDigest(const balance::LoadDigest &Digest,
                std::unique_ptr<wire::GatewayDigestT> &Into) {
  if (Into == nullptr)
    Into = std::make_unique<wire::GatewayDigestT>();
  Into->loads.clear();
  for (const balance::UpstreamLoad &Load : Digest.m_Loads)
    Into->loads.emplace_back(
        Load.m_Upstream.value(), Load.m_PrefillTokens, Load.m_HeldTokens,
        static_cast<std::uint16_t>(Load.m_Running), Load.m_Urgency,
        static_cast<std::uint16_t>(Load.m_LatencySensitive));
  for (const balance::SegmentPlacement &Placement : Digest.m_Segments)
    Into->parts.emplace_back(Placement.m_Upstream.value(),
                             Placement.m_Segment.m_Id,
                             Placement.m_Segment.m_Tokens);
  for (const auto &[Pool, Work] : Digest.m_Work)
    Into->work.emplace_back(Pool.value(),
                            static_cast<std::uint32_t>(Work.m_LatencySensitive),
                            static_cast<std::uint32_t>(Work.m_Other));
  for (const quarantine::CrashUpdate &Crash : Digest.m_Crashes)
    packCrash(Crash, *Into);
  for (const balance::LimitUpdate &Limit : Digest.m_Limits)
    Into->limits.emplace_back(Limit.m_Upstream.value(),
                              toMilli(Limit.m_Limit.value_or(0)),
                              milliseconds(Limit.m_Age), !Limit.m_Limit);
  for (const balance::BrittleUpdate &Brittle : Digest.m_Brittle)
    Into->brittle.emplace_back(Brittle.m_Pool.value(),
                               toMilli(Brittle.m_Limit.value_or(0)),
                               milliseconds(Brittle.m_Age), !Brittle.m_Limit);
  for (const speed::SpeedUpdate &Update : Digest.m_Speeds)
    packSpeed(Update, *Into);
  Into->leaving.clear();
  for (const UpstreamId Leaving : Digest.m_Leaving)
    Into->leaving.push_back(Leaving.value());
  packWaiting(Digest.m_Waiting, Into->waiting);
}

balance::LoadDigest unpack(const wire::GatewayDigest &From) {
  balance::LoadDigest Result;
  if (From.loads() != nullptr)
    for (const wire::UpstreamLoad *Load : *From.loads())
      if (Load->urgency() < balance::UrgencyCount && Load->running() > 0)
        Result.m_Loads.push_back({UpstreamId(Load->upstream()), Load->urgency(),
                                  Load->running(), Load->unread_tokens(),
                                  Load->held_tokens(), Load->tight()});
  if (From.parts() != nullptr)
    for (const wire::PartPlaced *Placement : *From.parts())
      Result.m_Segments.push_back({UpstreamId(Placement->upstream()),
                                   {Placement->part(), Placement->tokens()}});
  if (From.work() != nullptr)
    for (const wire::WorkPlaced *Work : *From.work())
      Result.m_Work[PoolId(Work->pool())] +=
          {static_cast<double>(Work->short_tokens()),
           static_cast<double>(Work->long_tokens())};
  unpackCrashes(From, Result.m_Crashes);
  if (From.limits() != nullptr)
    for (const wire::UpstreamLimit *Limit : *From.limits())
      Result.m_Limits.push_back(
          {UpstreamId(Limit->upstream()),
           Limit->ended() ? std::nullopt
                          : std::optional(Limit->milli() / MilliPerUnit),
           std::chrono::milliseconds(Limit->age_ms())});
  if (From.brittle() != nullptr)
    for (const wire::BrittleService *Brittle : *From.brittle())
      Result.m_Brittle.push_back(
          {PoolId(Brittle->pool()),
           Brittle->ended() ? std::nullopt
                            : std::optional(Brittle->milli() / MilliPerUnit),
           std::chrono::milliseconds(Brittle->age_ms())});
  if (From.leaving() != nullptr)
    for (const std::uint64_t Leaving : *From.leaving())
      Result.m_Leaving.push_back(UpstreamId(Leaving));
  unpackSpeeds(From, Result.m_Speeds);
  unpackWaiting(From, Result.m_Waiting);
  return Result;
}

} // namespace crowstep::gateway
