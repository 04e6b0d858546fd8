/// A direct call whose progress shows whether its upstream can be reached.
#ifndef CROWSTEP_RELAY_DIRECT_CALL_H
#define CROWSTEP_RELAY_DIRECT_CALL_H

#include "relay/path_transport.h"

namespace crowstep::relay {

class DirectCall final : public UpstreamCall, private UpstreamListener {
public:
  /// A connection, or the acknowledgement of a request, usually takes a few
  /// milliseconds. After this time the path is checked.
  static constexpr Duration CheckDelay = std::chrono::milliseconds(100);

  /// A request that is not acknowledged after this time, in which it was
  /// retransmitted, is evidence of a lost path.
  static constexpr Duration AcknowledgeTimeout = std::chrono::milliseconds(300);

  /// On a lost path, a call that was sent and is silent for this long is left
  /// if it may run again.
  static constexpr Duration SilenceLimit = std::chrono::milliseconds(300);

  /// Interval at which a call on a lost path is offered to leave it.
  static constexpr Duration OfferInterval = std::chrono::milliseconds(250);

  DirectCall(PathTransport &Owner, const gateway::OutgoingCall &Call,
             UpstreamListener &Listener);
  ~DirectCall() override;
  DirectCall(const DirectCall &) = delete;
  DirectCall &operator=(const DirectCall &) = delete;

  void pauseReading() override { m_Call->pauseReading(); }
  void resumeReading() override { m_Call->resumeReading(); }
  void release() override { m_Call->release(); }
  [[nodiscard]] CallProgress progress() const override {
    return m_Call == nullptr ? CallProgress::Connecting : m_Call->progress();
  }

  [[nodiscard]] UpstreamId upstream() const { return m_Upstream; }

  /// The path to the upstream is lost. The listener may destroy the call.
  void handlePathLost();

private:
  void upstreamConnected() override { m_Listener.upstreamConnected(); }
  void upstreamHeaders(unsigned Status, const HeaderList &Headers) override;
  void upstreamBytes(std::string_view Bytes) override;
  void upstreamEnded(TransportEnd End) override;

  void checkProgress();
  void checkSilence();
  void recordBytes();

  PathTransport &m_Owner;       ///< Outlives the call.
  UpstreamId m_Upstream;        ///< Where it goes.
  UpstreamListener &m_Listener; ///< Outlives the call.
  TimePoint m_Began;            ///< Start of the call.
  TimePoint m_LastByteAt;       ///< Or the start of the call.
  Timer m_CheckTimer;           ///< Next checkProgress() or checkSilence().
  std::unique_ptr<UpstreamCall> m_Call; ///< Null once it has ended.
};

} // namespace crowstep::relay

#endif // CROWSTEP_RELAY_DIRECT_CALL_H
