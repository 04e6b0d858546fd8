/// Connection probes to upstreams.
#include "relay/path_prober.h"

#include <utility>

namespace crowstep::relay {

void PathProber::probe(UpstreamId Upstream, const Address &Where,
                       Callback OnDone) {
  Running &Entry = m_Running[Upstream];
  Entry.m_Waiting.push_back(std::move(OnDone));
  if (Entry.m_Probe != nullptr)
    return;
  Entry.m_Began = m_Clock.now();
  Entry.m_Probe =
      m_Prober.probe(Where, Timeout, [this, Upstream](ConnectOutcome Outcome) {
        handleResult(Upstream, Outcome);
      });
}

void PathProber::handleResult(UpstreamId Upstream, ConnectOutcome Outcome) {
  auto Node = m_Running.extract(Upstream);
  const std::vector<Callback> Waiting =
      std::exchange(Node.mapped().m_Waiting, {});
  const ProbeResult Result = {Upstream, Outcome, Node.mapped().m_Began};
  // The probe is on the call stack here.
  m_Ended.push_back(std::move(Node.mapped()));
  m_CleanupTimer.start(Duration::zero(), [this] { m_Ended.clear(); });
  for (const Callback &OnDone : Waiting)
    OnDone(Result);
}

} // namespace crowstep::relay
