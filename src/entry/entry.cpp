/// The entry daemon.
#include "entry/entry.h"

#include "core/log.h"

#include <glib.h>

namespace crowstep::entry {

namespace {

constexpr Duration RightCheckInterval = std::chrono::milliseconds(250);
constexpr Duration RecordCheckInterval = std::chrono::milliseconds(50);

} // namespace

Entry::Entry(EntrySettings Config)
    : m_Settings(std::move(Config)), m_Guard(m_Clock, m_Timers),
      m_Fleet(m_Settings.m_Homes, m_Clock, m_Timers, m_Directory),
      m_Links(m_Settings.m_Link, m_Timers, m_Metrics, m_Fleet),
      m_Alone(aloneConfig(), m_Directory, m_Clock, m_Timers),
      // The time, so that numbers are higher than those of an earlier start.
      m_Dispatched(m_Fleet, m_Alone, m_Guard, m_Clock, m_Timers,
                   static_cast<std::uint64_t>(g_get_real_time())),
      m_Claims(m_Clock, m_Timers, m_Links,
               [this](std::uint64_t Index) {
                 return m_Fleet.linkToClaimHome(Index);
               }),
      m_Upstream(m_Clock, m_Timers),
      m_Service({m_Clock, m_Timers, chosenPlacement(), m_Claims, m_Upstream,
                 m_Http, m_Settings.m_Limits},
                m_Directory,
                {[this] { return m_Fleet.rightToServe(); },
                 [this] { return m_Fleet.draining(); }},
                m_Metrics),
      m_RightCheck(m_Timers), m_RecordCheck(m_Timers) {
  m_Fleet.onTable([this] {
    m_Alone.refresh();
    m_Service.tableChanged();
  });
  m_Fleet.onUpstreams([this] { m_Alone.refresh(); });
  m_Fleet.onFrame([this](link::LinkId Link, const wire::Frame &Frame) {
    m_Dispatched.frame(Link, Frame);
    m_Claims.linkFrame(Frame);
  });
}

LocalPlacementConfig Entry::aloneConfig() {
  LocalPlacementConfig Result;
  Result.m_Self = instanceIdOf(m_Settings.m_Link.m_Name);
  Result.m_Zone = m_Settings.m_Link.m_Zone;
  switch (m_Settings.m_Placement) {
  case PlacementKind::Dispatcher:
    // All entries may lose their dispatchers at once, and together must not use
    // more slots than there are.
    Result.m_Divisor = [this] {
      return static_cast<std::uint32_t>(m_Fleet.members().size());
    };
    return Result;
  case PlacementKind::RoundRobin:
    Result.m_Policy.m_Policy = decision::PolicyKind::RoundRobin;
    break;
  case PlacementKind::LeastInFlight:
    Result.m_Policy.m_Policy = decision::PolicyKind::LeastInFlight;
    break;
  }
  Result.m_Divisor = [] { return 1U; };
  return Result;
}

Placement &Entry::chosenPlacement() {
  if (m_Settings.m_Placement == PlacementKind::Dispatcher)
    return m_Dispatched;
  return m_Alone;
}

void Entry::start() {
  m_Links.start();
  m_Fleet.start(m_Links);
  m_Service.listen(m_Settings.m_Listen);
  watchRight();
}

void Entry::stop(std::function<void()> Done) {
  m_Service.stop([this, Done = std::move(Done)] { waitForRecords(Done); });
}

void Entry::waitForRecords(const std::function<void()> &Done) {
  // If a call that ran is not recorded, its key stays "in progress" for a day.
  // During an outage, stop_limit_ms in [daemon] limits the wait.
  if (m_Claims.pending() == 0) {
    Done();
    return;
  }
  m_RecordCheck.start(RecordCheckInterval,
                      [this, Done] { waitForRecords(Done); });
}

void Entry::watchRight() {
  const bool HasRight = m_Fleet.rightToServe();
  if (HasRight != m_HeldRight)
    logEvent(HasRight ? LogEvent::EntryRightHeld : LogEvent::EntryRightLost);
  m_HeldRight = HasRight;
  m_RightCheck.start(RightCheckInterval, [this] { watchRight(); });
}

} // namespace crowstep::entry
