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
  m_Spread = static_cast<double>(Seed % Steps) / Steps;
}

void Quarantine::callBroken(const ContentHash &Request, UpstreamId Upstream,
                            TimePoint Now) {
  while (!m_Broken.empty() && (Now - m_Broken.front().m_At > BrokenLife ||
                               m_Broken.size() >= MostRequests))
    m_Broken.pop_front();
  m_Broken.push_back({Request, Upstream, Now});
}

std::size_t Quarantine::upstreamDown(UpstreamId Upstream, TimePoint Now) {
  std::vector<ContentHash> Suspects;
  std::erase_if(m_Broken, [&](const Broken &Call) {
    if (Call.m_Upstream != Upstream)
      return false;
    if (Now - Call.m_At <= BrokenLife)
      Suspects.push_back(Call.m_Request);
    return true;
  });
  for (const ContentHash &Request : Suspects)
    crashed(Request, Upstream, true, Now);
  return Suspects.size();
}

void Quarantine::crashed(const ContentHash &Request, UpstreamId Upstream,
                         bool ObservedHere, TimePoint Now) {
  Record &Entry = m_Records[Request];
  if (!Entry.quarantined() && Now - Entry.m_LastAt > SuspectLife)
    Entry.m_Crashes.clear();
  Entry.m_Own = Entry.m_Own || ObservedHere;
  if (!Entry.m_Crashes.insert(Upstream).second)
    return;
  Entry.m_LastAt = Now;
  if (ObservedHere)
    broadcast({Request, Upstream});
  if (Entry.m_Crashes.size() >= MostCrashes &&
      Entry.m_HeldUntil - Now <= Entry.m_Lapse / LastPartDivisor)
    hold(Request, Entry, Now);
  makeRoom();
}

void Quarantine::hold(const ContentHash &Request, Record &Entry,
                      TimePoint Now) {
  if (!Entry.quarantined()) {
    ++m_Size;
    Entry.m_Lapse = std::chrono::duration_cast<Duration>(
        FirstLapse * (1 + MaxHoldJitter * m_Spread));
  } else {
    Entry.m_Lapse = std::min(Entry.m_Lapse * LapseGrowth, LongestLapse);
  }
  Entry.m_HeldUntil = Now + Entry.m_Lapse;
  if (m_Listener != nullptr)
    m_Listener->quarantined(Request, Entry.m_Crashes.size(), Entry.m_Lapse);
}

void Quarantine::served(const ContentHash &Request) {
  if (!m_Records.contains(Request))
    return;
  broadcast({Request, std::nullopt});
  if (m_Listed.contains(Request))
    m_WronglyListed.insert(Request);
  clear(Request, ClearReason::Served);
}

void Quarantine::clear(const ContentHash &Request, ClearReason Reason) {
  const auto Node = m_Records.extract(Request);
  if (Node.empty() || !Node.mapped().quarantined())
    return;
  --m_Size;
  if (m_Listener != nullptr)
    m_Listener->cleared(Request, Reason);
}

void Quarantine::broadcast(const CrashNews &Update) {
  if (m_News.size() < MostNews)
    m_News.push_back(Update);
}

void Quarantine::take(const std::vector<CrashNews> &Updates, TimePoint Now) {
  for (const CrashNews &Update : Updates)
    if (Update.m_Upstream)
      crashed(Update.m_Request, *Update.m_Upstream, false, Now);
    else
      clear(Update.m_Request, ClearReason::ServedElsewhere);
}

std::vector<CrashNews> Quarantine::takeNews() {
  return std::exchange(m_News, {});
}

std::vector<CrashNews> Quarantine::all() const {
  std::vector<CrashNews> Result;
  for (const bool Quarantined : {true, false})
    for (const auto &[Request, Entry] : m_Records) {
      if (Entry.quarantined() != Quarantined)
        continue;
      for (const UpstreamId Upstream : Entry.m_Crashes) {
        if (Result.size() >= MostNews)
          return Result;
        Result.push_back({Request, Upstream});
      }
    }
  return Result;
}

void Quarantine::setListed(const std::set<ContentHash> &Listed, TimePoint Now) {
  const std::set<ContentHash> Before = std::exchange(m_Listed, Listed);
  std::erase_if(m_WronglyListed, [&](const ContentHash &Request) {
    return !Listed.contains(Request);
  });
  for (const ContentHash &Request : Before)
    if (!Listed.contains(Request))
      clear(Request, ClearReason::Unlisted);
  for (const ContentHash &Request : Listed) {
    if (Before.contains(Request))
      continue;
    Record &Entry = m_Records[Request];
    Entry.m_LastAt = Now;
    if (!Entry.quarantined())
      hold(Request, Entry, Now);
  }
  makeRoom();
}

std::vector<ContentHash> Quarantine::unlisted() const {
  std::vector<ContentHash> Result;
  for (const auto &[Request, Entry] : m_Records)
    if (Entry.quarantined() && Entry.m_Own && !m_Listed.contains(Request))
      Result.push_back(Request);
  return Result;
}

Duration Quarantine::heldFor(const ContentHash &Request, TimePoint Now) const {
  const auto Found = m_Records.find(Request);
  return Found == m_Records.end()
             ? Duration::zero()
             : std::max(Found->second.m_HeldUntil - Now, Duration::zero());
}

std::size_t Quarantine::crashesOf(const ContentHash &Request) const {
  const auto Found = m_Records.find(Request);
  return Found == m_Records.end() ? 0 : Found->second.m_Crashes.size();
}

void Quarantine::makeRoom() {
  while (m_Records.size() > MostRequests) {
    const auto Oldest = std::min_element(
        m_Records.begin(), m_Records.end(),
        [](const auto &Left, const auto &Right) {
          return std::pair(Left.second.quarantined(), Left.second.m_LastAt) <
                 std::pair(Right.second.quarantined(), Right.second.m_LastAt);
        });
    clear(ContentHash(Oldest->first), ClearReason::Forgotten);
  }
}

} // namespace crowstep::balance
