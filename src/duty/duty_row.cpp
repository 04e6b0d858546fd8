/// A row of the table service with the state of a duty.
#include "duty/duty_row.h"

#include "core/log.h"
#include "core/untrusted_json.h"
#include "duty/duty_error.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace crowstep::duty {

namespace {

using nlohmann::json;

constexpr const char *EraField = "era";

std::string withEra(const std::string &Text,
                    std::optional<platform::TableEra> Era) {
  if (!Era)
    return Text;
  json Value = json::parse(Text);
  Value[EraField] = Era->value();
  return Value.dump();
}

/// Returns the era in which a row was written; none: its writer knew none.
/// \throws DutyRowError.
std::optional<platform::TableEra> statedEra(const std::string &Text) {
  try {
    const json Value = parseUntrustedJson(Text);
    if (!Value.contains(EraField))
      return std::nullopt;
    return platform::TableEra(
        wholeNumberOf(Value.at(EraField), EraField,
                      std::numeric_limits<std::uint64_t>::max()));
  } catch (const json::exception &Failure) {
    throw DutyRowError(Failure.what());
  }
}

std::string textOf(std::optional<platform::TableEra> Era) {
  return Era ? std::to_string(Era->value()) : std::string("none");
}

} // namespace

DutyRow::DutyRow(std::string Key, const Clock &Time,
                 platform::TableService &Store, Metrics &Stats, Handler OnText)
    : m_Key(std::move(Key)), m_Clock(Time), m_Store(Store),
      m_Unreadable(Stats.counter("crowstep_duty_rows_unreadable_total",
                                 {{"row", m_Key}})),
      m_Outdated(
          Stats.counter("crowstep_duty_rows_outdated_total", {{"row", m_Key}})),
      m_OnText(std::move(OnText)) {}

bool DutyRow::setTerm(lease::FencingNumber HeldSince) {
  if (m_Term == HeldSince)
    return false;
  m_Term = HeldSince;
  m_HasState = false;
  m_Known = false;
  return true;
}

void DutyRow::load() {
  m_Busy = true;
  m_Store.read(platform::DutyTableName, m_Key,
               [this, SentOn = basis(), Alive = std::weak_ptr<bool>(m_Alive)](
                   const platform::ReadResult &Result) {
                 if (!Alive.expired())
                   handleLoaded(Result, SentOn);
               });
}

/// An answer to a call of an earlier term or era may be older than what is
/// known by now: the row has to be read again.
void DutyRow::handleLoaded(const platform::ReadResult &Result,
                           const CallBasis &SentOn) {
  m_Busy = false;
  const auto *Rows = std::get_if<std::vector<platform::Row>>(&Result);
  if (Rows == nullptr)
    m_RetryAt = m_Clock.now() + RetryDelay;
  else if (SentOn == basis())
    apply(Rows->empty() ? std::nullopt : std::optional(Rows->front()));
}

void DutyRow::write(const std::string &Text) {
  m_Busy = true;
  m_Known = false;
  m_Store.write(platform::DutyTableName,
                {{m_Key, m_Version, withEra(Text, m_Store.era())}},
                [this, SentOn = basis(), Alive = std::weak_ptr<bool>(m_Alive)](
                    const platform::WriteResult &Result) {
                  if (!Alive.expired())
                    handleWritten(Result, SentOn);
                });
}

/// A write without an answer may have taken effect, and one that another
/// process was faster than has not: only the row itself tells.
void DutyRow::handleWritten(const platform::WriteResult &Result,
                            const CallBasis &SentOn) {
  m_Busy = false;
  const auto *Outcomes =
      std::get_if<std::vector<platform::RowOutcome>>(&Result);
  if (Outcomes == nullptr || !Outcomes->at(0).m_Written)
    m_RetryAt = m_Clock.now() + RetryDelay;
  else if (SentOn == basis())
    apply(Outcomes->at(0).m_CurrentRow);
}

RowUse DutyRow::useOf(const std::optional<platform::Row> &Row) const {
  if (Row && statedEra(Row->m_Value) == m_Era)
    return RowUse::Adopt;
  return m_HasState ? RowUse::Keep : RowUse::Begin;
}

void DutyRow::reportOutdated(const platform::Row &Row, RowUse Use) {
  m_Outdated.add();
  logEvent(LogEvent::DutyRowOutdated,
           {{"row", m_Key},
            {"written_in", textOf(statedEra(Row.m_Value))},
            {"era", textOf(m_Era)},
            {"state_known", Use == RowUse::Keep ? "1" : "0"}});
}

void DutyRow::apply(const std::optional<platform::Row> &Row) {
  m_Version = Row ? Row->m_Version : platform::RowVersion();
  m_Era = m_Store.era();
  try {
    const RowUse Use = useOf(Row);
    m_OnText(Row ? std::optional(Row->m_Value) : std::nullopt, Use);
    m_Known = true;
    m_HasState = true;
    m_IsStored = Use == RowUse::Adopt;
    if (Row && Use != RowUse::Adopt)
      reportOutdated(*Row, Use);
  } catch (const DutyRowError &Failure) {
    m_RetryAt = m_Clock.now() + RetryDelay;
    m_Unreadable.add();
    logEvent(LogEvent::DutyRowUnreadable,
             {{"row", m_Key}, {"why", Failure.what()}});
  }
}

} // namespace crowstep::duty
