/// Speeds of upstreams.
#include "speed/upstream_speeds.h"

#include "speed/speed_class.h"

#include <cmath>
#include <utility>

namespace crowstep::speed {

namespace {

/// Means and classes are computed anew at most this often: they cover all
/// upstreams.
constexpr Duration RefreshInterval = std::chrono::milliseconds(200);

/// Bounds of the speeds that are returned.
constexpr double MinSpeed = 0.25;
constexpr double MaxSpeed = 4;

/// Bounds of what metrics count as slow and fast.
constexpr double SlowSpeed = 0.5;
constexpr double FastSpeed = 2;

/// Statements between these are not passed on: receivers that know nothing
/// assume the usual pace.
constexpr std::uint32_t UsualPercentMin = 80;
constexpr std::uint32_t UsualPercentMax = 125;

/// Most samples of one update that are used, for one upstream or for each
/// upstream of a service. An engine gives about 20 samples a second in all, and
/// a sum waits for a few seconds at most. So a false number outweighs the true
/// samples of a few seconds only.
constexpr std::uint32_t MaxSamplesOfUpdate = 128;

/// Most upstreams that are not listed, and services without any, about which
/// updates are kept.
constexpr std::size_t MaxUnlisted = 4096;
constexpr std::size_t MaxUnlistedServices = 64;

/// No call takes longer.
constexpr double MaxTimeUs = 1e10;

bool isUsual(std::uint32_t Percent) {
  return Percent >= UsualPercentMin && Percent <= UsualPercentMax;
}

} // namespace

// ---- Directory --------------------------------------------------------------

void UpstreamSpeeds::setUpstreams(const std::vector<Upstream> &List) {
  for (auto &[Id, Entry] : m_Upstreams)
    Entry.m_IsListed = false;
  for (auto &[Pool, Service] : m_Services)
    Service.m_Upstreams.clear();
  for (const Upstream &Listed : List) {
    const UpstreamId Id = shortId(Listed.m_Id);
    UpstreamEntry &Entry = m_Upstreams[Id];
    const IncarnationId Process =
        incarnationOf(Listed.m_Id, Listed.m_StartTime);
    const PoolId Pool = shortId(poolIdOf(Listed.m_Service, 0));
    // Updates that arrived before the upstream was listed are kept.
    if (Entry.m_Pool != PoolId() &&
        (Entry.m_Incarnation != Process || Entry.m_Pool != Pool))
      Entry = UpstreamEntry();
    Entry.m_Pool = Pool;
    Entry.m_Incarnation = Process;
    Entry.m_IsListed = true;
    m_Services[Pool].m_Upstreams.push_back(Id);
  }
  m_ListedCount = List.size();
  std::erase_if(m_Upstreams, [](const auto &Entry) {
    return !Entry.second.m_IsListed && Entry.second.m_Pool != PoolId();
  });
  std::erase_if(m_Stated, [&](PoolId Pool) {
    const auto Found = m_Services.find(Pool);
    return Found == m_Services.end() || Found->second.m_Upstreams.empty();
  });
  m_Paces.removeIf([&](UpstreamId Id) { return !m_Upstreams.contains(Id); });
  std::erase_if(m_UnusualPaces, [&](const auto &Entry) {
    return !m_Upstreams.contains(Entry.first);
  });
}

bool UpstreamSpeeds::isActive(PoolId Service) const {
  switch (m_Mode) {
  case LearnSpeed::Stated:
    return m_Stated.contains(shortId(Service));
  case LearnSpeed::Always:
    return true;
  case LearnSpeed::Never:
    break;
  }
  return false;
}

// ---- Learning ---------------------------------------------------------------

void UpstreamSpeeds::recordMachinePace(UpstreamId Upstream, PoolId Service,
                                       std::uint32_t Percent, TimePoint Now) {
  if (m_Mode == LearnSpeed::Never || !MachinePaces::isValid(Percent))
    return;
  const UpstreamId Id = shortId(Upstream);
  const bool IsFirst = m_Stated.insert(shortId(Service)).second;
  m_Paces.record(Id, Percent, Now);
  // A machine that is at its usual pace again is worth an update only while
  // others still use an earlier statement.
  const auto Unusual = m_UnusualPaces.find(Id);
  const bool EndsUnusual = Unusual != m_UnusualPaces.end() &&
                           Now - Unusual->second <= MachinePaces::Lifetime;
  if (!isUsual(Percent))
    m_UnusualPaces[Id] = Now;
  else if (EndsUnusual)
    m_UnusualPaces.erase(Unusual);
  if (IsFirst || EndsUnusual || !isUsual(Percent))
    m_Unsent.add(MachinePaceUpdate{Id, Percent, Duration::zero()}, Now);
}

void UpstreamSpeeds::addSample(const SpeedSample &Sample, TimePoint Now) {
  const UpstreamId Id = shortId(Sample.m_Upstream);
  const PoolId Pool = shortId(Sample.m_Pool);
  const auto Found = m_Upstreams.find(Id);
  if (!isActive(Pool) || Found == m_Upstreams.end() ||
      Found->second.m_Pool != Pool || Sample.m_UnitTime <= Duration::zero())
    return;
  refresh(Now);
  ++m_Counts.m_Samples;
  const std::uint8_t State = stateOf(Sample);
  const double Log = std::log(static_cast<double>(Sample.m_UnitTime.count()));
  ServiceEntry &Service = m_Services[Pool];
  UpstreamEffect &Effect = Found->second.m_Effect;
  const std::optional<double> Expected =
      Service.m_Baseline.expectedLog(State, Now);
  // The effect of the upstream is read before the sample is added to it.
  const double OwnEffect = Effect.meanLog(Now) + Service.m_LogMean;
  m_Unsent.add(ServiceSpeedUpdate{Pool, State, 1,
                                  Service.m_Baseline.add(State, 1,
                                                         Log - OwnEffect, Now)},
               Now);
  if (!Expected)
    return;
  const double Bound = std::log(OutlierFactor);
  const double Difference = Log - *Expected;
  if (std::abs(Difference) > Bound)
    ++m_Counts.m_Outliers;
  const double Bounded = std::clamp(Difference, -Bound, Bound);
  Effect.add(isCrowded(Sample), 1, Bounded, Now);
  m_Unsent.add(UpstreamSpeedUpdate{Id, isCrowded(Sample), 1, Bounded}, Now);
}

void UpstreamSpeeds::refresh(TimePoint Now) {
  if (Now - m_RefreshedAt < RefreshInterval)
    return;
  m_RefreshedAt = Now;
  std::erase_if(m_Upstreams, [&](const auto &Entry) {
    return !Entry.second.m_IsListed &&
           Now - Entry.second.m_Effect.lastSampleAt() > UnlistedLifetime;
  });
  std::erase_if(m_Services, [&](const auto &Entry) {
    return Entry.second.m_Upstreams.empty() &&
           Now - Entry.second.m_Baseline.lastSampleAt() > UnlistedLifetime;
  });
  for (auto &[Pool, Service] : m_Services)
    if (isActive(Pool))
      refreshService(Service, Now);
}

void UpstreamSpeeds::refreshService(ServiceEntry &Service, TimePoint Now) {
  if (Service.m_Upstreams.empty())
    return;
  double Sum = 0;
  for (const UpstreamId Id : Service.m_Upstreams)
    Sum += std::exp(-m_Upstreams.at(Id).m_Effect.shrunkLog(Now));
  Service.m_LogMean =
      std::log(Sum / static_cast<double>(Service.m_Upstreams.size()));
  for (const UpstreamId Id : Service.m_Upstreams) {
    UpstreamEntry &Entry = m_Upstreams.at(Id);
    const double Speed = speedOf(Entry, Now);
    const int Next = nextSpeedClass(Entry.m_Class, Speed);
    if (Next != Entry.m_Class)
      m_ClassChanges.push_back(
          {Id, std::exchange(Entry.m_Class, Next), Next, Speed});
  }
}

std::vector<SpeedClassChange> UpstreamSpeeds::takeClassChanges() {
  return std::exchange(m_ClassChanges, {});
}

// ---- Other instances --------------------------------------------------------

std::vector<SpeedUpdate> UpstreamSpeeds::takeUpdates(TimePoint Now) {
  refresh(Now);
  return m_Unsent.take(Now);
}

std::vector<SpeedUpdate> UpstreamSpeeds::snapshot(TimePoint Now) const {
  std::vector<SpeedUpdate> Result;
  for (const auto &[Pool, Service] : m_Services) {
    if (!isActive(Pool))
      continue;
    for (std::size_t State = 0; State < StateCount; ++State)
      if (const ServiceSpeedUpdate Sum = Service.m_Baseline.snapshot(
              Pool, static_cast<std::uint8_t>(State), Now);
          Sum.m_Samples > 0)
        Result.emplace_back(Sum);
    for (const UpstreamId Id : Service.m_Upstreams)
      for (const bool IsCrowded : {false, true})
        if (const UpstreamSpeedUpdate Sum =
                m_Upstreams.at(Id).m_Effect.snapshot(Id, IsCrowded, Now);
            Sum.m_Samples > 0)
          Result.emplace_back(Sum);
  }
  m_Paces.appendSnapshot(Now, Result);
  return Result;
}

void UpstreamSpeeds::applyUpdates(const std::vector<SpeedUpdate> &Updates,
                                  TimePoint Now) {
  if (m_Mode == LearnSpeed::Never || Updates.empty())
    return;
  refresh(Now);
  m_Counts.m_Updates += Updates.size();
  for (const SpeedUpdate &Update : Updates)
    std::visit([&](const auto &Kind) { applyUpdate(Kind, Now); }, Update);
}

void UpstreamSpeeds::applyUpdate(const UpstreamSpeedUpdate &Update,
                                 TimePoint Now) {
  if (Update.m_Samples == 0 || !std::isfinite(Update.m_LogSum) ||
      (!m_Upstreams.contains(shortId(Update.m_Upstream)) &&
       m_Upstreams.size() >= m_ListedCount + MaxUnlisted))
    return;
  const double Samples = std::min(Update.m_Samples, MaxSamplesOfUpdate);
  m_Upstreams[shortId(Update.m_Upstream)].m_Effect.add(
      Update.m_IsCrowded, Samples, Update.m_LogSum / Update.m_Samples * Samples,
      Now);
}

void UpstreamSpeeds::applyUpdate(const ServiceSpeedUpdate &Update,
                                 TimePoint Now) {
  if (Update.m_Samples == 0 || Update.m_State >= StateCount ||
      !std::isfinite(Update.m_LogSum) ||
      (!m_Services.contains(shortId(Update.m_Pool)) &&
       m_Services.size() >= MaxUnlistedServices))
    return;
  ServiceEntry &Service = m_Services[shortId(Update.m_Pool)];
  const double Samples = std::min(
      static_cast<double>(Update.m_Samples),
      MaxSamplesOfUpdate *
          std::max(1.0, static_cast<double>(Service.m_Upstreams.size())));
  const double Mean =
      std::clamp(Update.m_LogSum / Update.m_Samples, 0.0, std::log(MaxTimeUs));
  Service.m_Baseline.add(Update.m_State, Samples, Mean * Samples, Now);
}

void UpstreamSpeeds::applyUpdate(const MachinePaceUpdate &Update,
                                 TimePoint Now) {
  const auto Found = m_Upstreams.find(shortId(Update.m_Upstream));
  if (!MachinePaces::isValid(Update.m_Percent) ||
      Update.m_Age < Duration::zero() ||
      Update.m_Age > MachinePaces::Lifetime || Found == m_Upstreams.end() ||
      !Found->second.m_IsListed)
    return;
  m_Stated.insert(Found->second.m_Pool);
  m_Paces.record(Found->first, Update.m_Percent, Now - Update.m_Age);
}

// ---- Answers ----------------------------------------------------------------

const UpstreamSpeeds::UpstreamEntry *
UpstreamSpeeds::findActive(UpstreamId Upstream) const {
  const auto Found = m_Upstreams.find(shortId(Upstream));
  return Found != m_Upstreams.end() && Found->second.m_IsListed &&
                 isActive(Found->second.m_Pool)
             ? &Found->second
             : nullptr;
}

double UpstreamSpeeds::logMeanOf(PoolId Service) const {
  const auto Found = m_Services.find(Service);
  return Found == m_Services.end() ? 0 : Found->second.m_LogMean;
}

double UpstreamSpeeds::speedOf(const UpstreamEntry &Entry,
                               TimePoint Now) const {
  return std::clamp(
      std::exp(-Entry.m_Effect.shrunkLog(Now) - logMeanOf(Entry.m_Pool)),
      MinSpeed, MaxSpeed);
}

double UpstreamSpeeds::speedOf(UpstreamId Upstream, TimePoint Now) const {
  const UpstreamEntry *Entry = findActive(Upstream);
  return Entry == nullptr ? 1 : speedOf(*Entry, Now);
}

int UpstreamSpeeds::speedClassOf(UpstreamId Upstream) const {
  const UpstreamEntry *Entry = findActive(Upstream);
  return Entry == nullptr ? 0 : Entry->m_Class;
}

double UpstreamSpeeds::usableShareOf(UpstreamId Upstream, TimePoint Now) const {
  const UpstreamEntry *Entry = findActive(Upstream);
  return Entry == nullptr ? 1 : Entry->m_Effect.usableShare(Now);
}

double UpstreamSpeeds::machineSlowdownOf(UpstreamId Upstream,
                                         TimePoint Now) const {
  return findActive(Upstream) == nullptr
             ? 1
             : m_Paces.slowdownOf(shortId(Upstream), Now);
}

SpeedCounts UpstreamSpeeds::counts(TimePoint Now) const {
  SpeedCounts Result = m_Counts;
  for (const auto &[Pool, Service] : m_Services)
    if (!Service.m_Upstreams.empty() && isActive(Pool))
      ++Result.m_Services;
  for (const auto &[Id, Entry] : m_Upstreams) {
    const double Speed = speedOf(Id, Now);
    Result.m_Slow += Speed < SlowSpeed ? 1 : 0;
    Result.m_Fast += Speed > FastSpeed ? 1 : 0;
  }
  return Result;
}

} // namespace crowstep::speed
