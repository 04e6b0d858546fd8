/// How each kind of fault is injected.
#include "soak/soak_fleet.h"

#include <csignal>

namespace crowstep::soak {

using namespace std::chrono_literals;

namespace {

/// A draining upstream's row is removed this long after the upstream was listed
/// as draining; the upstream itself serves on a little longer.
constexpr Duration DrainTime = 2500ms;

constexpr Duration PathDelay = 120ms;
constexpr Duration StoreDelay = 250ms;

} // namespace

void SoakFleet::apply(const Fault &Played) {
  GatewayNode &Gateway = m_Gateways.at(Played.m_Target % m_Gateways.size());
  UpstreamNode &Upstream = m_Upstreams.at(Played.m_Target % m_Upstreams.size());
  switch (Played.m_Kind) {
  case FaultKind::GatewayTerm:
  case FaultKind::GatewayKill:
  case FaultKind::GatewayFreeze:
  case FaultKind::GatewayHangUp:
    applyToGateway(Played, Gateway);
    return;
  case FaultKind::AllGatewaysKill:
    for (GatewayNode &Target : m_Gateways)
      if (Target.m_Process != nullptr)
        killGateway(Target);
    return;
  case FaultKind::AllUpstreamsErrors:
    for (UpstreamNode &Target : m_Upstreams)
      applyToUpstream(Played, Target);
    return;
  case FaultKind::UpstreamBusy:
  case FaultKind::UpstreamErrors:
  case FaultKind::UpstreamCuts:
  case FaultKind::UpstreamAnswerLost:
  case FaultKind::UpstreamMute:
  case FaultKind::UpstreamCrash:
  case FaultKind::UpstreamRelease:
    applyToUpstream(Played, Upstream);
    return;
  case FaultKind::PathReset:
  case FaultKind::PathSilent:
  case FaultKind::PathOneWay:
  case FaultKind::PathSlow:
    applyToPath(Played, Upstream);
    return;
  case FaultKind::TableChange:
    putTable();
    return;
  case FaultKind::CallersLeave:
    m_Caller.cancelAll();
    return;
  default:
    applyToStore(Played, Gateway);
  }
}

void SoakFleet::applyToGateway(const Fault &Played, GatewayNode &Gateway) {
  if (Gateway.m_Process == nullptr)
    return;
  if (Played.m_Kind == FaultKind::GatewayTerm) {
    stopGateway(Gateway);
  } else if (Played.m_Kind == FaultKind::GatewayKill) {
    killGateway(Gateway);
  } else if (Played.m_Kind == FaultKind::GatewayHangUp) {
    m_Folder.write(Gateway.m_Settings.m_Name + ".ini",
                   gatewaySettingsText(Gateway.m_Settings) +
                       "# written anew\n");
    Gateway.m_Process->signal(SIGHUP);
  } else {
    freezeGateway(Gateway, Played.m_Duration);
  }
}

/// A call for a duty that was under way when the process was stopped may arrive
/// right after it resumes.
void SoakFleet::freezeGateway(GatewayNode &Gateway, Duration Span) {
  if (Gateway.m_Frozen)
    return;
  Gateway.m_Frozen = true;
  Gateway.m_Process->signal(SIGSTOP);
  m_Ledger.excuseStaleness(m_Clock.now(), m_Clock.now() + Span);
  m_Ledger.excusePaths(m_Clock.now(), m_Clock.now() + Span);
  m_Ledger.recordGatewayFault(Gateway.m_Number, m_Clock.now(),
                              m_Clock.now() + Span);
  runAfter(Span, [this, &Gateway] {
    Gateway.m_Frozen = false;
    if (Gateway.m_Process == nullptr)
      return;
    Gateway.m_Process->signal(SIGCONT);
    const TimePoint Excused =
        m_Clock.readNow() + standin::DutyRecord::ExcusedTime;
    runAfter(standin::DutyRecord::ExcusedTime, [this, &Gateway, Excused] {
      m_Duties.record().excuse(Gateway.m_Settings.m_Name, Excused);
    });
  });
}

/// Returns the gateway that the platform received the last call from, if it
/// runs.
SoakFleet::GatewayNode *SoakFleet::dutyHolder() {
  if (m_Duties.record().calls().empty())
    return nullptr;
  const std::string &Name = m_Duties.record().calls().back().m_Machine;
  for (GatewayNode &Gateway : m_Gateways)
    if (Gateway.m_Settings.m_Name == Name && Gateway.m_Process != nullptr)
      return &Gateway;
  return nullptr;
}

void SoakFleet::apply(const DutyFault &Played) {
  using Mode = standin::DutyServer::Mode;
  const auto SetMode = [&](Mode Failure) {
    m_Duties.setMode(Failure);
    endFaultAfter(Played.m_Duration, &m_Duties, "mode",
                  [this] { m_Duties.setMode(Mode::Up); });
  };
  GatewayNode *Holder = dutyHolder();
  switch (Played.m_Kind) {
  case DutyFaultKind::PlatformBusy:
    SetMode(Mode::Busy);
    return;
  case DutyFaultKind::PlatformLimited:
    SetMode(Mode::Throttling);
    return;
  case DutyFaultKind::PlatformSilent:
    SetMode(Mode::Silent);
    return;
  case DutyFaultKind::HolderKill:
    if (Holder != nullptr)
      killGateway(*Holder);
    return;
  case DutyFaultKind::HolderTerm:
    if (Holder != nullptr)
      stopGateway(*Holder);
    return;
  case DutyFaultKind::HolderFreeze:
    if (Holder != nullptr)
      freezeGateway(*Holder, Played.m_Duration);
    return;
  default:
    if (Holder != nullptr)
      applyToStore({Played.m_Start, FaultKind::StoreCut, 0, Played.m_Duration},
                   *Holder);
  }
}

void SoakFleet::killGateway(GatewayNode &Gateway) {
  Gateway.m_Process->signal(SIGKILL);
  m_Ledger.recordKill(Gateway.m_Number, m_Clock.now());
}

/// Callers keep using their connections and open new ones until a readiness
/// probe fails.
void SoakFleet::stopGateway(GatewayNode &Gateway) {
  if (Gateway.m_Stopping)
    return;
  Gateway.m_Stopping = true;
  Gateway.m_Process->signal(SIGTERM);
  m_Ledger.recordGatewayFault(Gateway.m_Number, m_Clock.now(),
                              m_Clock.now() + Gateway.m_Settings.m_GracePeriod);
  if (m_PlannedWorkOnly)
    m_Ledger.recordPlannedStop(Gateway.m_Number, m_Clock.now(),
                               Gateway.m_Settings.m_GracePeriod);
}

/// Callers come to a gateway that is about to stop, and an upstream leaves
/// while it stops.
void SoakFleet::playStop(const FleetSpan &Played) {
  GatewayNode &Gateway = m_Gateways.at(Played.m_Target % m_Gateways.size());
  if (!Gateway.m_IsReady || Gateway.m_Stopping)
    return;
  m_StopCallers.start({Gateway.m_Number, Gateway.m_Incarnation,
                       Gateway.m_StartedAt,
                       Gateway.m_Settings.m_ListenAddress});
  runAfter(StopCallers::LeadTime, [this, &Gateway, Played] {
    if (Gateway.m_Process != nullptr)
      stopGateway(Gateway);
    runAfter(Played.m_Duration, [this, Target = Played.m_Target] {
      apply(Fault{Duration::zero(), FaultKind::UpstreamRelease, Target,
                  Duration::zero()});
    });
  });
}

void SoakFleet::applyToUpstream(const Fault &Played, UpstreamNode &Upstream) {
  if (Upstream.m_Server == nullptr)
    return;
  if (Played.m_Kind == FaultKind::UpstreamCrash) {
    stopUpstream(Upstream, Played.m_Duration / 2, Played.m_Duration);
    return;
  }
  if (Played.m_Kind == FaultKind::UpstreamRelease) {
    // About half are removed without having been listed as draining.
    const bool IsAnnounced = Played.m_Target / m_Upstreams.size() % 2 == 0;
    putUpstreamRow(Upstream, IsAnnounced ? "draining" : "");
    m_Ledger.recordListed(Upstream.m_Server->version(), -1, m_Clock.now());
    Upstream.m_Server->startDraining();
    m_Ledger.recordDraining(Upstream.m_Server->name(), m_Clock.now());
    replaceUpstream(Upstream, DrainTime);
    return;
  }
  const auto Selected = [&] {
    switch (Played.m_Kind) {
    case FaultKind::UpstreamBusy:
      return UpstreamFault::Busy;
    case FaultKind::UpstreamErrors:
    case FaultKind::AllUpstreamsErrors:
      return UpstreamFault::Errors;
    case FaultKind::UpstreamCuts:
      return UpstreamFault::Cuts;
    case FaultKind::UpstreamAnswerLost:
      return UpstreamFault::AnswerLost;
    default:
      return UpstreamFault::Mute;
    }
  }();
  setUpstreamFault(Upstream, Selected, Played.m_Duration);
}

void SoakFleet::setUpstreamFault(UpstreamNode &Upstream, UpstreamFault Selected,
                                 Duration Span) {
  m_Ledger.recordUpstreamFault(m_Clock.now(), m_Clock.now() + Span);
  Upstream.m_Server->setFault(Selected);
  endFaultAfter(Span, &Upstream, "fault", [&Upstream] {
    if (Upstream.m_Server != nullptr)
      Upstream.m_Server->setFault(UpstreamFault::None);
  });
}

void SoakFleet::setStoreMode(standin::StoreServer::Mode Selected,
                             Duration Span) {
  m_Store.setMode(Selected);
  endFaultAfter(Span, &m_Store, "mode",
                [this] { m_Store.setMode(standin::StoreServer::Mode::Up); });
}

void SoakFleet::apply(const StatementFault &Played) {
  if (Played.m_Kind == StatementFaultKind::StoreForgetsCalls) {
    m_Ledger.excuseStaleness(m_Clock.now(), m_Clock.now() + Played.m_Duration);
    setStoreMode(standin::StoreServer::Mode::Silent, Played.m_Duration);
    runAfter(Played.m_Duration / 2, [this] { m_Store.dropHistory(); });
    return;
  }
  UpstreamNode &Upstream = m_Upstreams.at(Played.m_Target % m_Upstreams.size());
  if (Upstream.m_Server == nullptr)
    return;
  if (Played.m_Kind == StatementFaultKind::UpstreamLeaves) {
    Upstream.m_Server->startDraining();
    replaceUpstream(Upstream, DrainTime + Played.m_Duration);
    return;
  }
  setUpstreamFault(Upstream, UpstreamFault::Pauses, Played.m_Duration);
}

void SoakFleet::apply(const PathCut &Played) {
  const TimePoint End = m_Clock.now() + Played.m_Duration;
  const std::size_t Target = Played.m_Target % m_Gateways.size();
  std::vector<std::pair<GatewayNode *, int>> Cut;
  m_Ledger.excusePaths(m_Clock.now(), End);
  for (GatewayNode &Gateway : m_Gateways) {
    const bool IsTarget = Gateway.m_Number == static_cast<int>(Target);
    if (IsTarget == (Played.m_Kind == PathCutKind::MostGateways))
      continue;
    for (const UpstreamNode &Upstream : m_Upstreams) {
      const int Number = Upstream.m_Number;
      if (Played.m_Kind == PathCutKind::OnePair &&
          Number != static_cast<int>(Played.m_Target % m_Upstreams.size()))
        continue;
      ++Gateway.m_CutUpstreams[Number];
      m_Ledger.recordPathCut({Gateway.m_Number, Number, m_Clock.now(), End});
      Cut.emplace_back(&Gateway, Number);
    }
    if (Played.m_Kind != PathCutKind::OnePair)
      m_Ledger.recordCut(Gateway.m_Number, m_Clock.now(), End);
  }
  updateCuts();
  runAfter(Played.m_Duration, [this, Cut = std::move(Cut)] {
    for (const auto &[Gateway, Number] : Cut)
      --Gateway->m_CutUpstreams[Number];
    updateCuts();
  });
}

void SoakFleet::updateCuts() {
  for (const UpstreamNode &Upstream : m_Upstreams) {
    std::set<std::uint32_t> Ips;
    for (GatewayNode &Gateway : m_Gateways)
      if (Gateway.m_CutUpstreams[Upstream.m_Number] > 0)
        Ips.insert(Gateway.m_Settings.m_SourceAddress.m_Ip);
    Upstream.m_Relay->setCutClients(Ips);
  }
}

/// Removes a draining upstream after a while and starts a new incarnation.
void SoakFleet::replaceUpstream(UpstreamNode &Upstream, Duration After) {
  const std::string Name = Upstream.m_Server->name();
  const auto IsSameIncarnation = [&Upstream, Name] {
    return Upstream.m_Server != nullptr && Upstream.m_Server->name() == Name;
  };
  runAfter(After, [this, &Upstream, IsSameIncarnation] {
    if (!IsSameIncarnation())
      return;
    putUpstreamRow(Upstream, "");
    m_Ledger.recordDraining(Upstream.m_Server->name(), m_Clock.now());
  });
  // It serves on for a little longer than any answer takes.
  runAfter(After + 1500ms, [this, &Upstream, IsSameIncarnation] {
    if (!IsSameIncarnation())
      return;
    Upstream.m_Server = nullptr;
    runAfter(500ms, [this, &Upstream] {
      if (Upstream.m_Server == nullptr)
        startUpstream(Upstream);
    });
  });
}

void SoakFleet::applyToPath(const Fault &Played, UpstreamNode &Upstream) {
  test::Relay &Path = *Upstream.m_Relay;
  m_Ledger.excusePaths(m_Clock.now(), m_Clock.now() + Played.m_Duration);
  m_Ledger.recordUpstreamFault(m_Clock.now(),
                               m_Clock.now() + Played.m_Duration);
  if (Played.m_Kind == FaultKind::PathReset) {
    Path.reset();
  } else if (Played.m_Kind == FaultKind::PathSlow) {
    Path.setDelay(PathDelay);
    endFaultAfter(Played.m_Duration, &Path, "delay",
                  [&Path] { Path.setDelay(Duration::zero()); });
  } else {
    Path.setSilence(Played.m_Kind == FaultKind::PathSilent
                        ? test::Silence::Both
                        : test::Silence::ToTarget);
    endFaultAfter(Played.m_Duration, &Path, "silence",
                  [&Path] { Path.setSilence(test::Silence::None); });
  }
}

void SoakFleet::applyToStore(const Fault &Played, GatewayNode &Gateway) {
  using Mode = standin::StoreServer::Mode;
  test::Relay &Path = *Gateway.m_StoreRelay;
  // A loss of history is over at once.
  m_Ledger.excuseStaleness(m_Clock.now(),
                           Played.m_Kind == FaultKind::StoreForgets
                               ? m_Clock.now()
                               : m_Clock.now() + Played.m_Duration);
  switch (Played.m_Kind) {
  case FaultKind::StoreBusy:
  case FaultKind::StoreSilent:
    setStoreMode(Played.m_Kind == FaultKind::StoreBusy ? Mode::Busy
                                                       : Mode::Silent,
                 Played.m_Duration);
    return;
  case FaultKind::StoreCut:
    Path.block();
    endFaultAfter(Played.m_Duration, &Path, "block",
                  [&Path] { Path.unblock(); });
    return;
  case FaultKind::StoreSlow:
    Path.setDelay(StoreDelay);
    endFaultAfter(Played.m_Duration, &Path, "delay",
                  [&Path] { Path.setDelay(Duration::zero()); });
    return;
  case FaultKind::StoreOldCopy:
    m_Store.serveStaleCopy(true);
    putTable();
    runAfter(Played.m_Duration / 2, [this] { m_Store.dropHistory(); });
    endFaultAfter(Played.m_Duration, &m_Store, "copy",
                  [this] { m_Store.serveStaleCopy(false); });
    return;
  default:
    m_Store.dropHistory();
  }
}

} // namespace crowstep::soak
