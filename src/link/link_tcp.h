/// Links over TCP with GLib sockets.
#ifndef CROWSTEP_LINK_LINK_TCP_H
#define CROWSTEP_LINK_LINK_TCP_H

#include "core/metrics.h"
#include "core/scheduler.h"
#include "link/link_type.h"

#include <limits>
#include <memory>

namespace crowstep::link {

/// Identity of this process and parameters of its links.
struct LinkConfig {
  wire::Role m_Role = wire::Role::Entry; ///< Kind of this process.
  std::string m_Name;                    ///< Of this instance.
  Incarnation m_Incarnation;             ///< Of this process.
  AvailabilityZone m_Zone;               ///< Of this instance.
  Address m_Listen;                      ///< None: accepts no links.
  std::string m_Purpose; ///< Label of the gauge of open links; empty: none.
  std::string m_Key;     ///< Shared secret of all processes.
  std::uint32_t m_MaxFrameBytes = 4U << 20; ///< Bytes, in both directions.
  std::size_t m_MaxQueuedBytes = 16U << 20; ///< Bytes waiting for a slow peer.
  /// While more bytes than this wait for the peer, messages stay in the frame
  /// under assembly, where later ones may replace earlier ones.
  std::size_t m_HoldAboveBytes = std::numeric_limits<std::size_t>::max();

  Duration m_HandshakeTimeout = std::chrono::seconds(2);  ///< > 0.
  Duration m_MinBackoff = std::chrono::milliseconds(100); ///< First delay.
  Duration m_MaxBackoff = std::chrono::seconds(2);        ///< Longest delay.
};

/// Links over TCP; one listener is notified of all of them.
class TcpLinks final : public Links {
public:
  TcpLinks(LinkConfig Config, Scheduler &Timers, Metrics &Stats,
           LinkListener &Listener);
  ~TcpLinks() override;
  TcpLinks(const TcpLinks &) = delete;
  TcpLinks &operator=(const TcpLinks &) = delete;

  /// Starts to accept links. \throws ListenError.
  void start();

  void dial(const Address &Remote) override;
  void disconnect(const Address &Remote) override;
  void stopDialling(const Address &Remote) override;
  wire::FrameT &outbox(LinkId Link) override;
  void flush(LinkId Link) override;
  [[nodiscard]] std::size_t queuedBytes(LinkId Link) const override;
  void close(LinkId Link) override;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl; ///< Never null.
};

} // namespace crowstep::link

#endif // CROWSTEP_LINK_LINK_TCP_H
