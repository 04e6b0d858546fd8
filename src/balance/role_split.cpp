/// Division of a service's engines between latency-sensitive and other calls.
#include "balance/role_split.h"

#include <algorithm>
#include <cmath>

namespace crowstep::balance {

namespace {

/// Weight of latency-sensitive work: its callers notice pauses that others
/// don't, so their engines must be less busy.
constexpr double LatencySensitiveWeight = 1.5;

/// Assumed before any work was placed: a fifth is latency-sensitive.
constexpr WorkTokens InitialWork = {1, 4};

/// A kind of calls with less than this share of the work gets no engines.
constexpr double MinShare = 0.01;

} // namespace

void RoleSplit::add(const WorkTokens &Work, TimePoint Now) {
  const double Decay = decayUntil(Now);
  m_DecayedAt = Now;
  m_RecentWork.m_LatencySensitive =
      m_RecentWork.m_LatencySensitive * Decay + Work.m_LatencySensitive;
  m_RecentWork.m_Other = m_RecentWork.m_Other * Decay + Work.m_Other;
}

double RoleSplit::decayUntil(TimePoint Now) const {
  return std::exp(-std::chrono::duration<double>(Now - m_DecayedAt).count() /
                  std::chrono::duration<double>(DecayTime).count());
}

double RoleSplit::tokensPerSecond(TimePoint Now) const {
  return (m_RecentWork.m_LatencySensitive + m_RecentWork.m_Other) *
         decayUntil(Now) / std::chrono::duration<double>(DecayTime).count();
}

/// Returns the share of the weighted work that is latency-sensitive; exactly 0
/// or 1 if nearly all work is of one kind.
double RoleSplit::latencySensitiveShare() const {
  // Without work the sums decay to zero after some minutes.
  const bool HasWork =
      m_RecentWork.m_LatencySensitive + m_RecentWork.m_Other > 0;
  const WorkTokens &Work = HasWork ? m_RecentWork : InitialWork;
  const double Weighted = LatencySensitiveWeight * Work.m_LatencySensitive;
  const double Share = Weighted / (Weighted + Work.m_Other);
  if (Share < MinShare)
    return 0;
  return Share > 1 - MinShare ? 1 : Share;
}

std::size_t RoleSplit::latencySensitiveEngineCount(std::size_t Engines) const {
  if (Engines < 2)
    return 0;
  return boundedEngineCount(
      static_cast<double>(Engines) * latencySensitiveShare(), Engines);
}

double RoleSplit::exactLatencySensitiveEngineCount(
    const std::vector<SpeedGroup> &Groups) const {
  double SpeedSum = 0;
  std::size_t Engines = 0;
  for (const SpeedGroup &Group : Groups) {
    SpeedSum += static_cast<double>(Group.m_Engines) * Group.m_Speed;
    Engines += Group.m_Engines;
  }
  const double Share = latencySensitiveShare();
  if (Engines < 2 || Share == 0)
    return 0;
  if (Share == 1)
    return static_cast<double>(Engines);
  double Left = SpeedSum * Share;
  double Result = 0;
  for (const SpeedGroup &Group : Groups) {
    const double Taken =
        std::min(static_cast<double>(Group.m_Engines), Left / Group.m_Speed);
    Result += Taken;
    Left -= Taken * Group.m_Speed;
  }
  return Result;
}

std::size_t boundedEngineCount(double Exact, std::size_t Engines) {
  const auto All = static_cast<double>(Engines);
  if (Exact <= 0 || Exact >= All || Engines < 2)
    return Exact <= 0 ? 0 : Engines;
  return std::clamp<std::size_t>(static_cast<std::size_t>(std::lround(Exact)),
                                 1, Engines - 1);
}

} // namespace crowstep::balance
