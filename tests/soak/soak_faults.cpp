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
  Place &Gateway = m_Places.at(Played.m_Which % m_Places.size());
  Seat &Upstream = m_Seats.at(Played.m_Which % m_Seats.size());
  switch (Played.m_Kind) {
  case FaultKind::GatewayTerm:
  case FaultKind::GatewayKill:
  case FaultKind::GatewayFreeze:
  case FaultKind::GatewayHangUp:
    applyToGateway(Played, Gateway);
    return;
  case FaultKind::AllGatewaysKill:
    for (Place &Target : m_Places)
      if (Target.m_Process != nullptr)
        Target.m_Process->signal(SIGKILL);
    return;
  case FaultKind::AllUpstreamsErrors:
    for (Seat &Target : m_Seats)
      applyToUpstream(Played, Target);
    return;
  case FaultKind::UpstreamBusy:
  case FaultKind::UpstreamErrors:
  case FaultKind::UpstreamCuts:
  case FaultKind::UpstreamLost:
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
    m_Callers.hangUp();
    return;
  default:
    applyToStore(Played, Gateway);
  }
}

void SoakFleet::applyToGateway(const Fault &Played, Place &Gateway) {
  if (Gateway.m_Process == nullptr)
    return;
  if (Played.m_Kind == FaultKind::GatewayTerm) {
    stopGateway(Gateway);
  } else if (Played.m_Kind == FaultKind::GatewayKill) {
    Gateway.m_Process->signal(SIGKILL);
  } else if (Played.m_Kind == FaultKind::GatewayHangUp) {
    m_Folder.write(Gateway.m_At.m_Name + ".ini",
                   settingsOf(Gateway.m_At) + "# written anew\n");
    Gateway.m_Process->signal(SIGHUP);
  } else if (!Gateway.m_Frozen) {
    Gateway.m_Frozen = true;
    Gateway.m_Process->signal(SIGSTOP);
    m_Ledger.blind(m_Clock.now(), m_Clock.now() + Played.m_Span);
    later(Played.m_Span, [&Gateway] {
      Gateway.m_Frozen = false;
      if (Gateway.m_Process != nullptr)
        Gateway.m_Process->signal(SIGCONT);
    });
  }
}

/// Callers keep using their connections and open new ones until a readiness
/// probe fails.
void SoakFleet::stopGateway(Place &Gateway) {
  if (Gateway.m_Stopping)
    return;
  Gateway.m_Stopping = true;
  Gateway.m_Process->signal(SIGTERM);
  if (m_Calm)
    m_Ledger.calmStop(Gateway.m_Number, m_Clock.now(), m_Clock.now() + 8s);
}

void SoakFleet::applyToUpstream(const Fault &Played, Seat &Upstream) {
  if (Upstream.m_Upstream == nullptr)
    return;
  if (Played.m_Kind == FaultKind::UpstreamCrash) {
    takeDown(Upstream, Played.m_Span / 2, Played.m_Span);
    return;
  }
  if (Played.m_Kind == FaultKind::UpstreamRelease) {
    // About half are removed without having been listed as draining.
    const bool IsAnnounced = Played.m_Which / m_Seats.size() % 2 == 0;
    list(Upstream, IsAnnounced ? "draining" : "");
    Upstream.m_Upstream->leave();
    m_Ledger.leaves(Upstream.m_Upstream->name(), m_Clock.now());
    replace(Upstream, DrainTime);
    return;
  }
  const auto Selected = [&] {
    switch (Played.m_Kind) {
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
  Upstream.m_Upstream->setTrouble(Selected);
  later(Played.m_Span, [&Upstream] {
    if (Upstream.m_Upstream != nullptr)
      Upstream.m_Upstream->setTrouble(Trouble::None);
  });
}

/// Removes a draining upstream after a while and starts a new incarnation.
void SoakFleet::replace(Seat &Upstream, Duration After) {
  const std::string Name = Upstream.m_Upstream->name();
  const auto IsSameIncarnation = [&Upstream, Name] {
    return Upstream.m_Upstream != nullptr &&
           Upstream.m_Upstream->name() == Name;
  };
  later(After, [this, &Upstream, IsSameIncarnation] {
    if (IsSameIncarnation())
      list(Upstream, "");
  });
  // It serves on for a little longer than any answer takes.
  later(After + 1500ms, [this, &Upstream, IsSameIncarnation] {
    if (!IsSameIncarnation())
      return;
    Upstream.m_Upstream = nullptr;
    later(500ms, [this, &Upstream] {
      if (Upstream.m_Upstream == nullptr)
        startUpstream(Upstream);
    });
  });
}

void SoakFleet::applyToPath(const Fault &Played, Seat &Upstream) {
  test::Relay &Path = *Upstream.m_Way;
  if (Played.m_Kind == FaultKind::PathReset) {
    Path.reset();
  } else if (Played.m_Kind == FaultKind::PathSlow) {
    Path.setDelay(PathDelay);
    later(Played.m_Span, [&Path] { Path.setDelay(Duration::zero()); });
  } else {
    Path.setSilence(Played.m_Kind == FaultKind::PathSilent
                        ? test::Silence::Both
                        : test::Silence::Outward);
    later(Played.m_Span, [&Path] { Path.setSilence(test::Silence::None); });
  }
}

void SoakFleet::applyToStore(const Fault &Played, Place &Gateway) {
  using Mode = standin::StoreServer::Mode;
  test::Relay &Path = *Gateway.m_ToStore;
  m_Ledger.blind(m_Clock.now(), m_Clock.now() + Played.m_Span);
  switch (Played.m_Kind) {
  case FaultKind::StoreBusy:
  case FaultKind::StoreSilent:
    m_Store.setMode(Played.m_Kind == FaultKind::StoreBusy ? Mode::Busy
                                                          : Mode::Silent);
    later(Played.m_Span, [this] { m_Store.setMode(Mode::Up); });
    return;
  case FaultKind::StoreCut:
    Path.cut();
    later(Played.m_Span, [&Path] { Path.mend(); });
    return;
  case FaultKind::StoreSlow:
    Path.setDelay(StoreDelay);
    later(Played.m_Span, [&Path] { Path.setDelay(Duration::zero()); });
    return;
  case FaultKind::StoreOldCopy:
    m_Store.serveOldCopy(true);
    putTable();
    later(Played.m_Span / 2, [this] { m_Store.dropHistory(); });
    later(Played.m_Span, [this] { m_Store.serveOldCopy(false); });
    return;
  default:
    m_Store.dropHistory();
  }
}

} // namespace crowstep::soak
