/// All parts of relayed calls in one instance.
#ifndef CROWSTEP_RELAY_CALL_RELAY_H
#define CROWSTEP_RELAY_CALL_RELAY_H

#include "relay/path_transport.h"
#include "relay/relay_server.h"

namespace crowstep::relay {

/// What the parts take from their instance; everything outlives them.
struct CallRelayContext {
  const Clock &m_Clock;                ///< Of the loop.
  Scheduler &m_Timers;                 ///< Of the loop.
  Metrics &m_Metrics;                  ///< All metrics.
  balance::Balancer &m_Balancer;       ///< Chooses upstreams.
  UpstreamClient &m_Upstream;          ///< Sends calls.
  UpstreamProber &m_Prober;            ///< Connects to upstreams.
  gateway::CrashWatch &m_CrashWatch;   ///< Handles broken calls.
  const gateway::HeaderCodec &m_Codec; ///< Reads and writes headers.
};

class CallRelay {
public:
  /// \p Dial opens links that this instance dials, \p Listen those that it
  /// accepts. \p Seed differs between instances.
  CallRelay(const gateway::PeerInstance &Self, const CallRelayContext &Context,
            const RelayLinksFactory &Dial, const RelayLinksFactory &Listen,
            std::uint64_t Seed);

  [[nodiscard]] gateway::CallTransport &transport() { return m_Transport; }

  void setPeers(const gateway::PeerList &List);
  void setUpstreams(const std::vector<Upstream> &List) {
    m_Transport.setUpstreams(List);
  }
  void setTable(const gateway::RouteTablePtr &Table) {
    m_Server.setTable(Table);
  }

  /// Carries no further calls of other instances.
  void stop() { m_Server.stop(); }

  /// Returns how many calls of other instances are carried.
  [[nodiscard]] std::size_t carriedCalls() const {
    return m_Server.openCalls();
  }

private:
  PathProber m_Prober;       ///< Connects to upstreams.
  RelayClient m_Client;      ///< Calls that others carry.
  PathTransport m_Transport; ///< Direct calls and those that others carry.
  RelayServer m_Server;      ///< Calls of others.
};

} // namespace crowstep::relay

#endif // CROWSTEP_RELAY_CALL_RELAY_H
