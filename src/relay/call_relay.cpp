/// All parts of relayed calls in one instance.
#include "relay/call_relay.h"

namespace crowstep::relay {

CallRelay::CallRelay(const gateway::PeerInstance &Self,
                     const CallRelayContext &Context,
                     const RelayLinksFactory &Dial,
                     const RelayLinksFactory &Listen, std::uint64_t Seed)
    : m_Prober(Context.m_Prober, Context.m_Clock, Context.m_Timers),
      m_Client(Self, Seed, Dial, Context.m_Clock, Context.m_Timers,
               Context.m_Metrics,
               [this](UpstreamId Upstream) {
                 m_Transport.recordPeerReach(Upstream);
               }),
      m_Transport(Context.m_Clock, Context.m_Timers, Context.m_Balancer,
                  Context.m_Upstream, m_Prober, m_Client, Context.m_Metrics,
                  Seed),
      m_Server({Context.m_Clock, Context.m_Timers, Context.m_Balancer,
                Context.m_Upstream, Context.m_CrashWatch, Context.m_Codec,
                m_Prober, m_Transport},
               Listen, Context.m_Metrics) {
  Context.m_CrashWatch.setPathView(m_Transport);
}

void CallRelay::setPeers(const gateway::PeerList &List) {
  m_Client.setPeers(List);
  m_Server.start(List.m_Key);
}

} // namespace crowstep::relay
