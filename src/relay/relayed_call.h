/// One call that another instance carries for this one.
#ifndef CROWSTEP_RELAY_RELAYED_CALL_H
#define CROWSTEP_RELAY_RELAYED_CALL_H

#include "relay/relay_client.h"

#include <string_view>

namespace crowstep::relay {

class RelayedCall final : public UpstreamCall {
public:
  /// An instance answers within the time for a connection to the upstream and
  /// the way there and back.
  static constexpr Duration OpenTimeout = std::chrono::milliseconds(450);

  /// Instances that a call is opened at.
  static constexpr std::size_t MaxPeers = 3;

  RelayedCall(RelayClient &Owner, RelayCallId Id,
              const gateway::OutgoingCall &Call, UpstreamListener &Listener);
  ~RelayedCall() override;
  RelayedCall(const RelayedCall &) = delete;
  RelayedCall &operator=(const RelayedCall &) = delete;

  void pauseReading() override { m_IsPaused = true; }
  void resumeReading() override;
  void release() override {}
  [[nodiscard]] CallProgress progress() const override {
    return m_IsStarted ? CallProgress::Acknowledged : CallProgress::Connecting;
  }

  /// Returns the instance that carries it, or 0.
  [[nodiscard]] InstanceId peer() const { return m_Peer; }

  /// Messages from that instance. The listener may destroy the call.
  void handleReady();
  void handleHead(unsigned Status, const HeaderList &Headers);
  void handleBytes(std::string_view Bytes);
  void handleEnd(RelayOutcome Outcome);

  /// The link to that instance has closed.
  void handlePeerLost();

  /// That instance does not answer questions. A call that may run again, or has
  /// not been sent, leaves it; another one may still get its answer.
  void handlePeerSilent();

private:
  void tryNextPeer();
  void handleUnsent(RelayOutcome Outcome);
  void leavePeer();
  void cancel();
  void sendCredit();
  void end(TransportEnd End);
  [[nodiscard]] Duration timeLeft() const;
  [[nodiscard]] bool isCurrent(wire::FrameT *Outbox) const;

  RelayClient &m_Owner;                ///< Outlives the call.
  RelayCallId m_Id;                    ///< At m_Peer, of the current opening.
  gateway::OutgoingCall m_Call;        ///< As given.
  UpstreamListener &m_Listener;        ///< Outlives the call.
  InstanceId m_Peer;                   ///< 0: none.
  std::vector<InstanceId> m_Tried;     ///< Instances, m_Peer included.
  bool m_IsStarted = false;            ///< May have been sent.
  bool m_IsPaused = false;             ///< The listener reads slowly.
  bool m_HasEnded = false;             ///< The listener knows.
  std::uint32_t m_UncreditedBytes = 0; ///< Received without a credit for them.
  bool m_WasRefused = false;           ///< The upstream refused a connection.
  bool *m_Destroyed = nullptr;         ///< Set during a call of the listener.
  Timer m_OpenTimer;                   ///< Until the next step.
};

} // namespace crowstep::relay

#endif // CROWSTEP_RELAY_RELAYED_CALL_H
