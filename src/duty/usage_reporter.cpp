/// Makes and sends the usage reports.
#include "duty/usage_reporter.h"

#include "core/log.h"

#include <algorithm>
#include <map>

namespace crowstep::duty {

namespace {

std::string textOf(UsageWindow Window) {
  return std::to_string(Window.value());
}

std::uint64_t sumOf(const WorkspaceCounts &Counts) {
  std::uint64_t Result = 0;
  for (const auto &[Workspace, Count] : Counts)
    Result += Count;
  return Result;
}

} // namespace

UsageReporter::UsageReporter(const UsageSettings &Config, const Clock &Time,
                             platform::TableService &Store, DutyCaller &Caller,
                             UsageMeter &Meter, Metrics &Stats)
    : m_Config(Config), m_Clock(Time), m_Store(Store), m_Caller(Caller),
      m_Meter(Meter), m_Metrics(Stats),
      m_Missed(Stats.counter("crowstep_usage_windows_missed_total")),
      m_StoredRow(
          "usage", Time, Store, Stats,
          [this](const std::optional<std::string> &Text) { applyRow(Text); }) {}

void UsageReporter::run(std::optional<lease::FencingNumber> Fencing) {
  if (Fencing && Fencing != m_Fencing) {
    // Another holder may have changed the row meanwhile.
    m_Fencing = Fencing;
    m_StoredRow.invalidate();
  }
  if (!Fencing || m_Sending || !m_StoredRow.mayCall())
    return;
  if (!m_StoredRow.isKnown())
    m_StoredRow.load();
  else if (isDue(m_Row.m_Next) && m_Row.m_Pending.size() < MaxPending)
    addDueReports();
  else if (!m_Row.m_Pending.empty() && m_Clock.now() >= m_RetryAt)
    sendFirst();
}

// ---- The row ----------------------------------------------------------------

/// Reports begin with the window in which the first holder finds no row.
void UsageReporter::applyRow(const std::optional<std::string> &Text) {
  const UsageRow Stored =
      Text ? decodeUsageRow(*Text) : UsageRow{m_Meter.currentWindow(), {}};
  const auto Era = m_Store.era();
  const bool IsRestored = m_RowEra && Era && *Era > *m_RowEra;
  m_Row = IsRestored ? mergedWithKnown(Stored) : Stored;
  m_RowEra = Era;
}

/// The row may be older than what this process knows: a window that it has
/// reported must not be counted again, and one that it has written down not be
/// left out.
UsageRow UsageReporter::mergedWithKnown(const UsageRow &Stored) const {
  std::map<UsageWindow, UsageReport> Pending;
  for (const UsageRow &From : {m_Row, Stored})
    for (const UsageReport &Report : From.m_Pending)
      if (!m_Ended.contains(Report.m_Window))
        Pending.try_emplace(Report.m_Window, Report);
  UsageRow Result;
  Result.m_Next = std::max(m_Row.m_Next, Stored.m_Next);
  for (auto &[Window, Report] : Pending)
    Result.m_Pending.push_back(std::move(Report));
  return Result;
}

bool UsageReporter::isDue(UsageWindow Window) const {
  return m_Meter.timeSinceEnd(Window) >= m_Config.collectTime();
}

/// Writes the reports of the windows that have ended. Reports that were
/// accepted leave the row with the same write.
void UsageReporter::addDueReports() {
  UsageRow NewRow = m_Row;
  const UsageCounts &Counts = m_Meter.counts();
  const std::uint64_t Oldest =
      m_Meter.currentWindow().value() - UsageCounts::KeptWindows;
  if (NewRow.m_Next.value() < Oldest) {
    m_Missed.add(Oldest - NewRow.m_Next.value());
    logEvent(LogEvent::UsageWindowsMissed, {{"first", textOf(NewRow.m_Next)},
                                            {"next", std::to_string(Oldest)}});
    NewRow.m_Next = UsageWindow(Oldest);
  }
  while (isDue(NewRow.m_Next) && NewRow.m_Pending.size() < MaxPending) {
    NewRow.m_Pending.push_back({NewRow.m_Next, Counts.total(NewRow.m_Next)});
    NewRow.m_Next = UsageWindow(NewRow.m_Next.value() + 1);
  }
  m_StoredRow.write(encodeUsageRow(NewRow));
}

// ---- Reports ----------------------------------------------------------------

void UsageReporter::sendFirst() {
  const UsageReport Report = m_Row.m_Pending.front();
  m_Sending = m_Caller.reportUsage(
      Report, [this, Report,
               Alive = std::weak_ptr<bool>(m_Alive)](DutyOutcome Outcome) {
        if (!Alive.expired())
          handleSent(Report, Outcome);
      });
}

/// A report whose outcome is uncertain is repeated until it has one.
void UsageReporter::handleSent(const UsageReport &Report, DutyOutcome Outcome) {
  m_Sending = false;
  m_Metrics
      .counter("crowstep_usage_reports_total",
               {{"outcome", std::string(nameOf(Outcome))}})
      .add();
  logEvent(LogEvent::UsageReported,
           {{"window", textOf(Report.m_Window)},
            {"outcome", std::string(nameOf(Outcome))},
            {"workspaces", std::to_string(Report.m_Counts.size())},
            {"requests", std::to_string(sumOf(Report.m_Counts))},
            {"age_us",
             std::to_string(m_Meter.timeSinceEnd(Report.m_Window).count())}});
  const bool Ended =
      Outcome == DutyOutcome::Accepted || Outcome == DutyOutcome::Rejected;
  if (Ended) {
    m_Ended.insert(Report.m_Window);
    if (m_Ended.size() > UsageCounts::KeptWindows)
      m_Ended.erase(m_Ended.begin());
    // The row keeps it until the next write: its repeat would do no harm.
    std::erase(m_Row.m_Pending, Report);
  } else {
    m_RetryAt = m_Clock.now() + RetryDelay;
  }
}

} // namespace crowstep::duty
