/// Decides which rows of the register this instance writes and removes.
#include "gateway/software_register.h"

#include "core/log.h"

#include <algorithm>

namespace crowstep::gateway {

SoftwareRegister::SoftwareRegister(SoftwareHistory &History, Directory &Rows,
                                   const Clock &Time, Scheduler &Timers,
                                   std::function<double()> Random,
                                   Metrics &Stats, Events OnEvents)
    : m_History(History), m_Directory(Rows), m_Clock(Time),
      m_Random(std::move(Random)), m_Events(std::move(OnEvents)),
      m_Added(Stats.counter("crowstep_software_register_writes_total",
                            {{"kind", "add"}})),
      m_Removed(Stats.counter("crowstep_software_register_writes_total",
                              {{"kind", "remove"}})),
      m_Timer(Timers) {}

void SoftwareRegister::setServices(std::set<std::string> Resumable) {
  m_Services = std::move(Resumable);
  update();
}

void SoftwareRegister::setUpstreams(const std::vector<Upstream> &List) {
  m_Upstreams = List;
  m_History.record(List, m_Clock.now());
  update();
}

void SoftwareRegister::setRegister(const ServiceVersions &Registered) {
  m_History.setRegister(Registered, m_Clock.now());
  if (m_Role == ReadingRole::Alone)
    m_WritesDue.clear();
  update();
}

void SoftwareRegister::setRole(ReadingRole Role, bool IsFirst) {
  const bool WritesAtOnce = Role == ReadingRole::Reader && IsFirst;
  if (Role == m_Role && WritesAtOnce == m_WritesAtOnce)
    return;
  m_Role = Role;
  m_WritesAtOnce = WritesAtOnce;
  m_WritesDue.clear();
  m_RemovalsDue.clear();
  update();
}

void SoftwareRegister::recordUnproven(const std::string &Service) {
  m_History.recordUnproven(Service, m_Clock.now());
  m_Unproven.insert(Service);
  update();
}

void SoftwareRegister::update() {
  if (!m_History.isRegisterRead() || !m_Services)
    return;
  writeMissing();
  removeDisused();
  holdBack();
  reportMixed();
  TimePoint Next = m_Clock.now() + CheckInterval;
  for (const DueTimes *Times : {&m_WritesDue, &m_RemovalsDue})
    for (const auto &[Row, Due] : *Times)
      Next = std::min(Next, Due);
  if (!m_HeldBack.empty())
    Next = std::min(Next, m_NextHoldEnd);
  m_Timer.start(std::max(Next - m_Clock.now(), Duration::zero()),
                [this] { update(); });
}

/// Returns whether the time for a row has come, and sets the next one: only the
/// register shows that a write succeeded.
bool SoftwareRegister::isDue(DueTimes &Times, const Entry &Row, Duration Min,
                             Duration Max) {
  const TimePoint Now = m_Clock.now();
  const auto RandomTime = [&] {
    return Now + Min +
           std::chrono::duration_cast<Duration>((Max - Min) * m_Random());
  };
  const auto [Found, IsNew] = Times.try_emplace(Row, Now);
  if (IsNew && !m_WritesAtOnce)
    Found->second = RandomTime();
  if (Now < Found->second)
    return false;
  Found->second = RandomTime();
  return true;
}

std::set<SoftwareRegister::Entry> SoftwareRegister::missingRows() const {
  std::set<Entry> Result;
  for (const auto &[Service, Versions] :
       m_History.seenVersions(m_Clock.now() + RemovalMargin))
    if (isResumable(Service))
      for (const std::string &Text : Versions)
        if (!m_History.isRegistered(Service, Text))
          Result.emplace(Service, Text);
  return Result;
}

void SoftwareRegister::writeMissing() {
  const TimePoint Now = m_Clock.now();
  const std::set<Entry> Missing = missingRows();
  for (DueTimes *Times : {&m_MissingSince, &m_WritesDue})
    std::erase_if(*Times, [&](const auto &Known) {
      return !Missing.contains(Known.first);
    });
  // Others may remove the row of an unproven process that they have not seen.
  // This instance writes it again at once, as nobody else writes first.
  const ServiceVersions Seen = m_History.seenVersions(Now);
  std::erase_if(m_Unproven, [&](const std::string &Service) {
    const auto Found = Seen.find(Service);
    return Found == Seen.end() || !Found->second.contains("");
  });
  for (const std::string &Service : m_Unproven)
    if (Missing.contains({Service, ""}))
      m_WritesDue.try_emplace({Service, ""}, Now);
  std::map<std::string, std::size_t> Counts;
  for (const auto &[Service, Versions] : m_History.registered())
    Counts[Service] = Versions.size();
  for (const Entry &Row : Missing) {
    m_MissingSince.try_emplace(Row, Now);
    const bool IsAlone = m_Role == ReadingRole::Alone;
    if (++Counts[Row.first] > MaxVersions ||
        !isDue(m_WritesDue, Row, IsAlone ? MinAloneDelay : MinWriteDelay,
               IsAlone ? MaxAloneDelay : MaxWriteDelay))
      continue;
    logEvent(LogEvent::SoftwareRegistered,
             {{"service", Row.first}, {"version", Row.second}});
    m_Added.add();
    m_Directory.registerSoftware(Row.first, Row.second);
  }
}

void SoftwareRegister::removeDisused() {
  std::set<Entry> Disused;
  for (const auto &[Service, Versions] :
       m_History.disusedVersions(m_Clock.now()))
    for (const std::string &Text : Versions)
      Disused.emplace(Service, Text);
  std::erase_if(m_RemovalsDue, [&](const auto &Known) {
    return !Disused.contains(Known.first);
  });
  for (const Entry &Row : Disused) {
    if (!isDue(m_RemovalsDue, Row, MinRemovalDelay, MaxRemovalDelay))
      continue;
    logEvent(LogEvent::SoftwareUnregistered,
             {{"service", Row.first}, {"version", Row.second}});
    m_Removed.add();
    m_Directory.unregisterSoftware(Row.first, Row.second);
  }
}

/// A stream that begins at a version without a row could be taken for one of
/// another version after the loss of all instances.
void SoftwareRegister::holdBack() {
  std::set<std::string> Usable; // Services with upstreams not to be held back.
  for (const Upstream &Listed : m_Upstreams)
    if (!Listed.m_Draining &&
        m_History.isRegistered(Listed.m_Service, Listed.m_Software.text()))
      Usable.insert(Listed.m_Service);
  const TimePoint Now = m_Clock.now();
  std::set<UpstreamId> Held;
  m_NextHoldEnd = TimePoint::max();
  for (const Upstream &Listed : m_Upstreams) {
    const auto Since =
        m_MissingSince.find({Listed.m_Service, Listed.m_Software.text()});
    if (Since == m_MissingSince.end() || Now - Since->second >= HoldTime ||
        !Usable.contains(Listed.m_Service))
      continue;
    Held.insert(Listed.m_Id);
    m_NextHoldEnd = std::min(m_NextHoldEnd, Since->second + HoldTime);
  }
  if (Held == m_HeldBack)
    return;
  m_HeldBack = Held;
  m_Events.m_OnHeldBack(m_HeldBack);
}

void SoftwareRegister::reportMixed() {
  std::set<std::string> Mixed = m_History.mixedServices(m_Clock.now());
  std::erase_if(
      Mixed, [&](const std::string &Service) { return !isResumable(Service); });
  if (m_Mixed == Mixed)
    return;
  std::string Names;
  for (const std::string &Service : Mixed)
    Names += (Names.empty() ? "" : ",") + Service;
  if (m_Mixed || !Mixed.empty())
    logEvent(LogEvent::SoftwareMixed, {{"services", Names}});
  m_Mixed = Mixed;
  m_Events.m_OnMixed(Mixed);
}

} // namespace crowstep::gateway
