/// Requests that upstreams began, counted for the usage reports.
#include "duty/usage_counts.h"

namespace crowstep::duty {

void UsageCounts::setCurrentWindow(UsageWindow Current) {
  if (Current == m_Current)
    return;
  m_Current = Current;
  const auto IsDropped = [this](const Key &Counter) {
    return !isKept(std::get<UsageWindow>(Counter));
  };
  std::erase_if(m_Counts,
                [&](const auto &Entry) { return IsDropped(Entry.first); });
  std::erase_if(m_Changed, IsDropped);
}

/// Clocks of instances differ a little: a peer may already count in the next
/// window.
bool UsageCounts::isKept(UsageWindow Window) const {
  return Window.value() + KeptWindows >= m_Current.value() &&
         Window.value() <= m_Current.value() + 1;
}

void UsageCounts::add(const UsageSource &Source, const std::string &Workspace) {
  const Key Counter = {m_Current, Source, Workspace};
  ++m_Counts[Counter];
  m_Changed.insert(Counter);
}

bool UsageCounts::merge(const UsageCount &Received) {
  if (!isKept(Received.m_Window))
    return false;
  const Key Counter = {Received.m_Window, Received.m_Source,
                       Received.m_Workspace};
  const auto Known = m_Counts.find(Counter);
  if (Received.m_Count > (Known == m_Counts.end() ? 0 : Known->second)) {
    m_Counts[Counter] = Received.m_Count;
    m_Changed.insert(Counter);
  }
  return true;
}

UsageCount UsageCounts::countOf(const Key &Counter, std::uint64_t Value) {
  const auto &[Window, Source, Workspace] = Counter;
  return {Source, Window, Workspace, Value};
}

std::vector<UsageCount> UsageCounts::takeChanges() {
  std::vector<UsageCount> Result;
  for (const Key &Counter : m_Changed)
    Result.push_back(countOf(Counter, m_Counts.at(Counter)));
  m_Changed.clear();
  return Result;
}

std::vector<UsageCount> UsageCounts::all() const {
  std::vector<UsageCount> Result;
  for (const auto &[Counter, Value] : m_Counts)
    Result.push_back(countOf(Counter, Value));
  return Result;
}

WorkspaceCounts UsageCounts::total(UsageWindow Window) const {
  WorkspaceCounts Result;
  for (auto Entry = m_Counts.lower_bound({Window, {}, {}});
       Entry != m_Counts.end() && std::get<UsageWindow>(Entry->first) == Window;
       ++Entry)
    Result[std::get<std::string>(Entry->first)] += Entry->second;
  return Result;
}

} // namespace crowstep::duty
