/// Ejection of stragglers and their way back.
#include "decision/straggler_func.h"

#include "decision/floor_func.h"

#include <boost/container/small_vector.hpp>

#include <algorithm>
#include <cmath>

namespace crowstep::decision {

namespace {

bool isJudged(const Serving &One) {
  return One.isUsable() && !One.m_Ejected &&
         One.m_Slowness.count() >= tuning::StragglerSamples;
}

/// Median slowness of the other judged upstreams; 0 when they are too few.
double medianOfPeers(const Fleet &Of, const Serving &But) {
  boost::container::small_vector<double, 32> Peers;
  std::size_t Usable = 0;
  for (const auto &[Id, One] : Of.all()) {
    Usable += One.isUsable() ? 1 : 0;
    if (&One != &But && isJudged(One))
      Peers.push_back(One.m_Slowness.value());
  }
  if (Peers.empty() || 2 * (Peers.size() + 1) < Usable)
    return 0.0;
  const auto Middle =
      Peers.begin() + static_cast<std::ptrdiff_t>(Peers.size() / 2);
  std::nth_element(Peers.begin(), Middle, Peers.end());
  return *Middle;
}

struct Counts {
  std::size_t m_Usable = 0;  ///< May get work, but for ejection.
  std::size_t m_Ejected = 0; ///< Of those.
};

Counts count(const Fleet &Of) {
  Counts Found;
  for (const auto &[Id, One] : Of.all()) {
    if (!One.isUsable())
      continue;
    ++Found.m_Usable;
    Found.m_Ejected += One.m_Ejected ? 1 : 0;
  }
  return Found;
}

/// How many of the usable upstreams may be ejected at once; never all.
std::size_t ceilingOf(const Pool &In, std::size_t Usable) {
  const auto Share =
      In.m_Config.m_MaxEjectedShare * static_cast<double>(Usable);
  const auto Most = static_cast<std::size_t>(std::floor(Share));
  return Usable == 0 ? 0 : std::min(Most, Usable - 1);
}

void setEjected(Pool &In, Serving &Where, bool IsEjected) {
  Where.m_Ejected = IsEjected;
  Where.m_GoodProbes = 0;
  Where.m_ProbeRunning = false;
  Where.m_Slowness.reset();
  Where.m_ProbePause = tuning::FirstProbePause;
  Where.m_NextProbe = In.m_Now + Where.m_ProbePause;
  Where.m_LastProbe = In.m_Now;
  In.m_Actions->push_back(EjectionChanged{Where.m_Upstream.m_Id, IsEjected});
  updateFloors(In);
}

void judge(Pool &In, Serving &Where) {
  if (!isJudged(Where))
    return;
  const double Median = medianOfPeers(In.m_Fleet, Where);
  In.m_MedianSlowness = Median;
  if (Median <= 0.0 ||
      Where.m_Slowness.value() < tuning::StragglerFactor * Median)
    return;
  const Counts Now = count(In.m_Fleet);
  if (Now.m_Ejected < ceilingOf(In, Now.m_Usable))
    setEjected(In, Where, true);
}

void judgeProbe(Pool &In, Serving &Where, double Slowness) {
  const double Median = medianOfPeers(In.m_Fleet, Where);
  const double Allowed =
      tuning::RecoveredFactor * (Median > 0.0 ? Median : 1.0);
  if (Slowness <= Allowed) {
    if (++Where.m_GoodProbes >= tuning::GoodProbes)
      setEjected(In, Where, false);
    else
      Where.m_NextProbe = In.m_Now;
    return;
  }
  Where.m_GoodProbes = 0;
  Where.m_ProbePause = std::min(2 * Where.m_ProbePause, tuning::MaxProbePause);
  Where.m_NextProbe = In.m_Now + Where.m_ProbePause;
}

} // namespace

void addSpeed(Pool &In, Serving &Where, const SpeedSample &Sample,
              bool IsProbe) {
  if (Sample.m_Mean <= 0.0 || In.isBaseline())
    return;
  const bool IsNear = Sample.m_Seconds < Sample.m_Mean + Sample.m_MinExcess;
  const double Ratio = Sample.m_Seconds / Sample.m_Mean;
  const double Slowness = IsNear ? std::min(Ratio, 1.0) : Ratio;
  if (!Where.m_Ejected) {
    Where.m_Slowness.add(Slowness);
    judge(In, Where);
  } else if (IsProbe) {
    // Work that was granted before the ejection says nothing of the present.
    judgeProbe(In, Where, Slowness);
  }
}

void endProbe(Pool &In, Serving &Where) {
  Where.m_ProbeRunning = false;
  Where.m_NextProbe = std::max(Where.m_NextProbe, In.m_Now);
}

void reviewEjections(Pool &In) {
  Counts Now = count(In.m_Fleet);
  for (auto &[Id, One] : In.m_Fleet.all()) {
    if (Now.m_Ejected <= ceilingOf(In, Now.m_Usable))
      return;
    if (!One.m_Ejected || !One.isUsable())
      continue;
    setEjected(In, One, false);
    --Now.m_Ejected;
  }
}

double relativeSlowness(const Pool &In, const Serving &Where) {
  if (!isJudged(Where) || In.m_MedianSlowness <= 0.0)
    return 1.0;
  return Where.m_Slowness.value() / In.m_MedianSlowness;
}

bool mayProbe(const Serving &Where, const ClassState &Class, TimePoint Now) {
  const bool IsAnyones = Now >= Where.m_LastProbe + tuning::ProbeByAnyAfter;
  return Where.m_Ejected && Where.isUsable() && !Where.m_ProbeRunning &&
         Now >= Where.m_NextProbe && Now >= Where.m_BackoffUntil &&
         (Class.m_MayProbe || IsAnyones);
}

} // namespace crowstep::decision
