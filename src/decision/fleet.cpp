/// Upstream list, load reports, cache events and failures.
#include "decision/fleet.h"

#include <algorithm>
#include <utility>

namespace crowstep::decision {

namespace {

bool isHeldDraining(const UpstreamState &State, TimePoint Now) {
  return State.m_IsDraining &&
         Now < State.m_DrainingSince + tuning::DrainingHoldTime;
}

} // namespace

void Fleet::setUpstreams(const std::vector<Upstream> &Listed, TimePoint Now) {
  std::map<UpstreamId, bool> WasListed;
  for (auto &[Id, State] : m_Upstreams)
    WasListed[Id] = std::exchange(State.m_Listed, false);
  for (const Upstream &Listing : Listed) {
    UpstreamState &State = findOrCreate(Listing.m_Id);
    // An upstream that was missing for some time is a new incarnation. One that
    // was missing only from a lagging list is not, and gets no new work.
    if (!WasListed[Listing.m_Id] && !isHeldDraining(State, Now))
      State.m_IsDraining = State.m_IsSelfReported = false;
    State.m_Upstream = Listing;
    State.m_Slots = slotsOf(Listing);
    State.m_Listed = true;
    if (Listing.m_Draining) {
      State.m_IsDraining = true;
      State.m_DrainingSince = Now;
    }
  }
  // An upstream that left the list is kept until its work has ended, and while
  // it is held as draining.
  std::erase_if(m_Upstreams, [Now](const auto &Entry) {
    const UpstreamState &State = Entry.second;
    return !State.m_Listed && State.m_UsedSlots == 0 &&
           !isHeldDraining(State, Now);
  });
  m_ListedUpstreams.clear();
  for (auto &[Id, State] : m_Upstreams)
    if (State.m_Listed)
      m_ListedUpstreams.push_back(&State);
}

UpstreamState *Fleet::find(UpstreamId Id) {
  const auto It = m_Upstreams.find(Id);
  return It == m_Upstreams.end() ? nullptr : &It->second;
}

UpstreamState &Fleet::findOrCreate(UpstreamId Id) {
  const auto [It, IsNew] = m_Upstreams.try_emplace(Id);
  if (IsNew) {
    It->second.m_Upstream.m_Id = Id;
    It->second.m_HintTag = m_NextTag++;
    It->second.m_IsDrainedByOperator = m_DrainedByOperators.contains(Id);
  }
  return It->second;
}

void Fleet::noteDraining(UpstreamState &State, TimePoint Now) {
  State.m_IsDraining = true;
  State.m_IsSelfReported = true;
  State.m_DrainingSince = Now;
}

bool Fleet::expireDraining(TimePoint Now) {
  bool HasChanged = false;
  for (UpstreamState *State : m_ListedUpstreams) {
    if (!State->m_IsDraining || State->m_IsSelfReported ||
        State->m_Upstream.m_Draining || isHeldDraining(*State, Now))
      continue;
    State->m_IsDraining = false;
    HasChanged = true;
  }
  return HasChanged;
}

void Fleet::apply(const LoadReport &Report, TimePoint Now) {
  UpstreamState *State = find(Report.m_Upstream);
  if (State == nullptr)
    return;
  // A lower number is an older report that arrived late, unless the upstream
  // was silent for so long that it must be a new incarnation.
  if (State->m_LastReportSequence &&
      Report.m_Sequence <= *State->m_LastReportSequence &&
      Now - State->m_LastReportAt < tuning::DrainingHoldTime)
    return;
  State->m_LastReportSequence = Report.m_Sequence;
  State->m_LastReportAt = Now;
  if (Report.m_Draining)
    noteDraining(*State, Now);
  else if (State->m_IsDraining && !State->m_Upstream.m_Draining &&
           Now - Report.m_Age >
               State->m_DrainingSince + tuning::DrainingHoldTime)
    State->m_IsDraining = State->m_IsSelfReported = false;
  if (Report.m_Age >= tuning::ReportLifetime)
    return;
  // Only load beyond the most that the pool may have had running at that time
  // is external: a late report must neither undo nor count twice what was
  // granted since.
  const std::uint32_t Reported = Report.m_Running + Report.m_Waiting;
  const std::uint32_t OwnPeak = State->m_PeakUsedSlots.peak(Now);
  State->m_ExternalLoad = Reported > OwnPeak ? Reported - OwnPeak : 0;
  State->m_ExternalLoadExpiry = Now - Report.m_Age + tuning::ReportLifetime;
}

void Fleet::apply(const CacheEvent &Event) {
  UpstreamState *State = find(Event.m_Upstream);
  if (State == nullptr)
    return;
  const bool HasGap = State->m_LastCacheSequence &&
                      Event.m_Sequence != *State->m_LastCacheSequence + 1;
  // A lost event may have been an eviction. With the old hints, bids would
  // still go to a busy engine for a prefix that it has evicted.
  if (HasGap)
    State->m_HintTag = m_NextTag++;
  State->m_LastCacheSequence = Event.m_Sequence;
  if (Event.m_Added)
    m_Prefixes.add(Event.m_Prefix, State->m_HintTag);
  else
    m_Prefixes.remove(Event.m_Prefix, State->m_HintTag);
}

void Fleet::apply(const UpstreamDrained &Drained) {
  if (Drained.m_Drained)
    m_DrainedByOperators.insert(Drained.m_Upstream);
  else
    m_DrainedByOperators.erase(Drained.m_Upstream);
  if (UpstreamState *State = find(Drained.m_Upstream))
    State->m_IsDrainedByOperator = Drained.m_Drained;
}

void Fleet::noteFailure(UpstreamState &State, bool IsConnect, TimePoint Now) {
  ++State.m_ConsecutiveFailures;
  if (!IsConnect && State.m_ConsecutiveFailures < tuning::FailuresBeforeBackoff)
    return;
  State.m_Backoff = std::clamp(2 * State.m_Backoff, tuning::InitialBackoff,
                               tuning::MaxBackoff);
  State.m_BackoffUntil = Now + State.m_Backoff;
}

void Fleet::noteSuccess(UpstreamState &State) {
  State.m_ConsecutiveFailures = 0;
  State.m_Backoff = Duration::zero();
}

void Fleet::addWork(UpstreamState &State, const Request &Work, TimePoint Now) {
  ++m_ChangeCount;
  ++State.m_UsedSlots;
  State.m_OutstandingTokens += static_cast<double>(Work.m_ExpectedTokens);
  State.m_ReleaseRate += Work.m_ReleaseRate;
  State.m_PeakUsedSlots.add(State.m_UsedSlots, Now);
  for (const PrefixHash Prefix : Work.m_Bid.m_Prefixes)
    m_Prefixes.add(Prefix, State.m_HintTag);
}

void Fleet::endWork(UpstreamState &State, const Request &Work, TimePoint Now) {
  ++m_ChangeCount;
  --State.m_UsedSlots;
  const auto Expected = static_cast<double>(Work.m_ExpectedTokens);
  State.m_OutstandingTokens =
      std::max(0.0, State.m_OutstandingTokens - Expected);
  State.m_ReleaseRate = std::max(0.0, State.m_ReleaseRate - Work.m_ReleaseRate);
  State.m_PeakUsedSlots.add(State.m_UsedSlots, Now);
}

void Fleet::updateClass(ClassState &Class) {
  ++m_ChangeCount;
  Class.m_EligibleUpstreams.clear();
  double InUse = 0.0;
  double Usable = 0.0;
  for (auto &[Id, State] : m_Upstreams) {
    if (!State.m_Listed ||
        !hasModel(State.m_Upstream, Class.m_Contract.m_Model))
      continue;
    Class.m_EligibleUpstreams.push_back(&State);
    const auto Slots = static_cast<double>(State.m_Slots);
    Usable += State.isUsable() ? Slots : 0.0;
    InUse += State.isUsable() && !State.m_Ejected ? Slots : 0.0;
  }
  Class.m_Slots = InUse > 0.0 ? InUse : Usable;
}

bool Fleet::hasFreeSlot(TimePoint Now) const {
  return std::any_of(m_ListedUpstreams.begin(), m_ListedUpstreams.end(),
                     [Now](const UpstreamState *State) {
                       return State->isUsable() && State->hasFreeSlot(Now);
                     });
}

std::string Fleet::service() const {
  for (const auto &[Id, State] : m_Upstreams)
    if (State.m_Listed)
      return State.m_Upstream.m_Service;
  return {};
}

} // namespace crowstep::decision
