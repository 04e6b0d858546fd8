/// How calls get to upstreams: directly or through another instance.
#ifndef CROWSTEP_GATEWAY_CALL_TRANSPORT_H
#define CROWSTEP_GATEWAY_CALL_TRANSPORT_H

#include "http/request_parser.h"
#include "http/upstream_call.h"
#include "upstream_type.h"

#include <optional>

namespace crowstep::gateway {

/// One call to the upstream that was chosen for it.
struct OutgoingCall {
  UpstreamId m_Upstream;    ///< The chosen one.
  std::string m_Name;       ///< Of the upstream.
  std::string m_RequestId;  ///< For the logs.
  UpstreamRequest m_Direct; ///< For a direct call, with the limits of any call.
  const IncomingRequest *m_Request; ///< As received; outlives the call.
  std::optional<std::uint64_t> m_LastEventId; ///< A stream goes on after it.
};

class CallTransport {
public:
  virtual ~CallTransport() = default;

  /// \p Listener outlives the call and is not called from within send().
  virtual std::unique_ptr<UpstreamCall> send(const OutgoingCall &Call,
                                             UpstreamListener &Listener) = 0;

  /// Returns how long to wait for a better choice after a connection has
  /// failed.
  [[nodiscard]] virtual Duration retryDelay() const = 0;
};

/// Sends each call directly.
class DirectTransport final : public CallTransport {
public:
  /// \p Client outlives the transport.
  explicit DirectTransport(UpstreamClient &Client) : m_Client(Client) {}

  std::unique_ptr<UpstreamCall> send(const OutgoingCall &Call,
                                     UpstreamListener &Listener) override {
    return m_Client.send(Call.m_Direct, Listener);
  }

  [[nodiscard]] Duration retryDelay() const override {
    return Duration::zero();
  }

private:
  UpstreamClient &m_Client; ///< Outlives this object.
};

/// Tells a path to an upstream that is lost from an upstream that is down.
class PathView {
public:
  virtual ~PathView() = default;

  /// A connection attempt that began at \p Began was refused.
  virtual void recordRefused(UpstreamId Upstream, TimePoint Began) = 0;

  /// Returns whether other instances reach an upstream that this one doesn't.
  [[nodiscard]] virtual bool isPathLost(UpstreamId Upstream) const = 0;
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_CALL_TRANSPORT_H
