/// Calls that other instances carry for this one.
///
/// A call is opened at an instance, which connects to the upstream and says so;
/// only then it is started. Until that the call has provably not been sent, so
/// it can be opened at another instance. Afterwards the carrying instance's
/// word decides, and if its link breaks the outcome is unknown.
///
/// Links are dialled when they are needed and closed when no path is lost any
/// more. Calls of other instances never come over them.
#ifndef CROWSTEP_RELAY_RELAY_CLIENT_H
#define CROWSTEP_RELAY_RELAY_CLIENT_H

#include "core/metrics.h"
#include "core/scheduler.h"
#include "gateway/call_transport.h"
#include "gateway/directory.h"
#include "link/link_type.h"
#include "relay/relay_peers.h"
#include "relay/relay_type.h"

#include <array>
#include <functional>
#include <memory>

namespace crowstep::relay {

class RelayedCall;

/// Opens links once their \p Key is known.
using RelayLinksFactory = std::function<std::unique_ptr<link::Links>(
    const std::string &Key, link::LinkListener &Listener)>;

/// Takes an upstream that another instance has connected to after it was asked.
using PeerReachCallback = std::function<void(UpstreamId)>;

class RelayClient final : private link::LinkListener {
public:
  /// Links that no question or call has used for this long are closed.
  static constexpr Duration IdleTime = std::chrono::seconds(30);

  /// Interval of questions to all selected instances, which show that they are
  /// up and how busy they are.
  static constexpr Duration CheckInterval = std::chrono::milliseconds(250);

  /// Questions end this long after the last ask() or open call.
  static constexpr Duration AskTime = std::chrono::seconds(2);

  RelayClient(const gateway::PeerInstance &Self, std::uint64_t Seed,
              RelayLinksFactory Open, const Clock &Time, Scheduler &Timers,
              Metrics &Stats, PeerReachCallback OnReach);
  ~RelayClient() override;
  RelayClient(const RelayClient &) = delete;
  RelayClient &operator=(const RelayClient &) = delete;

  /// Sets the instances, this one included.
  void setPeers(const gateway::PeerList &List);

  /// Asks instances which of \p Upstreams they can connect to.
  void ask(const std::vector<UpstreamId> &Upstreams);

  /// Goes on asking for some time, with \p Upstreams that this instance can't
  /// reach, so that instances which can carry calls are known.
  void keepAsking(const std::vector<UpstreamId> &Upstreams);

  /// Returns whether an instance can carry a call.
  [[nodiscard]] bool hasPeer() const {
    return m_Peers.hasUsable(m_Clock.now());
  }

  /// Returns the call, which ends with NoPath if no instance carries it.
  /// \p Listener outlives the call and is not called from within send().
  std::unique_ptr<UpstreamCall> send(const gateway::OutgoingCall &Call,
                                     UpstreamListener &Listener);

private:
  friend class RelayedCall;

  /// A selected instance.
  struct PeerLink {
    std::string m_Name;                 ///< Of the instance.
    Address m_Address;                  ///< Dialled.
    std::optional<link::LinkId> m_Link; ///< Set while it is up.
  };

  void linkUp(link::LinkId Link, const link::Peer &Remote) override;
  void linkFrame(link::LinkId Link, const wire::Frame &Frame) override;
  void linkDown(link::LinkId Link, const link::Peer &Remote,
                link::CloseReason Reason) override;
  void dialFailed(const Address &Dialled, link::CloseReason Reason) override;

  std::vector<InstanceId> selectPeers();
  void dialSelected(const std::vector<RelayCandidate> &Selected);
  void sendQuestion(InstanceId Peer, bool WithUpstreams);
  void receiveReport(InstanceId Peer, const wire::PathReport &Report);
  void receiveCallFrames(InstanceId Peer, const wire::Frame &Frame);
  void check();
  void close(InstanceId Peer);
  void closeAll();
  [[nodiscard]] RelayedCall *findCall(RelayCallId Id, InstanceId Peer) const;
  [[nodiscard]] std::vector<RelayCallId> callsAt(InstanceId Peer) const;

  // For RelayedCall.
  std::optional<InstanceId> open(const RelayOpening &Opening,
                                 const IncomingRequest &Request,
                                 const std::vector<InstanceId> &Excluded);
  wire::FrameT *outbox(InstanceId Peer);
  void recordCallEnd(InstanceId Peer) { m_Peers.recordCallEnd(Peer); }
  void recordAnswer(InstanceId Peer) {
    m_Peers.recordProof(Peer, m_Clock.now());
  }
  void recordRefusal(InstanceId Peer, RelayOutcome Outcome);
  [[nodiscard]] std::string nameOfPeer(InstanceId Peer) const;
  void remove(RelayCallId Id) { m_Calls.erase(Id); }

  gateway::PeerInstance m_Self;               ///< This instance.
  RelayLinksFactory m_OpenLinks;              ///< Never empty.
  const Clock &m_Clock;                       ///< Outlives this object.
  Scheduler &m_Timers;                        ///< Outlives this object.
  PeerReachCallback m_OnReach;                ///< Never empty.
  RelayPeers m_Peers;                         ///< Which instances to use.
  std::unique_ptr<link::Links> m_Links;       ///< Null until the key is known.
  std::map<InstanceId, PeerLink> m_PeerLinks; ///< Dialled.
  std::map<RelayCallId, RelayedCall *> m_Calls; ///< That have not ended.
  std::vector<UpstreamId> m_Asked;              ///< Last question.
  std::uint64_t m_LastQuestion = 0;             ///< Its id.
  std::uint64_t m_LastCall = 0;                 ///< The first id is 1.
  TimePoint m_UsedAt{};                         ///< Last ask() or open call.
  Timer m_CheckTimer;                           ///< Runs while links are open.
  Counter &m_CallCount;                         ///< Started calls.
  std::array<Counter *, static_cast<std::size_t>(RelayOutcome::Count)>
      m_Outcomes{}; ///< By outcome; never null.
};

} // namespace crowstep::relay

#endif // CROWSTEP_RELAY_RELAY_CLIENT_H
