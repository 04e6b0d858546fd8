/// Ejection of stragglers and their restoration.
#include "decision/straggler_func.h"

#include "decision/floor_func.h"

#include <boost/container/small_vector.hpp>

#include <algorithm>
#include <cmath>

namespace crowstep::decision {

namespace {

bool hasSpeed(const UpstreamState &State) {
  return State.isUsable() && !State.m_Ejected &&
         State.m_Slowness.count() >= tuning::MinStragglerSamples;
}

/// Returns the median slowness of the other upstreams that can be judged; 0 if
/// they are too few.
double medianOfPeers(const Fleet &F, const UpstreamState &Excluded) {
  boost::container::small_vector<double, 32> Peers;
  std::size_t Usable = 0;
  for (const auto &[Id, State] : F.upstreams()) {
    Usable += State.isUsable() ? 1 : 0;
    if (&State != &Excluded && hasSpeed(State))
      Peers.push_back(State.m_Slowness.value());
  }
  if (Peers.empty() || 2 * (Peers.size() + 1) < Usable)
    return 0.0;
  const auto Middle =
      Peers.begin() + static_cast<std::ptrdiff_t>(Peers.size() / 2);
  std::nth_element(Peers.begin(), Middle, Peers.end());
  return *Middle;
}

struct Counts {
  std::size_t m_Usable = 0;  ///< Usable, including ejected ones.
  std::size_t m_Ejected = 0; ///< Ejected ones among them.
};

Counts count(const Fleet &F) {
  Counts Result;
  for (const auto &[Id, State] : F.upstreams()) {
    if (!State.isUsable())
      continue;
    ++Result.m_Usable;
    Result.m_Ejected += State.m_Ejected ? 1 : 0;
  }
  return Result;
}

/// Returns how many of the usable upstreams may be ejected at once; never all.
std::size_t maxEjected(const Pool &P, std::size_t Usable) {
  const auto Share = P.m_Config.m_MaxEjectedShare * static_cast<double>(Usable);
  const auto Limit = static_cast<std::size_t>(std::floor(Share));
  return Usable == 0 ? 0 : std::min(Limit, Usable - 1);
}

void setEjected(Pool &P, UpstreamState &State, bool IsEjected) {
  State.m_Ejected = IsEjected;
  State.m_ConsecutiveGoodProbes = 0;
  State.m_Probe.reset();
  State.m_Slowness.reset();
  State.m_ProbeInterval = tuning::InitialProbeInterval;
  State.m_NextProbe = P.m_Now + State.m_ProbeInterval;
  State.m_LastProbe = P.m_Now;
  P.m_Actions->push_back(EjectionChanged{State.m_Upstream.m_Id, IsEjected});
  updateFloors(P);
}

void checkStraggler(Pool &P, UpstreamState &State) {
  if (!hasSpeed(State))
    return;
  const double Median = medianOfPeers(P.m_Fleet, State);
  P.m_MedianSlowness = Median;
  if (Median <= 0.0 ||
      State.m_Slowness.value() < tuning::StragglerFactor * Median)
    return;
  const Counts Current = count(P.m_Fleet);
  if (Current.m_Ejected < maxEjected(P, Current.m_Usable))
    setEjected(P, State, true);
}

void checkProbe(Pool &P, UpstreamState &State, double Slowness) {
  const double Median = medianOfPeers(P.m_Fleet, State);
  const double Allowed =
      tuning::RecoveredFactor * (Median > 0.0 ? Median : 1.0);
  if (Slowness <= Allowed) {
    if (++State.m_ConsecutiveGoodProbes >= tuning::GoodProbesToRestore)
      setEjected(P, State, false);
    else
      State.m_NextProbe = P.m_Now;
    return;
  }
  State.m_ConsecutiveGoodProbes = 0;
  State.m_ProbeInterval =
      std::min(2 * State.m_ProbeInterval, tuning::MaxProbeInterval);
  State.m_NextProbe = P.m_Now + State.m_ProbeInterval;
}

} // namespace

void recordSpeed(Pool &P, UpstreamState &State, const SpeedSample &Sample,
                 bool IsProbe) {
  if (Sample.m_ClassMean <= 0.0 || P.isBaseline())
    return;
  const bool IsNear =
      Sample.m_Seconds < Sample.m_ClassMean + Sample.m_MinExcess;
  const double Ratio = Sample.m_Seconds / Sample.m_ClassMean;
  const double Slowness = IsNear ? std::min(Ratio, 1.0) : Ratio;
  if (!State.m_Ejected) {
    State.m_Slowness.add(Slowness);
    checkStraggler(P, State);
  } else if (IsProbe) {
    // Only probes count: work granted before the ejection does not reflect the
    // present speed.
    checkProbe(P, State, Slowness);
  }
}

void endProbe(Pool &P, UpstreamState &State) {
  State.m_Probe.reset();
  State.m_NextProbe = std::max(State.m_NextProbe, P.m_Now);
}

bool isProbe(const Request &Work) {
  return Work.m_UpstreamState->m_Probe == Work.m_Bid.m_Request;
}

void reviewEjections(Pool &P) {
  Counts Current = count(P.m_Fleet);
  for (auto &[Id, State] : P.m_Fleet.upstreams()) {
    if (Current.m_Ejected <= maxEjected(P, Current.m_Usable))
      return;
    if (!State.m_Ejected || !State.isUsable())
      continue;
    setEjected(P, State, false);
    --Current.m_Ejected;
  }
}

double relativeSlowness(const Pool &P, const UpstreamState &State) {
  if (!hasSpeed(State) || P.m_MedianSlowness <= 0.0)
    return 1.0;
  return State.m_Slowness.value() / P.m_MedianSlowness;
}

bool mayProbe(const UpstreamState &State, const ClassState &Class,
              TimePoint Now) {
  const bool IsOpenToAll = Now >= State.m_LastProbe + tuning::ProbeByAnyAfter;
  return State.m_Ejected && State.isUsable() && !State.m_Probe &&
         Now >= State.m_NextProbe && Now >= State.m_BackoffUntil &&
         (Class.m_MayProbe || IsOpenToAll);
}

} // namespace crowstep::decision
