/// Counts of crashes, and the quarantine of requests and segments.
#include "quarantine/quarantine.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace crowstep::quarantine {

namespace {

/// Hold times differ between instances by up to this share.
constexpr double MaxHoldJitter = 0.5;

/// Divisor of a hold time that gives its last part. A crash in that part comes
/// from an instance where the hold has expired already, and starts a longer
/// one; an earlier crash comes from a call that was under way when the hold
/// began.
constexpr int LastPartDivisor = 2;

/// Limit on the requests that are kept for one crash.
constexpr std::size_t MaxRequestsOfCrash = 4;

} // namespace

std::string_view nameOf(ClearReason Reason) {
  static constexpr std::array<std::string_view, 5> Names = {
      "served", "served_elsewhere", "unlisted", "forgotten", "explained"};
  return Names.at(static_cast<std::size_t>(Reason));
}

Quarantine::Quarantine(std::uint64_t Seed) {
  constexpr std::uint64_t Steps = 1024;
  m_HoldJitter = static_cast<double>(Seed % Steps) / Steps;
}

// ---- Crashes ----------------------------------------------------------------

void Quarantine::recordBrokenCall(const BrokenCall &Call, TimePoint Now) {
  while (!m_BrokenCalls.empty() &&
         (Now - m_BrokenCalls.front().m_BrokenAt > BrokenCallLifetime ||
          m_BrokenCalls.size() >= MaxSuspects))
    m_BrokenCalls.pop_front();
  m_BrokenCalls.push_back({Call, Now});
}

std::size_t Quarantine::recordUpstreamDown(UpstreamId Upstream, TimePoint Now) {
  std::vector<BrokenCall> Calls;
  std::erase_if(m_BrokenCalls, [&](const RecentCall &Recent) {
    if (Recent.m_Call.m_Upstream != Upstream)
      return false;
    if (Now - Recent.m_BrokenAt <= BrokenCallLifetime)
      Calls.push_back(Recent.m_Call);
    return true;
  });
  for (const BrokenCall &Call : Calls) {
    const CallSuspects &Suspects = Call.m_Suspects;
    recordCrash({Suspects.m_Request, Call.m_Incarnation, std::nullopt}, true,
                Now);
    for (std::size_t I = 0; !Call.m_HadBegun && I < Suspects.m_Segments.size();
         ++I)
      recordCrash({Suspects.m_Segments[I], Call.m_Incarnation,
                   SegmentEvidence{Suspects.m_Request.m_Low,
                                   static_cast<std::uint8_t>(I)}},
                  true, Now);
  }
  holdSuspects(Now);
  evictExcess();
  return Calls.size();
}

void Quarantine::recordCrash(const CrashUpdate &Update, bool ObservedHere,
                             TimePoint Now) {
  Record &Entry = m_Records[Update.m_Suspect];
  if (!Entry.isQuarantined() && Now - Entry.m_UpdatedAt > SuspectLifetime)
    Entry.m_Crashes.clear();
  Entry.m_ObservedHere = Entry.m_ObservedHere || ObservedHere;
  auto [Crash, IsNew] = Entry.m_Crashes.try_emplace(*Update.m_Crash);
  if (Update.m_Segment) {
    Entry.m_Kind = SuspectKind::Segment;
    if (Entry.isQuarantined())
      m_HeldSegments.insert(Update.m_Suspect);
    Entry.m_Position = std::max(Entry.m_Position, Update.m_Segment->m_Position);
    if (Crash->second.size() < MaxRequestsOfCrash)
      IsNew = Crash->second.insert(Update.m_Segment->m_Request).second || IsNew;
  }
  if (!IsNew)
    return;
  Entry.m_UpdatedAt = Now;
  m_Changed.insert(Update.m_Suspect);
  if (ObservedHere)
    queueUpdate(Update);
  if (Update.m_Segment && Entry.m_Crashes.size() >= StatementThreshold)
    stateIfSound(Update.m_Suspect, Now);
}

