/// Decides when two neighbours must exchange their full views.
#include "membership/view_exchange.h"

namespace crowstep::membership {

namespace {

/// Under a constant stream of updates the hashes never settle. After this many
/// differing heartbeats in a row the view is sent anyway.
constexpr std::uint32_t MaxDifferingHeartbeats = 10;

} // namespace

bool ViewExchange::shouldSendView(LinkId Link, std::uint64_t Own,
                                  std::uint64_t Theirs) {
  const auto [Found, IsNew] = m_LastHashes.try_emplace(Link);
  LinkHashes &Last = Found->second;
  const bool Same = Own == Theirs;
  const bool Unchanged =
      Last.m_DifferingCount > 0 && Last.m_Own == Own && Last.m_Theirs == Theirs;
  Last.m_Own = Own;
  Last.m_Theirs = Theirs;
  Last.m_DifferingCount = Same ? 0 : Last.m_DifferingCount + 1;
  if (Same ||
      !(IsNew || Unchanged || Last.m_DifferingCount >= MaxDifferingHeartbeats))
    return false;
  Last.m_DifferingCount = 0;
  return true;
}

} // namespace crowstep::membership
