/// Call records and delayed load reports.
#include "standin/upstream_state.h"

#include <array>
#include <cinttypes>
#include <cstdio>

using nlohmann::json;

namespace crowstep::standin {

namespace {

constexpr std::size_t MaxKeptEvents = 1024;
constexpr std::size_t MaxReportedEvents = 256;
constexpr Duration SnapshotInterval = std::chrono::milliseconds(5);

std::string hexOf(std::uint64_t Value) {
  std::array<char, 20> Text{};
  std::snprintf(Text.data(), Text.size(), "%016" PRIx64, Value);
  return Text.data();
}

} // namespace

std::size_t CallRecords::add(CallRecord Call) {
  m_Calls.push_back(std::move(Call));
  return m_Calls.size() - 1;
}

json CallRecords::sumsJson() const {
  std::uint64_t Generated = 0;
  std::uint64_t Finished = 0;
  std::uint64_t Cancelled = 0;
  for (const CallRecord &Call : m_Calls) {
    Generated += Call.m_Generated;
    Finished += Call.m_Finished ? 1 : 0;
    Cancelled += Call.m_Cancelled ? 1 : 0;
  }
  return {{"count", m_Calls.size()},
          {"generated", Generated},
          {"finished", Finished},
          {"cancelled", Cancelled}};
}

json CallRecords::allJson() const {
  json Result = sumsJson();
  Result["calls"] = json::array();
  for (const CallRecord &Call : m_Calls)
    Result["calls"].push_back({{"request_id", Call.m_RequestId},
                               {"key", Call.m_IdempotencyKey},
                               {"priority", Call.m_Priority},
                               {"generated", Call.m_Generated},
                               {"from", Call.m_FirstToken},
                               {"finished", Call.m_Finished},
                               {"cancelled", Call.m_Cancelled}});
  return Result;
}

void LoadReports::addSnapshot(LoadSnapshot Snapshot) {
  Snapshot.m_Sequence = ++m_LastSnapshot;
  // Keeps only the last of several snapshots close together; otherwise the
  // history of a busy engine with a long lag would grow large.
  const std::size_t Kept = m_Snapshots.size();
  if (Kept > 1 &&
      Snapshot.m_TakenAt - m_Snapshots[Kept - 2].m_TakenAt < SnapshotInterval)
    m_Snapshots.pop_back();
  m_Snapshots.push_back(Snapshot);
}

void LoadReports::addCacheEvent(std::uint64_t Prefix, bool Added,
                                TimePoint Now) {
  m_Events.push_back({Now, ++m_LastEvent, Prefix, Added});
  if (m_Events.size() > MaxKeptEvents)
    m_Events.pop_front();
}

json LoadReports::visibleReport(TimePoint Now, bool Draining) {
  const TimePoint Newest = Now - m_Lag;
  while (m_Snapshots.size() > 1 && m_Snapshots[1].m_TakenAt <= Newest)
    m_Snapshots.pop_front();
  LoadSnapshot Visible;
  if (!m_Snapshots.empty() && m_Snapshots.front().m_TakenAt <= Newest)
    Visible = m_Snapshots.front();
  json Events = json::array();
  for (auto Event = m_Events.rbegin();
       Event != m_Events.rend() && Events.size() < MaxReportedEvents; ++Event)
    if (Event->m_ChangedAt <= Newest)
      Events.push_back({{"sequence", Event->m_Sequence},
                        {"prefix", hexOf(Event->m_Prefix)},
                        {"added", Event->m_Added}});
  std::reverse(Events.begin(), Events.end());
  const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(m_Lag);
  return {{"sequence", Visible.m_Sequence},
          {"age_ms", Age.count()},
          {"running", Visible.m_Running},
          {"waiting", Visible.m_Waiting},
          {"free_cache_blocks", Visible.m_FreeBlocks},
          {"leaving", Draining},
          {"cache_events", std::move(Events)}};
}

} // namespace crowstep::standin
