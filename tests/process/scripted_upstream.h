/// An upstream in the test's own main loop whose statements about itself are
/// set by the test.
#ifndef CROWSTEP_TESTS_PROCESS_SCRIPTED_UPSTREAM_H
#define CROWSTEP_TESTS_PROCESS_SCRIPTED_UPSTREAM_H

#include "process/gateway_fleet.h"
#include "process/relay.h"
#include "standin/deferred_answer.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crowstep::test {

class ScriptedUpstream {
public:
  /// Long enough that calls overlap, so that all upstreams get some.
  static constexpr Duration RunTime = std::chrono::milliseconds(100);

  /// A request that has arrived.
  struct Arrival {
    TimePoint m_Time;       ///< When it arrived.
    std::string m_Path;     ///< Its path.
    bool m_Refused = false; ///< It was not run.
  };

  /// Gateways reach it through m_Path, which listens on \p Ip.
  ScriptedUpstream(const std::string &Name, GatewayFleet &Fleet,
                   std::uint32_t Ip = INADDR_LOOPBACK)
      : m_Clock(Fleet.m_Clock), m_Timers(Fleet.m_Timers) {
    const Address Listen = freeAddress();
    m_Path = std::make_unique<Relay>(Listen, Ip);
    m_Server.listen(Listen,
                    [this](SoupServerMessage *Message, const char *Path) {
                      handle(Message, Path);
                    });
    Fleet.m_Store.put("servers", Name,
                      upstreamRow(m_Path->address(), 8, "ready"));
  }

  std::unique_ptr<Relay> m_Path; ///< In front of it; never null.

  std::optional<double> m_Limit;   ///< States this limit a second.
  std::optional<double> m_Brittle; ///< States that it can reject so many.
  std::size_t m_Room = 1000;       ///< Calls that it runs at once.
  bool m_StatesLeaving = false;    ///< States that it leaves.
  std::optional<std::string> m_RetryAfter; ///< Refuses, with this Retry-After.
  std::vector<Arrival> m_Arrivals;         ///< Of all requests.

private:
  void handle(SoupServerMessage *Message, const char *Path) {
    std::erase_if(m_OpenAnswers,
                  [](const auto &Open) { return !Open->isOpen(); });
    const bool IsFull = m_OpenAnswers.size() >= m_Room;
    m_Arrivals.push_back(
        {m_Clock.readNow(), Path, IsFull || m_RetryAfter.has_value()});
    addSignatureHeaders(Message);
    SoupMessageHeaders *Headers =
        soup_server_message_get_response_headers(Message);
    if (m_Limit)
      soup_message_headers_replace(Headers, "Server-Limit",
                                   std::to_string(*m_Limit).c_str());
    if (m_Brittle)
      soup_message_headers_replace(Headers, "Server-Brittle",
                                   std::to_string(*m_Brittle).c_str());
    if (m_StatesLeaving)
      soup_message_headers_replace(Headers, "Server-Leaving", "1");
    if (IsFull) {
      soup_message_headers_replace(Headers, "X-Not-Executed", "1");
      respond(Message, 503, "text/plain", "");
      return;
    }
    if (m_RetryAfter) {
      soup_message_headers_replace(Headers, "X-Not-Executed", "1");
      soup_message_headers_replace(Headers, "Retry-After",
                                   m_RetryAfter->c_str());
      respond(Message, 503, "text/plain", "");
      return;
    }
    const auto Deferred = std::make_shared<DeferredAnswer>(Message);
    m_OpenAnswers.push_back(Deferred);
    m_Timers.runAfter(RunTime, [Weak = std::weak_ptr(Deferred)] {
      if (const auto Open = Weak.lock())
        Open->answer(200, "text/plain", "ok");
    });
  }

  const Clock &m_Clock;                                       ///< Outlives it.
  Scheduler &m_Timers;                                        ///< Outlives it.
  HttpServer m_Server;                                        ///< For gateways.
  std::vector<std::shared_ptr<DeferredAnswer>> m_OpenAnswers; ///< All so far.
};

/// Returns the path of a request that is sent to the gateway \p Gateway, by
/// which an upstream's arrivals tell the gateways apart.
inline std::string pathOfGateway(std::size_t Gateway) {
  return "/idempotent/" + std::to_string(Gateway);
}

/// Sends a request every \p Interval, to the gateways in turn.
inline void sendLoad(GatewayFleet &Fleet, Duration Span, Duration Interval) {
  const TimePoint End = Fleet.m_Clock.readNow() + Span;
  for (std::size_t I = 0; Fleet.m_Clock.readNow() < End; ++I) {
    const std::size_t Gateway = I % Fleet.size();
    Fleet.m_Caller.start(Fleet.request(Gateway, pathOfGateway(Gateway), "b"));
    runFor(Interval);
  }
}

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_SCRIPTED_UPSTREAM_H
