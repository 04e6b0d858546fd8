/// The entry daemon.
#include "entry/entry.h"

#include "core/log.h"

#include <glib.h>

namespace crowstep::entry {

namespace {

constexpr Duration RightCheckInterval = std::chrono::milliseconds(250);
constexpr Duration RecordCheckInterval = std::chrono::milliseconds(50);

} // namespace

Entry::Entry(EntrySettings Chosen)
    : m_Settings(std::move(Chosen)), m_Guard(m_Clock, m_Timers),
      m_Fleet(m_Settings.m_Homes, m_Clock, m_Timers, m_Directory),
      m_Links(m_Settings.m_Link, m_Timers, m_Metrics, m_Fleet),
      m_Alone(aloneConfig(), m_Directory, m_Clock, m_Timers),
      // Bids of an earlier start of this entry have lower numbers.
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
    // Every entry may be cut off at once; together they must not overcommit.
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
  // A call that ran and is not recorded would leave its key "in progress" for
  // a day; [daemon] stop_limit_ms ends the wait in an outage.
  if (m_Claims.pending() == 0) {
    Done();
    return;
  }
  m_RecordCheck.start(RecordCheckInterval,
                      [this, Done] { waitForRecords(Done); });
}

void Entry::watchRight() {
  const bool Holds = m_Fleet.rightToServe();
  if (Holds != m_HeldRight)
    logEvent(Holds ? LogEvent::EntryRightHeld : LogEvent::EntryRightLost);
  m_HeldRight = Holds;
  m_RightCheck.start(RightCheckInterval, [this] { watchRight(); });
}

} // namespace crowstep::entry
