/// Encoding of load digests on links.
#include "gateway/digest_codec.h"

#include <algorithm>
#include <limits>

namespace crowstep::gateway {

namespace {

constexpr double Thousand = 1000;

std::uint32_t thousandths(double Value) {
  constexpr double Most = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(Value * Thousand, Most));
}

std::uint32_t milliseconds(Duration Span) {
  return static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(Span).count());
}

} // namespace

void pack(const balance::LoadDigest &What,
          std::unique_ptr<wire::GatewayDigestT> &Into) {
  if (Into == nullptr)
    Into = std::make_unique<wire::GatewayDigestT>();
  Into->loads.clear();
  for (const balance::UpstreamLoad &Each : What.m_Loads)
    Into->loads.emplace_back(
        Each.m_Upstream.value(), Each.m_UnreadTokens, Each.m_HeldTokens,
        static_cast<std::uint16_t>(Each.m_Running), Each.m_Urgency,
        static_cast<std::uint16_t>(Each.m_Tight));
  for (const balance::PartPlaced &Each : What.m_Parts)
    Into->parts.emplace_back(Each.m_Upstream.value(), Each.m_Part.m_Id,
                             Each.m_Part.m_Tokens);
  for (const auto &[Pool, Work] : What.m_Work)
    Into->work.emplace_back(Pool.value(),
                            static_cast<std::uint32_t>(Work.m_Short),
                            static_cast<std::uint32_t>(Work.m_Long));
  for (const balance::CrashNews &Each : What.m_Crashes)
    Into->crashes.emplace_back(Each.m_Request.m_High, Each.m_Request.m_Low,
                               Each.m_Upstream.value_or(UpstreamId()).value(),
                               !Each.m_Upstream);
  for (const balance::LimitNews &Each : What.m_Limits)
    Into->limits.emplace_back(Each.m_Upstream.value(),
                              thousandths(Each.m_Limit.value_or(0)),
                              milliseconds(Each.m_Age), !Each.m_Limit);
}

balance::LoadDigest unpacked(const wire::GatewayDigest &From) {
  balance::LoadDigest Result;
  if (From.loads() != nullptr)
    for (const wire::UpstreamLoad *Each : *From.loads())
      if (Each->urgency() < balance::UrgencyCount)
        Result.m_Loads.push_back({UpstreamId(Each->upstream()), Each->urgency(),
                                  Each->running(), Each->unread_tokens(),
                                  Each->held_tokens(), Each->tight()});
  if (From.parts() != nullptr)
    for (const wire::PartPlaced *Each : *From.parts())
      Result.m_Parts.push_back(
          {UpstreamId(Each->upstream()), {Each->part(), Each->tokens()}});
  if (From.work() != nullptr)
    for (const wire::WorkPlaced *Each : *From.work())
      Result.m_Work[PoolId(Each->pool())] +=
          {static_cast<double>(Each->short_tokens()),
           static_cast<double>(Each->long_tokens())};
  if (From.crashes() != nullptr)
    for (const wire::RequestCrash *Each : *From.crashes())
      Result.m_Crashes.push_back(
          {{Each->request_high(), Each->request_low()},
           Each->clears() ? std::nullopt
                          : std::optional(UpstreamId(Each->upstream()))});
  if (From.limits() != nullptr)
    for (const wire::UpstreamLimit *Each : *From.limits())
      Result.m_Limits.push_back({UpstreamId(Each->upstream()),
                                 Each->ended()
                                     ? std::nullopt
                                     : std::optional(Each->milli() / Thousand),
                                 std::chrono::milliseconds(Each->age_ms())});
  return Result;
}

} // namespace crowstep::gateway
