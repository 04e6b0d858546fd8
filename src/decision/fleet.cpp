/// Upstream list, load reports, cache events and failures.
#include "decision/fleet.h"

#include <algorithm>
#include <utility>

namespace crowstep::decision {

namespace {

bool isHeldDraining(const Serving &State, TimePoint Now) {
  return State.m_SaysLeaving &&
         Now < State.m_LeavingSince + tuning::LeavingMemory;
}

} // namespace

void Fleet::setUpstreams(const std::vector<Upstream> &Listed, TimePoint Now) {
  std::map<UpstreamId, bool> WasListed;
  for (auto &[Id, State] : m_Servings)
    WasListed[Id] = std::exchange(State.m_Listed, false);
  for (const Upstream &Listing : Listed) {
    Serving &State = findOrMake(Listing.m_Id);
    // An upstream that was missing for some time is a new incarnation. One that
    // was missing only from a lagging list is not, and gets no new work.
    if (!WasListed[Listing.m_Id] && !isHeldDraining(State, Now))
      State.m_SaysLeaving = State.m_IsOwnWord = false;
    State.m_Upstream = Listing;
    State.m_Slots = slotsOf(Listing);
    State.m_Listed = true;
    if (Listing.m_Leaving) {
      State.m_SaysLeaving = true;
      State.m_LeavingSince = Now;
    }
  }
  // An upstream that left the list is kept until its work has ended, and while
  // it is held as draining.
  std::erase_if(m_Servings, [Now](const auto &Entry) {
    const Serving &State = Entry.second;
    return !State.m_Listed && State.m_Used == 0 && !isHeldDraining(State, Now);
  });
  m_Listed.clear();
  for (auto &[Id, State] : m_Servings)
    if (State.m_Listed)
      m_Listed.push_back(&State);
}

Serving *Fleet::find(UpstreamId Id) {
  const auto It = m_Servings.find(Id);
  return It == m_Servings.end() ? nullptr : &It->second;
}

Serving &Fleet::findOrMake(UpstreamId Id) {
  const auto [It, IsNew] = m_Servings.try_emplace(Id);
  if (IsNew) {
    It->second.m_Upstream.m_Id = Id;
    It->second.m_HintTag = m_NextTag++;
    It->second.m_Drained = m_Drained.contains(Id);
  }
  return It->second;
}

void Fleet::noteLeaving(Serving &State, TimePoint Now) {
  State.m_SaysLeaving = true;
  State.m_IsOwnWord = true;
  State.m_LeavingSince = Now;
}

bool Fleet::forgetLeaving(TimePoint Now) {
  bool HasChanged = false;
  for (Serving *State : m_Listed) {
    if (!State->m_SaysLeaving || State->m_IsOwnWord ||
        State->m_Upstream.m_Leaving || isHeldDraining(*State, Now))
      continue;
    State->m_SaysLeaving = false;
    HasChanged = true;
  }
  return HasChanged;
}

void Fleet::take(const LoadReport &Report, TimePoint Now) {
  Serving *State = find(Report.m_Upstream);
  if (State == nullptr)
    return;
  // A lower number is an older report that arrived late, unless the upstream
  // was silent for so long that it must be a new incarnation.
  if (State->m_ReportSequence &&
      Report.m_Sequence <= *State->m_ReportSequence &&
      Now - State->m_ReportAt < tuning::LeavingMemory)
    return;
  State->m_ReportSequence = Report.m_Sequence;
  State->m_ReportAt = Now;
  if (Report.m_Leaving)
    noteLeaving(*State, Now);
  else if (State->m_SaysLeaving && !State->m_Upstream.m_Leaving &&
           Now - Report.m_Age > State->m_LeavingSince + tuning::LeavingMemory)
    State->m_SaysLeaving = State->m_IsOwnWord = false;
  if (Report.m_Age >= tuning::ReportLifetime)
    return;
  // Only load beyond the most that the pool may have had running at that time
  // is external: a late report must neither undo nor count twice what was
  // granted since.
  const std::uint32_t Reported = Report.m_Running + Report.m_Waiting;
  const std::uint32_t OwnPeak = State->m_Peak.peak(Now);
  State->m_External = Reported > OwnPeak ? Reported - OwnPeak : 0;
  State->m_ExternalUntil = Now - Report.m_Age + tuning::ReportLifetime;
}

void Fleet::take(const CacheEvent &Event) {
  Serving *State = find(Event.m_Upstream);
  if (State == nullptr)
    return;
  const bool HasGap =
      State->m_CacheSequence && Event.m_Sequence != *State->m_CacheSequence + 1;
  // A lost event may have been an eviction. With the old hints, bids would
  // still go to a busy engine for a prefix that it has evicted.
  if (HasGap)
    State->m_HintTag = m_NextTag++;
  State->m_CacheSequence = Event.m_Sequence;
  if (Event.m_Added)
    m_Prefixes.add(Event.m_Prefix, State->m_HintTag);
  else
    m_Prefixes.remove(Event.m_Prefix, State->m_HintTag);
}

void Fleet::take(const UpstreamDrained &Drained) {
  if (Drained.m_Drained)
    m_Drained.insert(Drained.m_Upstream);
  else
    m_Drained.erase(Drained.m_Upstream);
  if (Serving *State = find(Drained.m_Upstream))
    State->m_Drained = Drained.m_Drained;
}

void Fleet::noteFailure(Serving &State, bool IsConnect, TimePoint Now) {
  ++State.m_Failures;
  if (!IsConnect && State.m_Failures < tuning::FailuresBeforeBackoff)
    return;
  State.m_Backoff =
      std::clamp(2 * State.m_Backoff, tuning::FirstBackoff, tuning::MaxBackoff);
  State.m_BackoffUntil = Now + State.m_Backoff;
}

void Fleet::noteSuccess(Serving &State) {
  State.m_Failures = 0;
  State.m_Backoff = Duration::zero();
}

void Fleet::addWork(Serving &State, const Request &Work, TimePoint Now) {
  ++m_Changes;
  ++State.m_Used;
  State.m_Outstanding += static_cast<double>(Work.m_Expected);
  State.m_FreeRate += Work.m_FreeRate;
  State.m_Peak.add(State.m_Used, Now);
  for (const PrefixHash Prefix : Work.m_Bid.m_Prefixes)
    m_Prefixes.add(Prefix, State.m_HintTag);
}

void Fleet::endWork(Serving &State, const Request &Work, TimePoint Now) {
  ++m_Changes;
  --State.m_Used;
  const auto Expected = static_cast<double>(Work.m_Expected);
  State.m_Outstanding = std::max(0.0, State.m_Outstanding - Expected);
  State.m_FreeRate = std::max(0.0, State.m_FreeRate - Work.m_FreeRate);
  State.m_Peak.add(State.m_Used, Now);
}

void Fleet::updateClass(ClassState &Class) {
  ++m_Changes;
  Class.m_Eligible.clear();
  double InUse = 0.0;
  double Usable = 0.0;
  for (auto &[Id, State] : m_Servings) {
    if (!State.m_Listed ||
        !hasModel(State.m_Upstream, Class.m_Contract.m_Model))
      continue;
    Class.m_Eligible.push_back(&State);
    const auto Slots = static_cast<double>(State.m_Slots);
    Usable += State.isUsable() ? Slots : 0.0;
    InUse += State.isUsable() && !State.m_Ejected ? Slots : 0.0;
  }
  Class.m_Slots = InUse > 0.0 ? InUse : Usable;
}

bool Fleet::hasFreeSlot(TimePoint Now) const {
  return std::any_of(m_Listed.begin(), m_Listed.end(),
                     [Now](const Serving *State) {
                       return State->isUsable() && State->hasFreeSlot(Now);
                     });
}

std::string Fleet::service() const {
  for (const auto &[Id, State] : m_Servings)
    if (State.m_Listed)
      return State.m_Upstream.m_Service;
  return {};
}

} // namespace crowstep::decision
