/// Queries on the state of a class.
#include "decision/class_base.h"

#include <algorithm>

namespace crowstep::decision {

namespace {

constexpr double MillisecondsPerSecond = 1000.0;

} // namespace

std::size_t ClassState::demand() const {
  const std::size_t Ready = m_OnTime.m_ReadyBidCount + m_Late.m_ReadyBidCount;
  const std::uint32_t Limit = m_Contract.m_MaxConcurrent;
  if (Limit == 0)
    return Ready;
  const std::size_t Room = Limit > m_Running ? Limit - m_Running : 0;
  return std::min(Ready, Room);
}

double ClassState::effectiveFloor() const {
  if (m_FloorSlots <= 0.0)
    return 0.0;
  const double Behind =
      m_FloorDeficit / m_FloorSlots / tuning::FloorCatchUpSeconds;
  return m_FloorSlots *
         (1.0 + tuning::FloorCatchUpShare * std::min(1.0, Behind));
}

WorkspaceUsage &ClassState::usageOf(WorkspaceId Workspace, TimePoint Now) {
  const auto [It, IsNew] = m_Workspaces.try_emplace(Workspace);
  if (IsNew) {
    It->second.m_RateLimit.setRate(m_Contract.m_WorkspaceRate, Now);
    It->second.m_TokenLimit.setRate(m_Contract.m_WorkspaceTokenRate, Now);
  }
  return It->second;
}

void ClassState::recordFirstToken(Duration Latency) {
  const double Seconds = toSeconds(Latency);
  m_FirstTokenTimes.add(Seconds * MillisecondsPerSecond);
  m_FirstTokenMean.add(Seconds);
  updateAllowance();
}

void ClassState::updateAllowance() {
  if (m_FirstTokenTimes.count() < tuning::MinSamples)
    return;
  const Duration Learned =
      fromSeconds(m_FirstTokenTimes.value() / MillisecondsPerSecond);
  m_Allowance = std::min(Learned, m_Contract.m_FirstTokenTarget / 2);
}

std::size_t RequestIdHash::operator()(const RequestId &Id) const noexcept {
  constexpr std::uint64_t Mix = 0x9E3779B97F4A7C15;
  const std::uint64_t Mixed = Id.m_Entry.value() ^ (Id.m_Number * Mix);
  return static_cast<std::size_t>(Mixed ^ (Mixed >> 32));
}

} // namespace crowstep::decision
