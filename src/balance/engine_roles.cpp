/// Boundary between the roles of engines of different speeds.
#include "balance/engine_roles.h"

#include <algorithm>
#include <cmath>

namespace crowstep::balance {

namespace {

/// The boundary stays while it is off by less than this number of engines, or
/// by less than this share of the engines before it: the work of the last
/// seconds varies by about as much.
constexpr double MinHysteresis = 0.75;
constexpr double HysteresisShare = 0.05;

/// Returns whether the boundary \p Count may stay although \p Exact is right.
/// With none or all of the engines one kind of calls would have none.
bool isNearlyRight(std::size_t Count, double Exact, std::size_t Engines) {
  const auto Current = static_cast<double>(Count);
  return Count > 0 && Count < Engines &&
         std::abs(Exact - Current) <
             std::max(MinHysteresis, HysteresisShare * Current);
}

} // namespace

void EngineRoles::update(const RoleSplit &Split,
                         const std::vector<SpeedGroup> &Groups, TimePoint Now) {
  m_UpdatedAt = Now;
  std::size_t Engines = 0;
  for (const SpeedGroup &Group : Groups)
    Engines += Group.m_Engines;
  const double Exact = Split.exactLatencySensitiveEngineCount(Groups);
  const std::size_t Rounded = boundedEngineCount(Exact, Engines);
  const bool IsOneKind = Rounded == 0 || Rounded == Engines;
  if (IsOneKind || !m_Count || !isNearlyRight(*m_Count, Exact, Engines))
    m_Count = Rounded;
}

} // namespace crowstep::balance