/// A total order, so that of two segments one explains the other at most. Later
/// segments of prompts are shared by fewer requests.
bool Quarantine::isMoreSuspect(const Suspect &Left, const Suspect &Right) {
  const auto Rank = [](const Suspect &Entry) {
    return std::tuple(Entry.second.m_Kind, Entry.second.m_Crashes.size(),
                      Entry.second.m_Position, Entry.first);
  };
  return Rank(Left) > Rank(Right);
}

bool Quarantine::isExplained(const Suspect &Entry, IncarnationId Crash) const {
  return std::ranges::any_of(m_HeldSegments, [&](const ContentHash &Held) {
    const auto Found = m_Records.find(Held);
    return isMoreSuspect(*Found, Entry) &&
           Found->second.m_Crashes.contains(Crash);
  });
}

Quarantine::OwnCrashes Quarantine::ownCrashesOf(const Suspect &Entry) const {
  OwnCrashes Result;
  for (const auto &[Crash, Requests] : Entry.second.m_Crashes)
    if (!isExplained(Entry, Crash)) {
      ++Result.m_Count;
      Result.m_Requests.insert(Requests.begin(), Requests.end());
    }
  return Result;
}

bool Quarantine::isKnownSound(const Record &Entry, TimePoint Now) {
  return Entry.m_SoundAt != TimePoint() &&
         Now - Entry.m_SoundAt <= SoundSegments::Lifetime;
}

bool Quarantine::mustHold(const Suspect &Entry, TimePoint Now) const {
  const Record &State = Entry.second;
  if (State.m_HeldUntil - Now > State.m_HoldTime / LastPartDivisor)
    return false;
  const OwnCrashes Own = ownCrashesOf(Entry);
  if (State.m_Kind == SuspectKind::Request)
    return Own.m_Count >= CrashThreshold;
  return Own.m_Count >= (isKnownSound(State, Now) ? SoundSegmentThreshold
                                                  : SegmentThreshold) &&
         Own.m_Requests.size() >= SegmentRequests;
}

/// Quarantines what has reached its threshold, the most suspect one first: it
/// may explain the crashes of the others.
void Quarantine::holdSuspects(TimePoint Now) {
  while (true) {
    Suspect *Strongest = nullptr;
    for (const ContentHash &Key : m_Changed) {
      const auto Found = m_Records.find(Key);
      if (Found != m_Records.end() && mustHold(*Found, Now) &&
          (Strongest == nullptr || isMoreSuspect(*Found, *Strongest)))
        Strongest = &*Found;
    }
    if (Strongest == nullptr)
      break;
    m_Changed.erase(Strongest->first);
    startHold(Strongest->first, Strongest->second, Now);
  }
  m_Changed.clear();
  releaseExplained();
}

/// Updates arrive in any order: a segment that only ran beside another may
/// reach its threshold first.
void Quarantine::releaseExplained() {
  if (m_HeldSegments.size() < 2)
    return;
  std::vector<ContentHash> Explained;
  for (const ContentHash &Key : m_HeldSegments) {
    const auto Found = m_Records.find(Key);
    if (!Found->second.m_Crashes.empty() && ownCrashesOf(*Found).m_Count == 0)
      Explained.push_back(Key);
  }
  for (const ContentHash &Key : Explained) {
    Record &Entry = m_Records.at(Key);
    Entry.m_IsExplained = true;
    if (Entry.m_ObservedHere && m_Listed.contains(Key))
      m_StaleListings.insert(Key);
    endHold(Key, Entry, ClearReason::Explained);
  }
  m_Changed.clear();
}

void Quarantine::startHold(const ContentHash &Key, Record &Entry,
                           TimePoint Now) {
  if (!Entry.isQuarantined()) {
    ++m_QuarantinedCount;
    Entry.m_HoldTime = std::chrono::duration_cast<Duration>(
        InitialHold * (1 + MaxHoldJitter * m_HoldJitter));
  } else {
    Entry.m_HoldTime = std::min(Entry.m_HoldTime * HoldGrowthFactor, MaxHold);
  }
  if (Entry.m_Kind == SuspectKind::Segment)
    m_HeldSegments.insert(Key);
  Entry.m_IsExplained = false;
  Entry.m_HeldUntil = Now + Entry.m_HoldTime;
  if (m_Listener != nullptr)
    m_Listener->onQuarantined(Key, Entry.m_Kind, Entry.m_Crashes.size(),
                              Entry.m_HoldTime);
}

