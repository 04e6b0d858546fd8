/// Recent calls by workspace.
#include "waiting/workspace_loads.h"

#include <cmath>

namespace crowstep::waiting {

namespace {

/// A workspace below this is forgotten.
constexpr double MinKept = 0.1;

constexpr double MaxShareOfMean = 2;

} // namespace

double WorkspaceLoads::at(const Count &Arrivals, TimePoint Now) {
  using Seconds = std::chrono::duration<double>;
  return Arrivals.m_Sum *
         std::exp(-Seconds(Now - Arrivals.m_At) / Seconds(Window));
}

void WorkspaceLoads::recordArrival(PoolId Pool, const std::string &Workspace,
                                   TimePoint Now) {
  Count &Arrivals = m_Counts[Pool][Workspace];
  Arrivals.m_Sum = at(Arrivals, Now) + 1;
  Arrivals.m_At = Now;
}

bool WorkspaceLoads::isHeavy(PoolId Pool, const std::string &Workspace,
                             TimePoint Now) {
  Counts &OfPool = m_Counts[Pool];
  const auto Found = OfPool.find(Workspace);
  if (Found == OfPool.end())
    return false;
  std::erase_if(OfPool, [&](const auto &Entry) {
    return Entry.first != Workspace && at(Entry.second, Now) < MinKept;
  });
  double Others = 0;
  for (const auto &[Name, Arrivals] : OfPool)
    if (Name != Workspace)
      Others += at(Arrivals, Now);
  const double Own = at(Found->second, Now);
  const auto OtherCount = static_cast<double>(OfPool.size() - 1);
  // Less the standard deviation, as a few calls more may have come by chance.
  return OtherCount > 0 &&
         (Own - std::sqrt(Own)) * OtherCount > MaxShareOfMean * Others;
}

} // namespace crowstep::waiting
