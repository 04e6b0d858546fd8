/// HTTP calls to upstreams, whose answers are delivered as they arrive.
#ifndef CROWSTEP_HTTP_UPSTREAM_CALL_H
#define CROWSTEP_HTTP_UPSTREAM_CALL_H

#include "core/clock.h"
#include "core/scheduler.h"
#include "http/answer_fault.h"
#include "http/header_list.h"
#include "http/upstream_connection.h"
#include "instance_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace crowstep {

/// How a call ended at the transport level.
enum class TransportEnd : std::uint8_t {
  Complete,       ///< The answer was received in full.
  NotSent,        ///< No connection; no byte was sent.
  ConnectRefused, ///< Nothing listens at the address; no byte was sent.
  Withheld,       ///< Stopped by the last check; no byte was sent.
  Broken,         ///< Closed, reset or timed out; maybe sent.
  NoPath,         ///< The path is lost and, so far, no other instance carries
                  ///< the call; no byte was sent.
  RelayLost,      ///< The instance that carried it was lost; maybe sent.
  OtherProcess,   ///< Another process listens there by now; no byte was sent.
  Unproven, ///< The process there does not say which one it is; no byte was
            ///< sent.
};

/// How far a request has come.
enum class CallProgress : std::uint8_t {
  Connecting,     ///< No byte was sent.
  Unacknowledged, ///< The upstream's machine hasn't acknowledged all of it.
  Acknowledged,   ///< It has; the upstream may not have read it.
};

/// Returns the stable name in logs, such as "connecting".
std::string_view nameOf(CallProgress Progress);

/// What the process at an upstream's address states about itself.
enum class ProcessStatement : std::uint8_t {
  Expected,   ///< It is the expected process.
  Other,      ///< It is another one.
  Unreadable, ///< It does not say.
};

/// Asks for such a statement, before a request is sent on the same connection:
/// a process that starts at the address of another one gets none of its
/// connections.
struct ProcessCheck {
  std::string m_Path;          ///< Of the statement.
  std::uint64_t m_Process = 0; ///< Identifies the expected process; not 0.
  std::function<ProcessStatement(std::string_view)>
      m_Read; ///< Reads the body of the statement.
};

/// A request to an upstream.
struct UpstreamRequest {
  Address m_Address;             ///< Of the upstream's server.
  std::string m_Method = "POST"; ///< HTTP method.
  std::string m_Path;            ///< Path and query, percent-encoded.
  HeaderList m_Headers;          ///< Without those that frame the body.
  std::string m_Body;            ///< Complete.
  bool m_Repeatable = false;     ///< False: always on a new connection.
  bool m_CloseAfter = false;     ///< Ask the upstream to close the connection.
  TimePoint m_SendDeadline;      ///< Last check, against Clock::readNow().
  std::function<bool()> m_SendCheck; ///< Part of the last check; may be empty.
  std::optional<ProcessCheck> m_ProcessCheck; ///< None: any process will do.
  Duration m_SilenceTimeout{}; ///< Between two received bytes; 0: none.
  Duration m_ConnectTimeout{}; ///< For the connection; 0: none.
  Duration m_AnswerTimeout{};  ///< For the whole call; 0: none.
  bool m_HoldSend = false;     ///< Send nothing before UpstreamCall::release().
  bool m_RetryStaleConnection = false; ///< Once, if a reused connection fails
                                       ///< before a byte of the answer.
};

/// Receives the events of one call; none follow upstreamEnded() or the
/// destruction of the call.
class UpstreamListener {
public:
  virtual ~UpstreamListener() = default;
  /// The connection of a call with m_HoldSend is established.
  virtual void upstreamConnected() {}
  /// The path to the upstream is lost and nothing has come over it for a while,
  /// though the call was sent. Called again from time to time.
  virtual void upstreamUnreachable() {}
  virtual void upstreamHeaders(unsigned Status, const HeaderList &Headers) = 0;
  virtual void upstreamBytes(std::string_view Bytes) = 0;
  virtual void upstreamEnded(TransportEnd End) = 0;
};

/// An open call; destroying it closes its connection.
class UpstreamCall {
public:
  virtual ~UpstreamCall() = default;
  /// Pause and resume reading, for a caller that reads slowly.
  virtual void pauseReading() = 0;
  virtual void resumeReading() = 0;

  /// Sends a call with m_HoldSend, after upstreamConnected().
  virtual void release() = 0;

  [[nodiscard]] virtual CallProgress progress() const = 0;
};

/// Interface that starts calls; mocked in tests.
class UpstreamClient {
public:
  virtual ~UpstreamClient() = default;
  /// \p Listener outlives the call and is not called from within send().
  virtual std::unique_ptr<UpstreamCall> send(const UpstreamRequest &Request,
                                             UpstreamListener &Listener) = 0;

  /// Closes the connections to an upstream that no call uses.
  virtual void closeIdle(const Address &Upstream) = 0;
};

/// An open probe; destroying it cancels it.
class UpstreamProbe {
public:
  virtual ~UpstreamProbe() = default;
};

using ProbeCallback = std::function<void(ConnectOutcome)>;

/// Checks whether an upstream accepts connections; mocked in tests.
class UpstreamProber {
public:
  virtual ~UpstreamProber() = default;
  /// \p OnDone runs once, not within probe(), and may destroy the probe.
  virtual std::unique_ptr<UpstreamProbe>
  probe(const Address &Upstream, Duration Timeout, ProbeCallback OnDone) = 0;
};

/// Calls and probes over HTTP/1.1; outlives them.
class HttpUpstreamClient final : public UpstreamClient, public UpstreamProber {
public:
  /// Connections are made from \p Source; none: from any address. Broken
  /// answers are counted in \p BrokenAnswers, which may be null.
  HttpUpstreamClient(const Clock &Time, Scheduler &Timers,
                     const Address &Source = {},
                     BrokenAnswerStats *BrokenAnswers = nullptr)
      : m_Clock(Time), m_Timers(Timers), m_Source(Source),
        m_BrokenAnswers(BrokenAnswers), m_IdleConnections(Time, Timers) {}
  HttpUpstreamClient(const HttpUpstreamClient &) = delete;
  HttpUpstreamClient &operator=(const HttpUpstreamClient &) = delete;

  /// \throws UpstreamUriError for a path that can't be sent.
  std::unique_ptr<UpstreamCall> send(const UpstreamRequest &Request,
                                     UpstreamListener &Listener) override;
  void closeIdle(const Address &Upstream) override {
    m_IdleConnections.close(Upstream);
  }

  /// An established connection is kept for the next call.
  std::unique_ptr<UpstreamProbe> probe(const Address &Upstream,
                                       Duration Timeout,
                                       ProbeCallback OnDone) override;

private:
  const Clock &m_Clock;               ///< Outlives this object.
  Scheduler &m_Timers;                ///< Outlives this object.
  Address m_Source;                   ///< See the constructor.
  BrokenAnswerStats *m_BrokenAnswers; ///< Null: not counted. Outlives this.
  IdleConnections m_IdleConnections;  ///< Taken by repeatable calls.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_UPSTREAM_CALL_H
