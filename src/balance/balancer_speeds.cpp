/// Placement by time, for services whose speeds are learned.
#include "balance/balancer.h"

#include "balance/wait_limit.h"

#include <algorithm>
#include <functional>

namespace crowstep::balance {

namespace {

/// A call leaves a saturated engine only while the mean wait of the service's
/// engines is under this share of the call's limit: above it, the prefix would
/// be prefilled again at an engine that other calls need.
constexpr double MaxMeanWaitShare = 0.6;

/// It goes to an engine with a wait under this share of its limit: instances
/// that learn late of one another's calls may choose the same one.
constexpr double MaxOtherWaitShare = 0.5;

} // namespace

const speed::SpeedView &Balancer::speedView() const {
  return m_SpeedView == nullptr ? m_Speeds : *m_SpeedView;
}

bool Balancer::isPlacedByTime(const std::string &Service) const {
  return speedView().isActive(poolIdOf(Service, 0));
}

/// Returns how long work takes at the upstream now, against the usual time of
/// its service.
double Balancer::timeFactorOf(UpstreamId Upstream, TimePoint Now) const {
  return speedView().machineSlowdownOf(Upstream, Now) /
         speedView().speedOf(Upstream, Now);
}

/// Returns none if the service's engines are compared by tokens.
PrefillTime Balancer::prefillTimeOf(const std::string &Service) const {
  if (!isPlacedByTime(Service))
    return std::nullopt;
  return m_PrefillSpeed.perToken(Service);
}

/// Adds the speed as of the last update of roles, and the slowdown of this
/// moment, as that changes many times a second.
void Balancer::addSpeed(EngineOption &Option, TimePoint Now) const {
  const UpstreamState &State = *Option.m_State;
  Option.m_Speed = State.m_Speed;
  Option.m_UsableShare = State.m_UsableShare;
  Option.m_Slowdown = speedView().machineSlowdownOf(State.m_Upstream.m_Id, Now);
}

// ---- Roles ------------------------------------------------------------------

/// Also once more after the service's speeds are no longer learned.
bool Balancer::isRoleUpdateDue(const std::string &Service,
                               TimePoint Now) const {
  const auto Known = m_EngineRoles.find(Service);
  return Known == m_EngineRoles.end() ? isPlacedByTime(Service)
                                      : Known->second.isUpdateDue(Now);
}

/// Reads the speeds of the service's engines and updates their division, at a
/// bounded interval: reading all of them for each call would take most of the
/// time of a placement.
void Balancer::updateRoles(const std::string &Service, TimePoint Now) {
  if (!isRoleUpdateDue(Service, Now))
    return;
  EngineRoles &Roles = m_EngineRoles[Service];
  if (haveSpeedClassesChanged(Service))
    rankEngines();
  if (!isPlacedByTime(Service)) {
    m_EngineRoles.erase(Service);
    return;
  }
  readSpeeds(Service, Now);
  Roles.update(m_RoleSplits[poolIdOf(Service, 0)], speedGroupsOf(Service), Now);
}

void Balancer::readSpeeds(const std::string &Service, TimePoint Now) {
  for (auto &[Id, State] : m_States) {
    if (State.m_Upstream.m_Service != Service)
      continue;
    State.m_Speed = speedView().speedOf(Id, Now);
    State.m_UsableShare = speedView().usableShareOf(Id, Now);
  }
}

int Balancer::rankedSpeedClassOf(const UpstreamState &State) const {
  return isPlacedByTime(State.m_Upstream.m_Service)
             ? speedView().speedClassOf(State.m_Upstream.m_Id)
             : 0;
}

bool Balancer::haveSpeedClassesChanged(const std::string &Service) const {
  for (const auto &[Id, State] : m_States)
    if (State.m_Upstream.m_Service == Service &&
        State.m_SpeedClass != rankedSpeedClassOf(State))
      return true;
  return false;
}

/// Returns the engines by class, the fastest first. With the mean speed of a
/// class, the errors of the speeds that instances know mostly cancel out.
std::vector<SpeedGroup>
Balancer::speedGroupsOf(const std::string &Service) const {
  std::map<int, SpeedGroup, std::greater<>> ByClass;
  for (const auto &[Id, State] : m_States) {
    if (State.m_Upstream.m_Service != Service || State.m_Upstream.m_Draining)
      continue;
    SpeedGroup &Group =
        ByClass.try_emplace(State.m_SpeedClass, SpeedGroup{0, 0}).first->second;
    ++Group.m_Engines;
    Group.m_Speed +=
        (State.m_Speed - Group.m_Speed) / static_cast<double>(Group.m_Engines);
  }
  std::vector<SpeedGroup> Result;
  Result.reserve(ByClass.size());
  for (const auto &[Class, Group] : ByClass)
    Result.push_back(Group);
  return Result;
}

// ---- Saturated engines ------------------------------------------------------

/// Returns another engine if the wait at the best one is too long for the call
/// while the service has room on the whole; none: the call stays with the best.
std::optional<EngineOption>
Balancer::chooseLessLoaded(const PlacementQuery &Query, bool LatencySensitive,
                           const EngineOption &Best,
                           const std::vector<EngineOption> &Options,
                           const States &Candidates, TimePoint Now) {
  const Duration Limit = waitLimitOf(Query);
  if (!isPlacedByTime(Query.m_Service) ||
      predictedWait(Query.m_Service, Best) <= Limit ||
      meanWait(Query, Candidates, Now) >= Limit * MaxMeanWaitShare)
    return std::nullopt;
  std::vector<EngineOption> WithRoom;
  for (const EngineOption &Option : Options)
    if (!Option.m_Full &&
        predictedWait(Query.m_Service, Option) < Limit * MaxOtherWaitShare)
      WithRoom.push_back(Option);
  if (WithRoom.empty())
    return std::nullopt;
  return chooseEngine(Query, LatencySensitive, WithRoom,
                      prefillTimeOf(Query.m_Service), m_Random);
}

/// Replaces \p Options, if all of them are full, by the engines of the other
/// role that have room and are as fast. The roles follow the work that is
/// placed, so they would not grow while latency-sensitive calls wait, and a
/// fast engine that prefills long prompts keeps most pauses.
void Balancer::replaceFullEngines(const PlacementQuery &Query,
                                  const States &Candidates,
                                  std::vector<EngineOption> &Options,
                                  TimePoint Now, PlacementTrace *Trace) const {
  const auto IsFull = [](const EngineOption &Option) { return Option.m_Full; };
  if (Options.empty() || !std::ranges::all_of(Options, IsFull))
    return;
  const auto ClassOf = [](const EngineOption &Option) {
    return Option.m_State->m_SpeedClass;
  };
  const int Slowest = ClassOf(*std::ranges::min_element(Options, {}, ClassOf));
  std::vector<EngineOption> Others;
  for (UpstreamState *State : Candidates)
    if (State->m_SpeedClass >= Slowest &&
        State->m_RoleRank >= latencySensitiveEngineCount(Query.m_Service)) {
      Others.push_back(optionAt(*State, Query, Now));
      addSpeed(Others.back(), Now);
    }
  markFull(Query, Others);
  std::erase_if(Others, IsFull);
  if (Others.empty())
    return;
  if (Trace != nullptr)
    for (const EngineOption &Option : Options)
      Trace->add(*Option.m_State, verdictAt(Query, Option));
  Options = std::move(Others);
}

/// Returns the mean of the waits that the call would have at the candidates.
Duration Balancer::meanWait(const PlacementQuery &Query,
                            const States &Candidates, TimePoint Now) const {
  Duration Sum{};
  for (UpstreamState *State : Candidates) {
    EngineOption Option = optionAt(*State, Query, Now);
    addSpeed(Option, Now);
    Sum += predictedWait(Query.m_Service, Option);
  }
  return Sum / static_cast<Duration::rep>(Candidates.size());
}

/// Returns the mean speed of the service's upstreams; 1 if it has none.
double Balancer::meanSpeedOf(const std::string &Service, TimePoint Now) const {
  double Sum = 0;
  int Count = 0;
  for (const auto &[Id, State] : m_States)
    if (State.m_Upstream.m_Service == Service) {
      Sum += speedView().speedOf(Id, Now);
      ++Count;
    }
  return Count == 0 ? 1 : Sum / Count;
}

} // namespace crowstep::balance
