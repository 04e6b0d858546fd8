/// One HTTP call to an upstream, read as it comes.
#ifndef CROWSTEP_ENTRY_UPSTREAM_CALL_H
#define CROWSTEP_ENTRY_UPSTREAM_CALL_H

#include "core/clock.h"
#include "core/scheduler.h"
#include "entry/session_pool.h"
#include "instance_type.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace crowstep::entry {

/// How the transport ended.
enum class TransportEnd : std::uint8_t {
  Complete, ///< The body arrived whole, as far as HTTP can tell.
  NotSent,  ///< No connection: not a byte was sent.
  TooOld,   ///< The last check stopped it: not a byte was sent.
  Broken,   ///< Sent perhaps; closed, reset or silent for too long.
};

/// What to send.
struct UpstreamSend {
  Address m_Where;         ///< Of the upstream's server.
  std::string m_Path;      ///< Path, escaped.
  std::string m_Body;      ///< JSON.
  std::string m_Key;       ///< Header Idempotency-Key; empty: none.
  bool m_Repeatable;       ///< False: fresh connection, Connection: close.
  TimePoint m_SendBefore;  ///< Last check, by Clock::fresh().
  Duration m_SilenceLimit; ///< Longest wait for the next byte; 0: none.
};

/// Who hears of one call; nothing more comes after upstreamEnded() or once
/// the call is destroyed.
class UpstreamListener {
public:
  virtual ~UpstreamListener() = default;
  virtual void upstreamHeaders(unsigned Status,
                               const std::string &ContentType) = 0;
  virtual void upstreamBytes(std::string_view Bytes) = 0;
  virtual void upstreamEnded(TransportEnd How) = 0;
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
  virtual std::unique_ptr<UpstreamCall> send(const UpstreamSend &What,
                                             UpstreamListener &Listener) = 0;
};

/// Calls over libsoup.
class HttpUpstreamCaller final : public UpstreamCaller {
public:
  HttpUpstreamCaller(const Clock &Time, Scheduler &Timers);
  HttpUpstreamCaller(const HttpUpstreamCaller &) = delete;
  HttpUpstreamCaller &operator=(const HttpUpstreamCaller &) = delete;

  std::unique_ptr<UpstreamCall> send(const UpstreamSend &What,
                                     UpstreamListener &Listener) override;

private:
  const Clock &m_Clock;   ///< Outlives the caller.
  Scheduler &m_Timers;    ///< Outlives the caller.
  SessionPool m_Sessions; ///< For all calls.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_UPSTREAM_CALL_H
