/// Shares of brittle upstreams' slots, and pauses after rejections.
#include "balance/brittle_upstreams.h"

#include "core/pair_hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crowstep::balance {

void BrittleUpstreams::setInstances(InstanceId Self,
                                    std::vector<InstanceId> All) {
  m_Self = Self;
  m_Instances = std::move(All);
  m_Shares.clear();
}

void BrittleUpstreams::recordStatement(PoolId Pool, RejectionLimit Limit,
                                       TimePoint Sent, TimePoint Now) {
  const auto Found = m_States.find(Pool);
  if (!Limit && (Found == m_States.end() || !Found->second.m_Limit ||
                 Sent < Found->second.m_StatedAt + EndDelay))
    return;
  State &Entry = m_States[Pool];
  Entry.m_Limit = Limit;
  Entry.m_StatedAt = Now;
  Entry.m_BroadcastPending = true;
}

void BrittleUpstreams::applyUpdates(const std::vector<BrittleUpdate> &Updates,
                                    TimePoint Now) {
  for (const BrittleUpdate &Update : Updates) {
    const TimePoint StatedAt = Now - Update.m_Age;
    const auto Found = m_States.find(Update.m_Pool);
    if (Found == m_States.end() ? !Update.m_Limit.has_value()
                                : StatedAt <= Found->second.m_StatedAt)
      continue;
    State &Entry = m_States[Update.m_Pool];
    Entry.m_Limit = Update.m_Limit;
    Entry.m_StatedAt = StatedAt;
  }
}

std::vector<BrittleUpdate> BrittleUpstreams::takeUpdates(TimePoint Now) {
  std::vector<BrittleUpdate> Result;
  for (auto &[Pool, Entry] : m_States)
    if (std::exchange(Entry.m_BroadcastPending, false))
      Result.push_back({Pool, Entry.m_Limit, Now - Entry.m_StatedAt});
  return Result;
}

RejectionLimit BrittleUpstreams::limitOf(PoolId Pool, TimePoint Now) const {
  const auto Found = m_States.find(Pool);
  return Found == m_States.end() || Now - Found->second.m_StatedAt > MaxAge
             ? std::nullopt
             : Found->second.m_Limit;
}

std::size_t BrittleUpstreams::usableSlots(const Upstream &Target) {
  return static_cast<std::size_t>(
      std::max(1.0, UsableShare * static_cast<double>(slotsOf(Target))));
}

std::size_t BrittleUpstreams::senderCount(const Upstream &Target) const {
  return std::clamp<std::size_t>(m_Instances.size(), 1, usableSlots(Target));
}

/// Uses rendezvous hashing, so that a change of the list moves few shares.
std::size_t BrittleUpstreams::ownShare(const Upstream &Target) const {
  const auto Known = m_Shares.find(Target.m_Id);
  if (Known != m_Shares.end())
    return Known->second;
  const auto Score = [&](InstanceId Instance) {
    return pairHash(Target.m_Id.value(), Instance.value());
  };
  const std::uint64_t OwnScore = Score(m_Self);
  const auto Rank = static_cast<std::size_t>(
      std::ranges::count_if(m_Instances, [&](InstanceId Instance) {
        return Score(Instance) > OwnScore;
      }));
  const std::size_t Senders = senderCount(Target);
  const std::size_t Slots = usableSlots(Target);
  const std::size_t Share =
      Rank >= Senders ? 0 : Slots / Senders + (Rank < Slots % Senders ? 1 : 0);
  m_Shares[Target.m_Id] = Share;
  return Share;
}

void BrittleUpstreams::beginPlacement(PoolId Pool, double Utilization,
                                      double Random, TimePoint Now) {
  const auto Found = m_States.find(Pool);
  if (Found == m_States.end())
    return;
  State &Entry = Found->second;
  const bool IsFirst = Entry.m_MeasuredAt == TimePoint();
  const std::chrono::duration<double> Elapsed =
      IsFirst ? Duration::zero() : Now - Entry.m_MeasuredAt;
  const std::chrono::duration<double> Whole = MeanTime;
  Entry.m_Mean += (IsFirst ? 1 : std::min(1.0, Elapsed / Whole)) *
                  (Utilization - Entry.m_Mean);
  Entry.m_MeasuredAt = Now;
  if (Utilization > HighNow || Entry.m_Mean > HighMean)
    Entry.m_Probability *= std::exp2(-std::min(1.0, Elapsed / HalvingTime));
  else if (Entry.m_Mean <= LowMean)
    Entry.m_Probability =
        std::min(1.0, Entry.m_Probability + GrowthPerSecond * Elapsed.count());
  Entry.m_IsOpen = Random < Entry.m_Probability;
}

bool BrittleUpstreams::maySend(PoolId Pool, const Upstream &Target,
                               std::uint32_t OwnCalls, TimePoint Now) const {
  if (!limitOf(Pool, Now))
    return true;
  const auto Paused = m_PausedUntil.find(Target.m_Id);
  if (Paused != m_PausedUntil.end() && Now < Paused->second)
    return false;
  return OwnCalls <
         (m_States.at(Pool).m_IsOpen ? usableSlots(Target) : ownShare(Target));
}

/// With such pauses all instances together cause half of the rejections that
/// the upstream can stand.
void BrittleUpstreams::recordRejection(PoolId Pool, const Upstream &By,
                                       TimePoint Now) {
  const RejectionLimit Limit = limitOf(Pool, Now);
  if (!Limit)
    return;
  m_States.at(Pool).m_Probability = 0;
  constexpr double SafetyFactor = 2;
  const auto Callers = static_cast<double>(
      ownShare(By) > 0 ? senderCount(By) : m_Instances.size());
  const std::chrono::duration<double> Pause(SafetyFactor * Callers /
                                            std::max(*Limit, 1.0));
  m_PausedUntil[By.m_Id] =
      Now + std::clamp(std::chrono::duration_cast<Duration>(Pause), MinPause,
                       MaxPause);
}

void BrittleUpstreams::expire(TimePoint Now) {
  std::erase_if(m_PausedUntil,
                [&](const auto &Entry) { return Entry.second <= Now; });
  std::erase_if(m_States, [&](const auto &Entry) {
    return Now - Entry.second.m_StatedAt > MaxAge;
  });
  if (m_States.empty())
    m_Shares.clear();
}

} // namespace crowstep::balance