// ---- Clearing ---------------------------------------------------------------

void Quarantine::recordServed(const ContentHash &Request) {
  if (!m_Records.contains(Request))
    return;
  queueUpdate({Request, std::nullopt, std::nullopt});
  if (m_Listed.contains(Request))
    m_StaleListings.insert(Request);
  clear(Request, ClearReason::Served);
}

void Quarantine::recordSound(const std::vector<ContentHash> &Segments,
                             TimePoint Now) {
  for (const ContentHash &Segment : Segments) {
    m_Sound.record(Segment, Now);
    const auto Found = m_Records.find(Segment);
    if (Found != m_Records.end() &&
        (Found->second.isQuarantined() || !Found->second.m_Crashes.empty()))
      markSound(Segment, ClearReason::Served, Now);
  }
  holdSuspects(Now);
}

/// Another instance may not have served the segment yet.
void Quarantine::stateIfSound(const ContentHash &Segment, TimePoint Now) {
  const auto ServedAt = m_Sound.lastServedAt(Segment, Now);
  if (ServedAt && *ServedAt > m_Records.at(Segment).m_SoundAt)
    markSound(Segment, ClearReason::Served, Now);
}

/// The record stays, as more crashes are needed to suspect the segment again.
void Quarantine::markSound(const ContentHash &Segment, ClearReason Reason,
                           TimePoint Now) {
  Record &Entry = m_Records[Segment];
  Entry.m_Kind = SuspectKind::Segment;
  Entry.m_Crashes.clear();
  Entry.m_SoundAt = Now;
  Entry.m_UpdatedAt = Now;
  if (Reason == ClearReason::Served) {
    queueUpdate({Segment, std::nullopt, SegmentEvidence()});
    if (m_Listed.contains(Segment))
      m_StaleListings.insert(Segment);
  }
  endHold(Segment, Entry, Reason);
}

void Quarantine::endHold(const ContentHash &Key, Record &Entry,
                         ClearReason Reason) {
  // What the segment has explained counts against others again.
  if (m_HeldSegments.erase(Key) > 0)
    for (const auto &[Other, State] : m_Records)
      m_Changed.insert(Other);
  if (!Entry.isQuarantined())
    return;
  --m_QuarantinedCount;
  Entry.m_HoldTime = Duration::zero();
  Entry.m_HeldUntil = TimePoint();
  if (m_Listener != nullptr)
    m_Listener->onCleared(Key, Entry.m_Kind, Reason);
}

void Quarantine::clear(const ContentHash &Key, ClearReason Reason) {
  const auto Found = m_Records.find(Key);
  if (Found == m_Records.end())
    return;
  endHold(ContentHash(Key), Found->second, Reason);
  m_Records.erase(Found);
}

// ---- Other instances --------------------------------------------------------

void Quarantine::queueUpdate(const CrashUpdate &Update) {
  if (m_PendingUpdates.size() < MaxPendingUpdates)
    m_PendingUpdates.push_back(Update);
  else if (m_Listener != nullptr)
    m_Listener->onUpdateDropped();
}

void Quarantine::applyUpdates(const std::vector<CrashUpdate> &Updates,
                              TimePoint Now) {
  for (const CrashUpdate &Update : Updates)
    if (Update.m_Crash)
      recordCrash(Update, false, Now);
    else if (Update.m_Segment)
      markSound(Update.m_Suspect, ClearReason::ServedElsewhere, Now);
    else
      clear(Update.m_Suspect, ClearReason::ServedElsewhere);
  holdSuspects(Now);
  evictExcess();
}

std::vector<CrashUpdate> Quarantine::takeUpdates() {
  const auto Count = static_cast<std::ptrdiff_t>(
      std::min(m_PendingUpdates.size(), MaxUpdates));
  const auto End = m_PendingUpdates.begin() + Count;
  std::vector<CrashUpdate> Result(m_PendingUpdates.begin(), End);
  m_PendingUpdates.erase(m_PendingUpdates.begin(), End);
  return Result;
}

