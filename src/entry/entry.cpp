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
    : m_Settings(std::move(Config)), m_PauseGuard(m_Clock, m_Timers),
      m_DispatcherLinks(m_Settings.m_HomeAddresses, m_Clock, m_Timers,
                        m_Directory),
      m_Links(m_Settings.m_Link, m_Timers, m_Metrics, m_DispatcherLinks),
      m_LocalPlacement(localPlacementConfig(), m_Directory, m_Clock, m_Timers),
      // The time, so that numbers are higher than those of an earlier start.
      m_DispatcherPlacement(m_DispatcherLinks, m_LocalPlacement, m_PauseGuard,
                            m_Clock, m_Timers,
                            static_cast<std::uint64_t>(g_get_real_time())),
      m_Claims(m_Clock, m_Timers, m_Links,
               [this](std::uint64_t Index) {
                 return m_DispatcherLinks.linkToClaimHome(Index);
               }),
      m_BrokenAnswers(m_Metrics),
      m_UpstreamClient(m_Clock, m_Timers, {}, &m_BrokenAnswers),
      m_Service({m_Clock, m_Timers, configuredPlacement(), m_Claims,
                 m_UpstreamClient, m_HttpClient, m_Settings.m_Limits},
                m_Directory,
                {[this] { return m_DispatcherLinks.hasRightToServe(); },
                 [this] { return m_DispatcherLinks.isDraining(); }},
                m_Metrics),
      m_RightTimer(m_Timers), m_RecordTimer(m_Timers) {
  m_DispatcherLinks.onTableChanged([this] {
    m_LocalPlacement.refresh();
    m_Service.tableChanged();
  });
  m_DispatcherLinks.onUpstreamsChanged([this] { m_LocalPlacement.refresh(); });
  m_DispatcherLinks.onFrame(
      [this](link::LinkId Link, const wire::Frame &Frame) {
        m_DispatcherPlacement.handleFrame(Link, Frame);
        m_Claims.linkFrame(Frame);
      });
}

LocalPlacementConfig Entry::localPlacementConfig() {
  LocalPlacementConfig Result;
  Result.m_Self = instanceIdOf(m_Settings.m_Link.m_Name);
  Result.m_Zone = m_Settings.m_Link.m_Zone;
  switch (m_Settings.m_Placement) {
  case PlacementKind::Dispatcher:
    // All entries may lose their dispatchers at once, and together must not use
    // more slots than there are.
    Result.m_SlotDivisor = [this] {
      return static_cast<std::uint32_t>(m_DispatcherLinks.members().size());
    };
    return Result;
  case PlacementKind::RoundRobin:
    Result.m_Decider.m_Policy = decision::PolicyKind::RoundRobin;
    break;
  case PlacementKind::LeastInFlight:
    Result.m_Decider.m_Policy = decision::PolicyKind::LeastInFlight;
    break;
  }
  Result.m_SlotDivisor = [] { return 1U; };
  return Result;
}

Placement &Entry::configuredPlacement() {
  if (m_Settings.m_Placement == PlacementKind::Dispatcher)
    return m_DispatcherPlacement;
  return m_LocalPlacement;
}

void Entry::start() {
  m_Links.start();
  m_DispatcherLinks.start(m_Links);
  m_Service.listen(m_Settings.m_ListenAddress);
  logRightChanges();
}

void Entry::stop(std::function<void()> Done) {
  m_Service.stop([this, Done = std::move(Done)] { waitForRecords(Done); });
}

void Entry::waitForRecords(const std::function<void()> &Done) {
  // If a call that ran is not recorded, its key stays "in progress" for a day.
  // During an outage, stop_limit_ms in [daemon] limits the wait.
  if (m_Claims.pendingCount() == 0) {
    Done();
    return;
  }
  m_RecordTimer.start(RecordCheckInterval,
                      [this, Done] { waitForRecords(Done); });
}

void Entry::logRightChanges() {
  const bool HasRight = m_DispatcherLinks.hasRightToServe();
  if (HasRight != m_LoggedRight)
    logEvent(HasRight ? LogEvent::EntryRightHeld : LogEvent::EntryRightLost);
  m_LoggedRight = HasRight;
  m_RightTimer.start(RightCheckInterval, [this] { logRightChanges(); });
}

} // namespace crowstep::entry
