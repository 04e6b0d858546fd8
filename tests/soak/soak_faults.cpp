/// How each trouble is made.
#include "soak/soak_fleet.h"

#include <csignal>

namespace crowstep::soak {

using namespace std::chrono_literals;

namespace {

/// A leaving upstream serves on for this long after its row said so.
constexpr Duration DrainSpan = 2500ms;

constexpr Duration SlowPath = 120ms;
constexpr Duration SlowStore = 250ms;

} // namespace

void SoakFleet::apply(const Fault &What) {
  Place &Gateway = m_Places.at(What.m_Which % m_Places.size());
  Seat &Upstream = m_Seats.at(What.m_Which % m_Seats.size());
  switch (What.m_Kind) {
  case FaultKind::GatewayTerm:
  case FaultKind::GatewayKill:
  case FaultKind::GatewayFreeze:
  case FaultKind::GatewayHangUp:
    applyToGateway(What, Gateway);
    return;
  case FaultKind::AllGatewaysKill:
    for (Place &Each : m_Places)
      if (Each.m_Process != nullptr)
        Each.m_Process->signal(SIGKILL);
    return;
  case FaultKind::AllUpstreamsErrors:
    for (Seat &Each : m_Seats)
      applyToUpstream(What, Each);
    return;
  case FaultKind::UpstreamBusy:
  case FaultKind::UpstreamErrors:
  case FaultKind::UpstreamCuts:
  case FaultKind::UpstreamLost:
  case FaultKind::UpstreamMute:
  case FaultKind::UpstreamCrash:
  case FaultKind::UpstreamRelease:
    applyToUpstream(What, Upstream);
    return;
  case FaultKind::PathReset:
  case FaultKind::PathSilent:
  case FaultKind::PathOneWay:
  case FaultKind::PathSlow:
    applyToPath(What, Upstream);
    return;
  case FaultKind::TableChange:
    putTable();
    return;
  case FaultKind::CallersLeave:
    m_Callers.hangUp();
    return;
  default:
    applyToStore(What, Gateway);
  }
}

void SoakFleet::applyToGateway(const Fault &What, Place &Which) {
  if (Which.m_Process == nullptr)
    return;
  if (What.m_Kind == FaultKind::GatewayTerm) {
    stopGateway(Which);
  } else if (What.m_Kind == FaultKind::GatewayKill) {
    Which.m_Process->signal(SIGKILL);
  } else if (What.m_Kind == FaultKind::GatewayHangUp) {
    m_Folder.write(Which.m_At.m_Name + ".ini",
                   settingsOf(Which.m_At) + "# written anew\n");
    Which.m_Process->signal(SIGHUP);
  } else if (!Which.m_Frozen) {
    Which.m_Frozen = true;
    Which.m_Process->signal(SIGSTOP);
    m_Ledger.blind(m_Clock.now(), m_Clock.now() + What.m_Span);
    later(What.m_Span, [&Which] {
      Which.m_Frozen = false;
      if (Which.m_Process != nullptr)
        Which.m_Process->signal(SIGCONT);
    });
  }
}

/// Callers go on using their connections; new ones come until the probes have
/// seen the stop.
void SoakFleet::stopGateway(Place &Which) {
  if (Which.m_Stopping)
    return;
  Which.m_Stopping = true;
  Which.m_Process->signal(SIGTERM);
  if (m_Calm)
    m_Ledger.calmStop(Which.m_Number, m_Clock.now(), m_Clock.now() + 8s);
}

void SoakFleet::applyToUpstream(const Fault &What, Seat &Which) {
  if (Which.m_Upstream == nullptr)
    return;
  if (What.m_Kind == FaultKind::UpstreamCrash) {
    takeDown(Which, What.m_Span / 2, What.m_Span);
    return;
  }
  if (What.m_Kind == FaultKind::UpstreamRelease) {
    // Some never say that they leave: their row just goes.
    const bool Says = What.m_Which / m_Seats.size() % 2 == 0;
    list(Which, Says ? "draining" : "");
    Which.m_Upstream->leave();
    m_Ledger.leaves(Which.m_Upstream->name(), m_Clock.now());
    replace(Which, DrainSpan);
    return;
  }
  const auto Trouble = [&] {
    switch (What.m_Kind) {
    case FaultKind::UpstreamBusy:
      return Trouble::Busy;
    case FaultKind::UpstreamErrors:
    case FaultKind::AllUpstreamsErrors:
      return Trouble::Errors;
    case FaultKind::UpstreamCuts:
      return Trouble::Cuts;
    case FaultKind::UpstreamLost:
      return Trouble::AnswerLost;
    default:
      return Trouble::Mute;
    }
  }();
  Which.m_Upstream->setTrouble(Trouble);
  later(What.m_Span, [&Which] {
    if (Which.m_Upstream != nullptr)
      Which.m_Upstream->setTrouble(Trouble::None);
  });
}

/// Takes a leaving upstream away, and brings a new start of it.
void SoakFleet::replace(Seat &Which, Duration After) {
  const std::string Leaving = Which.m_Upstream->name();
  const auto IsIt = [&Which, Leaving] {
    return Which.m_Upstream != nullptr && Which.m_Upstream->name() == Leaving;
  };
  later(After, [this, &Which, IsIt] {
    if (IsIt())
      list(Which, "");
  });
  // A little longer than any answer takes.
  later(After + 1500ms, [this, &Which, IsIt] {
    if (!IsIt())
      return;
    Which.m_Upstream = nullptr;
    later(500ms, [this, &Which] {
      if (Which.m_Upstream == nullptr)
        startUpstream(Which);
    });
  });
}

void SoakFleet::applyToPath(const Fault &What, Seat &Which) {
  test::Relay &Way = *Which.m_Way;
  if (What.m_Kind == FaultKind::PathReset) {
    Way.reset();
  } else if (What.m_Kind == FaultKind::PathSlow) {
    Way.setDelay(SlowPath);
    later(What.m_Span, [&Way] { Way.setDelay(Duration::zero()); });
  } else {
    Way.setSilence(What.m_Kind == FaultKind::PathSilent
                       ? test::Silence::Both
                       : test::Silence::Outward);
    later(What.m_Span, [&Way] { Way.setSilence(test::Silence::None); });
  }
}

void SoakFleet::applyToStore(const Fault &What, Place &Which) {
  using Mode = standin::StoreServer::Mode;
  test::Relay &Way = *Which.m_ToStore;
  m_Ledger.blind(m_Clock.now(), m_Clock.now() + What.m_Span);
  switch (What.m_Kind) {
  case FaultKind::StoreBusy:
  case FaultKind::StoreSilent:
    m_Store.setMode(What.m_Kind == FaultKind::StoreBusy ? Mode::Busy
                                                        : Mode::Silent);
    later(What.m_Span, [this] { m_Store.setMode(Mode::Up); });
    return;
  case FaultKind::StoreCut:
    Way.cut();
    later(What.m_Span, [&Way] { Way.mend(); });
    return;
  case FaultKind::StoreSlow:
    Way.setDelay(SlowStore);
    later(What.m_Span, [&Way] { Way.setDelay(Duration::zero()); });
    return;
  case FaultKind::StoreOldCopy:
    m_Store.serveOldCopy(true);
    putTable();
    later(What.m_Span / 2, [this] { m_Store.dropHistory(); });
    later(What.m_Span, [this] { m_Store.serveOldCopy(false); });
    return;
  default:
    m_Store.dropHistory();
  }
}

} // namespace crowstep::soak