std::vector<CrashUpdate> Quarantine::snapshot() const {
  std::vector<CrashUpdate> Result;
  const auto Add = [&](const CrashUpdate &Update) {
    if (Result.size() < MaxUpdates)
      Result.push_back(Update);
  };
  for (const bool Quarantined : {true, false})
    for (const auto &[Key, Entry] : m_Records) {
      if (Entry.isQuarantined() != Quarantined)
        continue;
      for (const auto &[Crash, Requests] : Entry.m_Crashes) {
        if (Entry.m_Kind == SuspectKind::Request)
          Add({Key, Crash, std::nullopt});
        for (const std::uint64_t Request : Requests)
          Add({Key, Crash, SegmentEvidence{Request, Entry.m_Position}});
      }
    }
  return Result;
}

// ---- The list ---------------------------------------------------------------

void Quarantine::setListed(const std::set<ContentHash> &Listed, TimePoint Now) {
  const std::set<ContentHash> Before = std::exchange(m_Listed, Listed);
  std::erase_if(m_StaleListings,
                [&](const ContentHash &Key) { return !Listed.contains(Key); });
  for (const ContentHash &Key : Before)
    if (!Listed.contains(Key))
      clear(Key, ClearReason::Unlisted);
  for (const ContentHash &Key : Listed) {
    if (Before.contains(Key))
      continue;
    Record &Entry = m_Records[Key];
    // The row was written before this was known.
    if (Entry.m_IsExplained || isKnownSound(Entry, Now)) {
      if (Entry.m_ObservedHere)
        m_StaleListings.insert(Key);
      continue;
    }
    Entry.m_UpdatedAt = Now;
    if (!Entry.isQuarantined())
      startHold(Key, Entry, Now);
  }
  holdSuspects(Now);
  evictExcess();
}

std::vector<ContentHash> Quarantine::unlistedSuspects() const {
  std::vector<ContentHash> Result;
  for (const auto &[Key, Entry] : m_Records)
    if (Entry.isQuarantined() && Entry.m_ObservedHere &&
        !m_Listed.contains(Key))
      Result.push_back(Key);
  return Result;
}

// ---- Queries ----------------------------------------------------------------

Duration Quarantine::remainingHold(const ContentHash &Suspect,
                                   TimePoint Now) const {
  const auto Found = m_Records.find(Suspect);
  return Found == m_Records.end()
             ? Duration::zero()
             : std::max(Found->second.m_HeldUntil - Now, Duration::zero());
}

CrashHold Quarantine::holdOf(const CallSuspects &Suspects,
                             TimePoint Now) const {
  CrashHold Result;
  if (m_QuarantinedCount == 0)
    return Result;
  const auto Check = [&](const ContentHash &Key, SuspectKind Kind) {
    if (const Duration Left = remainingHold(Key, Now); Left > Result.m_Left)
      Result = {Left, Key, Kind};
  };
  Check(Suspects.m_Request, SuspectKind::Request);
  for (const ContentHash &Segment : Suspects.m_Segments)
    Check(Segment, SuspectKind::Segment);
  return Result;
}

std::size_t Quarantine::crashCount(const ContentHash &Suspect) const {
  const auto Found = m_Records.find(Suspect);
  return Found == m_Records.end() ? 0 : Found->second.m_Crashes.size();
}

void Quarantine::evictExcess() {
  while (m_Records.size() > MaxSuspects) {
    const auto Oldest =
        std::min_element(m_Records.begin(), m_Records.end(),
                         [](const auto &Left, const auto &Right) {
                           return std::pair(Left.second.isQuarantined(),
                                            Left.second.m_UpdatedAt) <
                                  std::pair(Right.second.isQuarantined(),
                                            Right.second.m_UpdatedAt);
                         });
    clear(ContentHash(Oldest->first), ClearReason::Forgotten);
  }
}

} // namespace crowstep::quarantine
