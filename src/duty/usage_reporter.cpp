/// Makes and sends the usage reports.
#include "duty/usage_reporter.h"

#include "core/log.h"

#include <algorithm>

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
    : m_Config(Config), m_Clock(Time), m_Caller(Caller), m_Meter(Meter),
      m_Store(Store), m_Metrics(Stats),
      m_Missed(Stats.counter("crowstep_usage_windows_missed_total")),
      m_Unknown(Stats.counter("crowstep_usage_windows_unknown_total")),
      m_StoredRow("usage", Time, Store, Stats,
                  [this](const std::optional<std::string> &Text, RowUse Use) {
                    applyRow(Text, Use);
                  }) {}

void UsageReporter::recordEra() {
  if (m_Store.era() == m_Era)
    return;
  m_Era = m_Store.era();
  m_EraSeenIn = m_Meter.currentWindow();
}

void UsageReporter::run(std::optional<lease::FencingNumber> Fencing) {
  recordEra();
  if (Fencing)
    m_StoredRow.setTerm(m_Caller.heldSince());
  if (!Fencing || m_Sending || !m_StoredRow.mayCall())
    return;
  if (!m_StoredRow.isKnown())
    m_StoredRow.load();
  else if (isDue(m_Row.m_Next) && m_Row.m_Pending.size() < MaxPending)
    addDueReports();
  else if (!m_StoredRow.isStored())
    m_StoredRow.write(encodeUsageRow(m_Row));
  else if (!m_Row.m_Pending.empty() && m_Clock.now() >= m_RetryAt)
    sendFirst();
}

// ---- The row ----------------------------------------------------------------

void UsageReporter::applyRow(const std::optional<std::string> &Text,
                             RowUse Use) {
  const auto Stored =
      Text ? std::optional(decodeUsageRow(*Text)) : std::nullopt;
  switch (Use) {
  case RowUse::Adopt:
    m_Row = *Stored;
    break;
  case RowUse::Begin:
    m_Row = beginAfter(Stored);
    break;
  case RowUse::Keep:
    break;
  }
}

/// Reports begin with the current window. Any window that has ended may have
/// been reported by a holder whose row is lost, also one that is not due yet if
/// that holder's clock was ahead. Without a row nobody has reported in this
/// era: then the window counts in which the era was first seen, so that those
/// of a deployment's first seconds are not lost.
UsageRow UsageReporter::beginAfter(const std::optional<UsageRow> &Outdated) {
  if (!Outdated && m_Era && m_Caller.isFirstOfEra())
    return {m_EraSeenIn, {}};
  const UsageWindow Current = m_Meter.currentWindow();
  if (Outdated && Outdated->m_Next < Current) {
    m_Unknown.add(Current.value() - Outdated->m_Next.value());
    logEvent(LogEvent::UsageWindowsUnknown,
             {{"first", textOf(Outdated->m_Next)}, {"next", textOf(Current)}});
  }
  return {Current, {}};
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
  if (Ended)
    // The row keeps it until the next write: its repeat would do no harm.
    std::erase(m_Row.m_Pending, Report);
  else
    m_RetryAt = m_Clock.now() + RetryDelay;
}

} // namespace crowstep::duty
