/// Holds a lease in the table service, or tries to.
#include "lease/lease_client.h"

#include "core/log.h"

#include <utility>

namespace crowstep::lease {

namespace {

constexpr std::chrono::milliseconds TickInterval{100};

std::string textOf(const std::optional<FencingNumber> &Number) {
  return Number ? std::to_string(Number->value()) : std::string("none");
}

} // namespace

LeaseClient::LeaseClient(LeaseConfig Config, const Clock &Time,
                         Scheduler &Timers, platform::TableService &Store,
                         Metrics &Stats, std::function<void()> OnEvent)
    : m_Config(std::move(Config)), m_Clock(Time), m_Store(Store),
      m_OnEvent(std::move(OnEvent)), m_Core(m_Config),
      m_UnreadableRows(Stats.counter("crowstep_lease_rows_unreadable_total")),
      m_Held(Stats.gauge("crowstep_lease_held", {{"lease", m_Config.m_Key}})),
      m_Timer(Timers) {}

void LeaseClient::setWanted(bool Wanted) {
  if (Wanted == m_Wanted)
    return;
  m_Wanted = Wanted;
  handle(LeaseWanted{Wanted});
  m_Timer.start(TickInterval, [this] { tick(); });
}

std::optional<FencingNumber> LeaseClient::fencingFor(Duration Timeout) const {
  return m_Core.fencingForOrder(m_Clock.readNow(), Timeout);
}

void LeaseClient::tick() {
  handle(LeaseTick());
  m_OnEvent();
  if (m_Core.needsTicks())
    m_Timer.start(TickInterval, [this] { tick(); });
}

void LeaseClient::handle(const LeaseEvent &Event) {
  const TimePoint Now = m_Clock.readNow();
  LeaseActions Actions;
  if (const auto Era = m_Store.era())
    Actions = m_Core.handle(Now, LeaseEraSeen{*Era});
  const LeaseActions Further = m_Core.handle(Now, Event);
  Actions.insert(Actions.end(), Further.begin(), Further.end());
  for (const LeaseAction &Action : Actions)
    std::visit([this](const auto &Alternative) { carryOut(Alternative); },
               Action);
  reportChange();
  reportUnreadableRow();
}

void LeaseClient::carryOut(const ReadLease &) {
  m_Store.read(
      platform::LeaseTableName, m_Config.m_Key,
      guarded<platform::ReadResult>([this](const platform::ReadResult &Result) {
        handleReadResult(Result);
      }));
}

void LeaseClient::handleReadResult(const platform::ReadResult &Result) {
  const auto *Rows = std::get_if<std::vector<platform::Row>>(&Result);
  if (Rows == nullptr)
    handle(LeaseCallFailed());
  else if (Rows->empty())
    handle(LeaseRead());
  else
    handle(LeaseRead{Rows->front()});
  m_OnEvent();
}

void LeaseClient::carryOut(const WriteLease &Action) {
  const TimePoint SentAt = m_Clock.readNow();
  m_Store.write(platform::LeaseTableName, {Action.m_Write},
                guarded<platform::WriteResult>(
                    [this, SentAt](const platform::WriteResult &Result) {
                      handleWriteResult(SentAt, Result);
                    }));
}

void LeaseClient::handleWriteResult(TimePoint SentAt,
                                    const platform::WriteResult &Result) {
  if (const auto *Outcomes =
          std::get_if<std::vector<platform::RowOutcome>>(&Result))
    handle(LeaseWritten{SentAt, Outcomes->at(0)});
  else
    handle(LeaseCallFailed());
  m_OnEvent();
}

void LeaseClient::reportChange() {
  const auto Number = fencingFor(Duration::zero());
  m_Held.set(Number ? 1 : 0);
  if (Number == m_LoggedNumber)
    return;
  logEvent(Number ? LogEvent::LeaseAcquired : LogEvent::LeaseLost,
           {{"lease", m_Config.m_Key},
            {"number", textOf(Number)},
            {"before", textOf(m_LoggedNumber)}});
  m_LoggedNumber = Number;
}

void LeaseClient::reportUnreadableRow() {
  const bool Unreadable = m_Core.isRowUnreadable();
  if (Unreadable && !m_UnreadableLogged) {
    m_UnreadableRows.add();
    logEvent(LogEvent::LeaseRowUnreadable, {{"lease", m_Config.m_Key}});
  }
  m_UnreadableLogged = Unreadable;
}

} // namespace crowstep::lease
