/// HTTP client for short calls: platform services, load reports, orders.
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

/// A complete answer; its status may be an error.
struct HttpAnswer {
  unsigned m_Status = 0;   ///< HTTP status.
  std::string m_Body;      ///< Complete.
  Duration m_RetryAfter{}; ///< From Retry-After; 0 if it is absent or no number
                           ///< of seconds.
  HeaderList m_Headers{};  ///< All of them.
};

/// Why there is no answer.
enum class HttpFailure : std::uint8_t {
  NotSent,  ///< No connection, or withheld by the last check.
  NoAnswer, ///< Sent, then closed or reset: it may have taken effect.
  TimedOut, ///< No complete answer in time; it may have taken effect.
};

using HttpResult = std::variant<HttpAnswer, HttpFailure>;

/// One call.
struct HttpCall {
  std::string m_Method = "GET";                 ///< HTTP method.
  Address m_Address;                            ///< Of the server.
  std::string m_Path;                           ///< Path and query, escaped.
  std::string m_Body;                           ///< JSON, or empty.
  Duration m_Timeout = std::chrono::seconds(1); ///< For the whole call.
  Duration
      m_ConnectTimeout{}; ///< For the connection; 0: only m_Timeout applies.
  HeaderList m_Headers{}; ///< Beside those that every call has.
  std::function<bool()> m_MaySend{}; ///< Last check before the first byte; may
                                     ///< be empty.
};

/// Interface for HTTP calls; mocked in tests.
class HttpClientInterface {
public:
  using Done = std::function<void(HttpResult)>;
  virtual ~HttpClientInterface() = default;

  /// Starts a call; \p OnDone runs exactly once, never from within call(), and
  /// not after this object is destroyed.
  virtual void call(const HttpCall &Call, Done OnDone) = 0;
};

/// HttpClientInterface over upstream calls. Its destructor cancels open calls,
/// whose callbacks then don't run.
class HttpClient final : public HttpClientInterface {
public:
  /// Limit on an answer's body; a longer one counts as none.
  static constexpr std::size_t MaxBodyBytes = 16 << 20;

  HttpClient();
  ~HttpClient() override;
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  void call(const HttpCall &Call, Done OnDone) override;

private:
  class Exchange;

  LoopClock m_Clock;                   ///< Of the loop.
  LoopScheduler m_Timers;              ///< Of the loop.
  HttpUpstreamClient m_UpstreamClient; ///< Sends the calls.
  std::unordered_map<Exchange *, std::unique_ptr<Exchange>>
      m_Exchanges; ///< Open calls.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_HTTP_CLIENT_H
