/// Decides when two neighbours must exchange their full views.
#include "membership/view_exchange.h"

namespace crowstep::membership {

namespace {

/// Under a constant stream of updates the hashes never settle. After this many
/// differing heartbeats in a row the view is sent anyway.
constexpr std::uint32_t MaxDifferingHeartbeats = 10;

} // namespace

bool ViewExchange::differs(LinkId Link, std::uint64_t Own,
                           std::uint64_t Theirs) {
  const auto [Found, IsNew] = m_Last.try_emplace(Link);
  Seen &Last = Found->second;
  const bool Same = Own == Theirs;
  const bool Unchanged =
      Last.m_Count > 0 && Last.m_Own == Own && Last.m_Theirs == Theirs;
  Last.m_Own = Own;
  Last.m_Theirs = Theirs;
  Last.m_Count = Same ? 0 : Last.m_Count + 1;
  if (Same || !(IsNew || Unchanged || Last.m_Count >= MaxDifferingHeartbeats))
    return false;
  Last.m_Count = 0;
  return true;
}

} // namespace crowstep::membership
