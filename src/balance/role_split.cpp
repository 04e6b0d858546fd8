/// How many engines of a service take short prompts only.
#include "balance/role_split.h"

#include <algorithm>
#include <cmath>

namespace crowstep::balance {

namespace {

/// A token of a short prompt counts this many times: its callers notice pauses
/// that others don't, so their engines must be less busy.
constexpr double ShortWeight = 1.5;

/// Before any work was seen a fifth is taken for short prompts, and as if this
/// much work had shown it.
constexpr WorkTokens Prior = {20000, 80000};

} // namespace

void RoleSplit::add(const WorkTokens &Work, TimePoint Now) {
  const double Decay =
      std::exp(-std::chrono::duration<double>(Now - m_At).count() /
               std::chrono::duration<double>(Memory).count());
  m_At = Now;
  m_Recent.m_Short = m_Recent.m_Short * Decay + Work.m_Short;
  m_Recent.m_Long = m_Recent.m_Long * Decay + Work.m_Long;
}

std::size_t RoleSplit::shortEngines(std::size_t Engines) const {
  if (Engines < 2)
    return 0;
  const double Short = ShortWeight * (m_Recent.m_Short + Prior.m_Short);
  const double All = Short + m_Recent.m_Long + Prior.m_Long;
  const auto Count = static_cast<std::size_t>(
      std::lround(static_cast<double>(Engines) * Short / All));
  return std::clamp<std::size_t>(Count, 1, Engines / 2);
}

} // namespace crowstep::balance
