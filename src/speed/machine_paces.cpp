/// What upstreams state about their machines.
#include "speed/machine_paces.h"

#include "speed/upstream_effect.h"

namespace crowstep::speed {

namespace {

constexpr double UsualPercent = 100;

double logOf(std::uint32_t Percent) { return std::log(Percent / UsualPercent); }

} // namespace

void MachinePaces::record(UpstreamId Upstream, std::uint32_t Percent,
                          TimePoint StatedAt) {
  const auto [Found, IsNew] =
      m_Statements.try_emplace(Upstream, Statement{Percent, StatedAt, 0});
  Statement &Last = Found->second;
  if (IsNew || StatedAt <= Last.m_StatedAt)
    return;
  // The last statement counts for its lifetime, and after it the usual pace.
  const Duration Elapsed = StatedAt - Last.m_StatedAt;
  const Duration Known = std::min(Elapsed, Lifetime);
  const double Stated = logOf(Last.m_Percent);
  const double Mean =
      Stated + (Last.m_MeanLog - Stated) *
                   decayFactor(Known, UpstreamEffect::TimeConstant);
  Last = {Percent, StatedAt,
          Mean * decayFactor(Elapsed - Known, UpstreamEffect::TimeConstant)};
}

double MachinePaces::slowdownOf(UpstreamId Upstream, TimePoint Now) const {
  const auto Found = m_Statements.find(Upstream);
  if (Found == m_Statements.end() || Now - Found->second.m_StatedAt > Lifetime)
    return 1;
  return std::exp(logOf(Found->second.m_Percent) - Found->second.m_MeanLog);
}

void MachinePaces::appendSnapshot(TimePoint Now,
                                  std::vector<SpeedUpdate> &Out) const {
  for (const auto &[Upstream, Last] : m_Statements)
    if (Now - Last.m_StatedAt <= Lifetime)
      Out.emplace_back(
          MachinePaceUpdate{Upstream, Last.m_Percent, Now - Last.m_StatedAt});
}

void MachinePaces::removeIf(const std::function<bool(UpstreamId)> &Predicate) {
  std::erase_if(m_Statements,
                [&](const auto &Entry) { return Predicate(Entry.first); });
}

} // namespace crowstep::speed
