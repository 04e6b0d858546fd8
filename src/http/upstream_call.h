/// One HTTP call to an upstream, read as it comes.
#ifndef CROWSTEP_HTTP_UPSTREAM_CALL_H
#define CROWSTEP_HTTP_UPSTREAM_CALL_H

#include "core/clock.h"
#include "core/scheduler.h"
#include "http/header_list.h"
#include "http/upstream_connection.h"
#include "instance_type.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace crowstep {

/// How the transport ended.
enum class TransportEnd : std::uint8_t {
  Complete, ///< The body arrived whole, to its length or last chunk.
  NotSent,  ///< No connection: not a byte was sent.
  TooOld,   ///< The last check stopped it: not a byte was sent.
  Broken,   ///< Sent perhaps; closed, reset or silent for too long.
};

/// What to send.
struct UpstreamSend {
  Address m_Where;                ///< Of the upstream's server.
  std::string m_Method = "POST";  ///< HTTP method.
  std::string m_Path;             ///< Path and query, escaped.
  HeaderList m_Headers;           ///< All but those that frame the body.
  std::string m_Body;             ///< Whole.
  bool m_Repeatable = false;      ///< False: fresh connection, then closed.
  bool m_CloseAfter = false;      ///< Ask the upstream to close afterwards.
  TimePoint m_SendBefore;         ///< Last check, by Clock::fresh().
  std::function<bool()> m_Wanted; ///< Last check as well; may be empty.
  Duration m_SilenceLimit{};      ///< Longest wait for a byte; 0: none.
  Duration m_ConnectLimit{};      ///< Longest wait for a connection; 0: none.
  Duration m_AnswerLimit{};       ///< Longest wait for the whole; 0: none.
  bool m_SendAgain = false;       ///< Once, where a kept connection breaks
                                  ///< before a byte of the answer.
};

/// Who hears of one call; nothing more comes after upstreamEnded() or once
/// the call is destroyed.
class UpstreamListener {
public:
  virtual ~UpstreamListener() = default;
  virtual void upstreamHeaders(unsigned Status, const HeaderList &Headers) = 0;
  virtual void upstreamBytes(std::string_view Bytes) = 0;
  virtual void upstreamEnded(TransportEnd End) = 0;
};

/// A call on its way; destroying it closes its connection.
class UpstreamCall {
public:
  virtual ~UpstreamCall() = default;
  /// Stops and continues reading, for a caller that reads slowly.
  virtual void pauseReading() = 0;
  virtual void continueReading() = 0;
};

/// Starts calls; mocked in tests.
class UpstreamCaller {
public:
  virtual ~UpstreamCaller() = default;
  /// \p Listener outlives the call; it hears nothing from within send().
  virtual std::unique_ptr<UpstreamCall> send(const UpstreamSend &Request,
                                             UpstreamListener &Listener) = 0;
};

/// A probe on its way; destroying it ends it.
class UpstreamProbe {
public:
  virtual ~UpstreamProbe() = default;
};

using ProbeDone = std::function<void(ConnectOutcome)>;

/// Finds out whether anybody listens at an upstream's address; mocked in tests.
class UpstreamProber {
public:
  virtual ~UpstreamProber() = default;
  /// \p OnDone runs once, not from within probe(), and may destroy the probe.
  virtual std::unique_ptr<UpstreamProbe>
  probe(const Address &Upstream, Duration Timeout, ProbeDone OnDone) = 0;
};

/// Calls over HTTP/1.1; outlives them.
class HttpUpstreamCaller final : public UpstreamCaller, public UpstreamProber {
public:
  HttpUpstreamCaller(const Clock &Time, Scheduler &Timers)
      : m_Clock(Time), m_Timers(Timers), m_IdleConnections(Time, Timers) {}
  HttpUpstreamCaller(const HttpUpstreamCaller &) = delete;
  HttpUpstreamCaller &operator=(const HttpUpstreamCaller &) = delete;

  /// \throws UpstreamUriError for a path that can't be sent.
  std::unique_ptr<UpstreamCall> send(const UpstreamSend &Request,
                                     UpstreamListener &Listener) override;

  /// A connection that stands is kept for the next call.
  std::unique_ptr<UpstreamProbe>
  probe(const Address &Upstream, Duration Timeout, ProbeDone OnDone) override;

private:
  const Clock &m_Clock;              ///< Outlives the caller.
  Scheduler &m_Timers;               ///< Outlives the caller.
  IdleConnections m_IdleConnections; ///< For calls that may be repeated.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_UPSTREAM_CALL_H
