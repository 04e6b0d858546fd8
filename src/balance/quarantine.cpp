/// Counts of crashes, and the quarantine of requests.
#include "balance/quarantine.h"

#include <algorithm>
#include <array>
#include <utility>

namespace crowstep::balance {

namespace {

/// Hold times differ between instances by up to this share.
constexpr double MaxHoldJitter = 0.5;

/// Divisor of a hold time that gives its last part. A crash in that part comes
/// from an instance where the hold has expired already, and starts a longer
/// one; an earlier crash comes from a call that was under way when the hold
/// began.
constexpr int LastPartDivisor = 2;

} // namespace

std::string_view nameOf(ClearReason Reason) {
  static constexpr std::array<std::string_view, 4> Names = {
      "served", "served_elsewhere", "unlisted", "forgotten"};
  return Names.at(static_cast<std::size_t>(Reason));
}

Quarantine::Quarantine(std::uint64_t Seed) {
  constexpr std::uint64_t Steps = 1024;
  m_HoldJitter = static_cast<double>(Seed % Steps) / Steps;
}

void Quarantine::recordBrokenCall(const ContentHash &Request,
                                  UpstreamId Upstream, TimePoint Now) {
  while (!m_BrokenCalls.empty() &&
         (Now - m_BrokenCalls.front().m_BrokenAt > BrokenCallLifetime ||
          m_BrokenCalls.size() >= MaxRequests))
    m_BrokenCalls.pop_front();
  m_BrokenCalls.push_back({Request, Upstream, Now});
}

std::size_t Quarantine::recordUpstreamDown(UpstreamId Upstream, TimePoint Now) {
  std::vector<ContentHash> Suspects;
  std::erase_if(m_BrokenCalls, [&](const BrokenCall &Call) {
    if (Call.m_Upstream != Upstream)
      return false;
    if (Now - Call.m_BrokenAt <= BrokenCallLifetime)
      Suspects.push_back(Call.m_Request);
    return true;
  });
  for (const ContentHash &Request : Suspects)
    recordCrash(Request, Upstream, true, Now);
  return Suspects.size();
}

void Quarantine::recordCrash(const ContentHash &Request, UpstreamId Upstream,
                             bool ObservedHere, TimePoint Now) {
  Record &Entry = m_Records[Request];
  if (!Entry.isQuarantined() && Now - Entry.m_UpdatedAt > SuspectLifetime)
    Entry.m_CrashedUpstreams.clear();
  Entry.m_ObservedHere = Entry.m_ObservedHere || ObservedHere;
  if (!Entry.m_CrashedUpstreams.insert(Upstream).second)
    return;
  Entry.m_UpdatedAt = Now;
  if (ObservedHere)
    queueUpdate({Request, Upstream});
  if (Entry.m_CrashedUpstreams.size() >= CrashThreshold &&
      Entry.m_HeldUntil - Now <= Entry.m_HoldTime / LastPartDivisor)
    startHold(Request, Entry, Now);
  evictExcess();
}

void Quarantine::startHold(const ContentHash &Request, Record &Entry,
                           TimePoint Now) {
  if (!Entry.isQuarantined()) {
    ++m_QuarantinedCount;
    Entry.m_HoldTime = std::chrono::duration_cast<Duration>(
        InitialHold * (1 + MaxHoldJitter * m_HoldJitter));
  } else {
    Entry.m_HoldTime = std::min(Entry.m_HoldTime * HoldGrowthFactor, MaxHold);
  }
  Entry.m_HeldUntil = Now + Entry.m_HoldTime;
  if (m_Listener != nullptr)
    m_Listener->onQuarantined(Request, Entry.m_CrashedUpstreams.size(),
                              Entry.m_HoldTime);
}

void Quarantine::recordServed(const ContentHash &Request) {
  if (!m_Records.contains(Request))
    return;
  queueUpdate({Request, std::nullopt});
  if (m_Listed.contains(Request))
    m_StaleListings.insert(Request);
  clear(Request, ClearReason::Served);
}

void Quarantine::clear(const ContentHash &Request, ClearReason Reason) {
  const auto Node = m_Records.extract(Request);
  if (Node.empty() || !Node.mapped().isQuarantined())
    return;
  --m_QuarantinedCount;
  if (m_Listener != nullptr)
    m_Listener->onCleared(Request, Reason);
}

void Quarantine::queueUpdate(const CrashUpdate &Update) {
  if (m_PendingUpdates.size() < MaxUpdates)
    m_PendingUpdates.push_back(Update);
}

void Quarantine::applyUpdates(const std::vector<CrashUpdate> &Updates,
                              TimePoint Now) {
  for (const CrashUpdate &Update : Updates)
    if (Update.m_Upstream)
      recordCrash(Update.m_Request, *Update.m_Upstream, false, Now);
    else
      clear(Update.m_Request, ClearReason::ServedElsewhere);
}

std::vector<CrashUpdate> Quarantine::takeUpdates() {
  return std::exchange(m_PendingUpdates, {});
}

std::vector<CrashUpdate> Quarantine::snapshot() const {
  std::vector<CrashUpdate> Result;
  for (const bool Quarantined : {true, false})
    for (const auto &[Request, Entry] : m_Records) {
      if (Entry.isQuarantined() != Quarantined)
        continue;
      for (const UpstreamId Upstream : Entry.m_CrashedUpstreams) {
        if (Result.size() >= MaxUpdates)
          return Result;
        Result.push_back({Request, Upstream});
      }
    }
  return Result;
}

void Quarantine::setListed(const std::set<ContentHash> &Listed, TimePoint Now) {
  const std::set<ContentHash> Before = std::exchange(m_Listed, Listed);
  std::erase_if(m_StaleListings, [&](const ContentHash &Request) {
    return !Listed.contains(Request);
  });
  for (const ContentHash &Request : Before)
    if (!Listed.contains(Request))
      clear(Request, ClearReason::Unlisted);
  for (const ContentHash &Request : Listed) {
    if (Before.contains(Request))
      continue;
    Record &Entry = m_Records[Request];
    Entry.m_UpdatedAt = Now;
    if (!Entry.isQuarantined())
      startHold(Request, Entry, Now);
  }
  evictExcess();
}

std::vector<ContentHash> Quarantine::unlistedRequests() const {
  std::vector<ContentHash> Result;
  for (const auto &[Request, Entry] : m_Records)
    if (Entry.isQuarantined() && Entry.m_ObservedHere &&
        !m_Listed.contains(Request))
      Result.push_back(Request);
  return Result;
}

Duration Quarantine::remainingHold(const ContentHash &Request,
                                   TimePoint Now) const {
  const auto Found = m_Records.find(Request);
  return Found == m_Records.end()
             ? Duration::zero()
             : std::max(Found->second.m_HeldUntil - Now, Duration::zero());
}

std::size_t Quarantine::crashCount(const ContentHash &Request) const {
  const auto Found = m_Records.find(Request);
  return Found == m_Records.end() ? 0 : Found->second.m_CrashedUpstreams.size();
}

void Quarantine::evictExcess() {
  while (m_Records.size() > MaxRequests) {
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

} // namespace crowstep::balance
