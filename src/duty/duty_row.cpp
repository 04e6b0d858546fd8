/// A row of the table service with the state of a duty.
#include "duty/duty_row.h"

#include "core/log.h"
#include "duty/duty_error.h"

#include <utility>

namespace crowstep::duty {

DutyRow::DutyRow(std::string Key, const Clock &Time,
                 platform::TableService &Store, Metrics &Stats, Handler OnText)
    : m_Key(std::move(Key)), m_Clock(Time), m_Store(Store),
      m_Unreadable(Stats.counter("crowstep_duty_rows_unreadable_total",
                                 {{"row", m_Key}})),
      m_OnText(std::move(OnText)) {}

void DutyRow::load() {
  m_Busy = true;
  m_Store.read(platform::DutyTableName, m_Key,
               [this, Alive = std::weak_ptr<bool>(m_Alive)](
                   const platform::ReadResult &Result) {
                 if (!Alive.expired())
                   handleLoaded(Result);
               });
}

void DutyRow::handleLoaded(const platform::ReadResult &Result) {
  m_Busy = false;
  if (const auto *Rows = std::get_if<std::vector<platform::Row>>(&Result))
    apply(Rows->empty() ? std::nullopt : std::optional(Rows->front()));
  else
    m_RetryAt = m_Clock.now() + RetryDelay;
}

void DutyRow::write(const std::string &Text) {
  m_Busy = true;
  m_Known = false;
  m_Store.write(platform::DutyTableName, {{m_Key, m_Version, Text}},
                [this, Alive = std::weak_ptr<bool>(m_Alive)](
                    const platform::WriteResult &Result) {
                  if (!Alive.expired())
                    handleWritten(Result);
                });
}

/// A write without an answer may have taken effect, and one that another
/// process was faster than has not: only the row itself tells.
void DutyRow::handleWritten(const platform::WriteResult &Result) {
  m_Busy = false;
  const auto *Outcomes =
      std::get_if<std::vector<platform::RowOutcome>>(&Result);
  if (Outcomes != nullptr && Outcomes->at(0).m_Written)
    apply(Outcomes->at(0).m_CurrentRow);
  else
    m_RetryAt = m_Clock.now() + RetryDelay;
}

void DutyRow::apply(const std::optional<platform::Row> &Row) {
  m_Version = Row ? Row->m_Version : platform::RowVersion();
  m_Era = m_Store.era();
  try {
    m_OnText(Row ? std::optional(Row->m_Value) : std::nullopt);
    m_Known = true;
  } catch (const DutyRowError &Failure) {
    m_RetryAt = m_Clock.now() + RetryDelay;
    m_Unreadable.add();
    logEvent(LogEvent::DutyRowUnreadable,
             {{"row", m_Key}, {"why", Failure.what()}});
  }
}

} // namespace crowstep::duty
