/// Queries on the state of an upstream.
#include "decision/upstream_state_base.h"

#include <algorithm>

namespace crowstep::decision {

void PeakWindow::add(std::uint32_t Used, TimePoint Now) {
  while (!m_Samples.empty() && m_Samples.back().second <= Used)
    m_Samples.pop_back();
  m_Samples.emplace_back(Now, Used);
  // A value holds until the time of the next one, so one older sample is kept.
  while (m_Samples.size() > 1 &&
         m_Samples[1].first + tuning::OwnLoadWindow <= Now)
    m_Samples.pop_front();
}

std::uint32_t PeakWindow::peak(TimePoint Now) const {
  for (std::size_t I = 0; I < m_Samples.size(); ++I)
    if (I + 1 == m_Samples.size() ||
        m_Samples[I + 1].first + tuning::OwnLoadWindow > Now)
      return m_Samples[I].second;
  return 0;
}

double UpstreamState::load(TimePoint Now) const {
  const std::uint32_t Busy = m_UsedSlots + externalLoad(Now);
  return static_cast<double>(Busy) / static_cast<double>(std::max(1U, m_Slots));
}

bool hasModel(const Upstream &Candidate, const std::string &Model) {
  const auto *Kind = std::get_if<Engine>(&Candidate.m_Kind);
  if (Kind == nullptr || Model.empty() || Kind->m_Models.empty())
    return true;
  return std::find(Kind->m_Models.begin(), Kind->m_Models.end(), Model) !=
         Kind->m_Models.end();
}

bool canResume(const UpstreamState &State) {
  const auto *Kind = std::get_if<Engine>(&State.m_Upstream.m_Kind);
  return Kind != nullptr && Kind->m_CanResume;
}

} // namespace crowstep::decision
