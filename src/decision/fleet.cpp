/// Upstream list, load reports, cache events and failures.
#include "decision/fleet.h"

#include <algorithm>
#include <utility>

namespace crowstep::decision {

namespace {

bool remembersLeaving(const Serving &One, TimePoint Now) {
  return One.m_SaysLeaving && Now < One.m_LeavingSince + tuning::LeavingMemory;
}

} // namespace

void Fleet::setUpstreams(const std::vector<Upstream> &Listed, TimePoint Now) {
  std::map<UpstreamId, bool> WasListed;
  for (auto &[Id, One] : m_Servings)
    WasListed[Id] = std::exchange(One.m_Listed, false);
  for (const Upstream &Row : Listed) {
    Serving &One = findOrMake(Row.m_Id);
    // One that was gone for a while is a new start. One that flickers in a
    // list that lags is not, and stays without new work.
    if (!WasListed[Row.m_Id] && !remembersLeaving(One, Now))
      One.m_SaysLeaving = One.m_IsOwnWord = false;
    One.m_Upstream = Row;
    One.m_Slots = slotsOf(Row);
    One.m_Listed = true;
    if (Row.m_Leaving) {
      One.m_SaysLeaving = true;
      One.m_LeavingSince = Now;
    }
  }
  // What still runs on one that left keeps its account until it has ended.
  std::erase_if(m_Servings, [Now](const auto &Entry) {
    const Serving &One = Entry.second;
    return !One.m_Listed && One.m_Used == 0 && !remembersLeaving(One, Now);
  });
  m_Listed.clear();
  for (auto &[Id, One] : m_Servings)
    if (One.m_Listed)
      m_Listed.push_back(&One);
}

Serving *Fleet::find(UpstreamId Id) {
  const auto At = m_Servings.find(Id);
  return At == m_Servings.end() ? nullptr : &At->second;
}

Serving &Fleet::findOrMake(UpstreamId Id) {
  const auto [At, IsNew] = m_Servings.try_emplace(Id);
  if (IsNew) {
    At->second.m_Upstream.m_Id = Id;
    At->second.m_HintTag = m_NextTag++;
    At->second.m_Drained = m_Drained.contains(Id);
  }
  return At->second;
}

void Fleet::noteLeaving(Serving &Where, TimePoint Now) {
  Where.m_SaysLeaving = true;
  Where.m_IsOwnWord = true;
  Where.m_LeavingSince = Now;
}

bool Fleet::forgetLeaving(TimePoint Now) {
  bool HasChanged = false;
  for (Serving *One : m_Listed) {
    if (!One->m_SaysLeaving || One->m_IsOwnWord || One->m_Upstream.m_Leaving ||
        remembersLeaving(*One, Now))
      continue;
    One->m_SaysLeaving = false;
    HasChanged = true;
  }
  return HasChanged;
}

void Fleet::take(const LoadReport &Report, TimePoint Now) {
  Serving *Where = find(Report.m_Upstream);
  if (Where == nullptr)
    return;
  // A lower number is an older report that came late, unless nothing was heard
  // for so long that it must be a new start of the upstream.
  if (Where->m_ReportSequence &&
      Report.m_Sequence <= *Where->m_ReportSequence &&
      Now - Where->m_ReportAt < tuning::LeavingMemory)
    return;
  Where->m_ReportSequence = Report.m_Sequence;
  Where->m_ReportAt = Now;
  if (Report.m_Leaving)
    noteLeaving(*Where, Now);
  else if (Where->m_SaysLeaving && !Where->m_Upstream.m_Leaving &&
           Now - Report.m_Age > Where->m_LeavingSince + tuning::LeavingMemory)
    Where->m_SaysLeaving = Where->m_IsOwnWord = false;
  if (Report.m_Age >= tuning::ReportLifetime)
    return;
  // Only load beyond all that we may have had running then is someone else's:
  // a late report must not undo, nor count twice, what we granted since.
  const std::uint32_t Told = Report.m_Running + Report.m_Waiting;
  const std::uint32_t Ours = Where->m_Peak.peak(Now);
  Where->m_External = Told > Ours ? Told - Ours : 0;
  Where->m_ExternalUntil = Now - Report.m_Age + tuning::ReportLifetime;
}

void Fleet::take(const CacheEvent &Event) {
  Serving *Where = find(Event.m_Upstream);
  if (Where == nullptr)
    return;
  const bool HasGap =
      Where->m_CacheSequence && Event.m_Sequence != *Where->m_CacheSequence + 1;
  // A lost event may have been an eviction; with the old hints, bids would go
  // on to a busy engine for a prefix that it dropped.
  if (HasGap)
    Where->m_HintTag = m_NextTag++;
  Where->m_CacheSequence = Event.m_Sequence;
  if (Event.m_Added)
    m_Prefixes.add(Event.m_Prefix, Where->m_HintTag);
  else
    m_Prefixes.remove(Event.m_Prefix, Where->m_HintTag);
}

void Fleet::take(const UpstreamDrained &Drained) {
  if (Drained.m_Drained)
    m_Drained.insert(Drained.m_Upstream);
  else
    m_Drained.erase(Drained.m_Upstream);
  if (Serving *Where = find(Drained.m_Upstream))
    Where->m_Drained = Drained.m_Drained;
}

void Fleet::noteFailure(Serving &Where, bool IsConnect, TimePoint Now) {
  ++Where.m_Failures;
  if (!IsConnect && Where.m_Failures < tuning::FailuresBeforeBackoff)
    return;
  Where.m_Backoff =
      std::clamp(2 * Where.m_Backoff, tuning::FirstBackoff, tuning::MaxBackoff);
  Where.m_BackoffUntil = Now + Where.m_Backoff;
}

void Fleet::noteSuccess(Serving &Where) {
  Where.m_Failures = 0;
  Where.m_Backoff = Duration::zero();
}

void Fleet::addWork(Serving &Where, const Request &Work, TimePoint Now) {
  ++m_Changes;
  ++Where.m_Used;
  Where.m_Outstanding += static_cast<double>(Work.m_Expected);
  Where.m_FreeRate += Work.m_FreeRate;
  Where.m_Peak.add(Where.m_Used, Now);
  for (const PrefixHash Prefix : Work.m_Bid.m_Prefixes)
    m_Prefixes.add(Prefix, Where.m_HintTag);
}

void Fleet::endWork(Serving &Where, const Request &Work, TimePoint Now) {
  ++m_Changes;
  --Where.m_Used;
  const auto Expected = static_cast<double>(Work.m_Expected);
  Where.m_Outstanding = std::max(0.0, Where.m_Outstanding - Expected);
  Where.m_FreeRate = std::max(0.0, Where.m_FreeRate - Work.m_FreeRate);
  Where.m_Peak.add(Where.m_Used, Now);
}

void Fleet::updateClass(ClassState &Class) {
  ++m_Changes;
  Class.m_Eligible.clear();
  double InUse = 0.0;
  double Usable = 0.0;
  for (auto &[Id, One] : m_Servings) {
    if (!One.m_Listed || !hasModel(One.m_Upstream, Class.m_Contract.m_Model))
      continue;
    Class.m_Eligible.push_back(&One);
    const auto Slots = static_cast<double>(One.m_Slots);
    Usable += One.isUsable() ? Slots : 0.0;
    InUse += One.isUsable() && !One.m_Ejected ? Slots : 0.0;
  }
  Class.m_Slots = InUse > 0.0 ? InUse : Usable;
}

bool Fleet::hasFreeSlot(TimePoint Now) const {
  return std::any_of(m_Listed.begin(), m_Listed.end(),
                     [Now](const Serving *One) {
                       return One->isUsable() && One->hasFreeSlot(Now);
                     });
}

std::string Fleet::service() const {
  for (const auto &[Id, One] : m_Servings)
    if (One.m_Listed)
      return One.m_Upstream.m_Service;
  return {};
}

} // namespace crowstep::decision
