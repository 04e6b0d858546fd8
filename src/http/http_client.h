/// Short HTTP calls: platform, load reports, orders.
#ifndef CROWSTEP_HTTP_HTTP_CLIENT_H
#define CROWSTEP_HTTP_HTTP_CLIENT_H

#include "core/clock.h"
#include "core/scheduler.h"
#include "http/upstream_call.h"
#include "instance_type.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

namespace crowstep {

/// An answer with any status.
struct HttpAnswer {
  unsigned m_Status = 0;   ///< HTTP status.
  std::string m_Body;      ///< Whole.
  Duration m_RetryAfter{}; ///< From Retry-After; 0 where absent.
};

/// Why there is no answer.
enum class HttpFailure : std::uint8_t {
  NotSent,  ///< No connection: the peer can't have seen the call.
  NoAnswer, ///< Sent, then closed or broken: it may have taken effect.
  TimedOut, ///< Sent perhaps; nothing came within the limit.
};

using HttpResult = std::variant<HttpAnswer, HttpFailure>;

/// One call.
struct HttpCall {
  std::string m_Method = "GET";                 ///< HTTP method.
  Address m_Where;                              ///< Server.
  std::string m_Path;                           ///< Path and query, escaped.
  std::string m_Body;                           ///< JSON, or empty.
  Duration m_Timeout = std::chrono::seconds(1); ///< For the whole call.
  Duration m_ConnectLimit{}; ///< Longest wait for a connection; 0: m_Timeout.
};

/// Makes calls; the interface is mocked in tests.
class HttpCaller {
public:
  using Done = std::function<void(HttpResult)>;
  virtual ~HttpCaller() = default;

  /// Starts a call; \p OnDone runs exactly once, never from within call().
  virtual void call(const HttpCall &Call, Done OnDone) = 0;
};

/// HttpCaller over upstream calls. Calls that are open when it goes are
/// dropped.
class HttpClient final : public HttpCaller {
public:
  HttpClient();
  ~HttpClient() override;
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  void call(const HttpCall &Call, Done OnDone) override;

private:
  class Exchange;

  LoopClock m_Clock;                   ///< Of the loop.
  LoopScheduler m_Timers;              ///< Of the loop.
  HttpUpstreamCaller m_UpstreamClient; ///< Sends.
  std::unordered_map<Exchange *, std::unique_ptr<Exchange>>
      m_Exchanges; ///< Calls.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_HTTP_CLIENT_H
