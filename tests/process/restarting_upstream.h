/// Upstreams that crash under some requests and come back as new processes.
#ifndef CROWSTEP_TESTS_PROCESS_RESTARTING_UPSTREAM_H
#define CROWSTEP_TESTS_PROCESS_RESTARTING_UPSTREAM_H

#include "process/gateway_fleet.h"
#include "standin/deferred_answer.h"

#include <algorithm>
#include <functional>

namespace crowstep::test {

/// An upstream in the test's main loop that restarts after a crash, on the same
/// address with a new name. It streams its answers below /streaming/.
class RestartingUpstream {
public:
  using Predicate = std::function<bool(SoupServerMessage *)>;

  static constexpr auto CrashDelay = std::chrono::milliseconds(20);
  static constexpr auto RunTime = std::chrono::milliseconds(60);
  static constexpr auto RestartDelay = std::chrono::milliseconds(700);
  static constexpr auto EntryRetention = std::chrono::milliseconds(2500);
  static constexpr int EventCount = 10; ///< Of a stream.
  static constexpr auto EventInterval = std::chrono::milliseconds(20);

  /// Crashes CrashDelay after the start of each request that \p IsCrashing
  /// selects, before its first event.
  RestartingUpstream(int Number, GatewayFleet &Fleet, Predicate IsCrashing)
      : m_Number(Number), m_ListenAddress(freeAddress()), m_Fleet(Fleet),
        m_IsCrashing(std::move(IsCrashing)) {
    start();
  }

  std::vector<TimePoint> m_Crashes; ///< Times of all crashes.
  std::vector<TimePoint> m_Runs;    ///< Starts of crashing requests.

private:
  using Answer = std::shared_ptr<DeferredAnswer>;

  void start() {
    m_Name = "u-" + std::to_string(m_Number) + "-" + std::to_string(++m_Starts);
    m_Server = std::make_unique<HttpServer>();
    m_Server->listen(m_ListenAddress,
                     [this](SoupServerMessage *Message, const char *Path) {
                       handle(Message, Path);
                     });
    m_Fleet.m_Store.put("servers", m_Name,
                        upstreamRow(m_ListenAddress, 8, "ready"));
  }

  void handle(SoupServerMessage *Message, std::string_view Path) {
    addSignatureHeaders(Message);
    const auto Deferred = std::make_shared<DeferredAnswer>(Message);
    m_OpenAnswers.push_back(Deferred);
    if (m_IsCrashing(Message)) {
      m_Runs.push_back(m_Fleet.m_Clock.readNow());
      m_Fleet.m_Timers.runAfter(CrashDelay, [this, Start = m_Starts] {
        if (m_Server != nullptr && Start == m_Starts)
          crash();
      });
      return;
    }
    m_Fleet.m_Timers.runAfter(
        RunTime, [this, Deferred, IsStream = Path.starts_with("/streaming/")] {
          if (!IsStream) {
            Deferred->answer(200, "text/plain", "ok");
            return;
          }
          Deferred->beginStream(200, "text/event-stream");
          sendEvent(Deferred, 1);
        });
  }

  void sendEvent(const Answer &Deferred, int Id) {
    if (!Deferred->isOpen())
      return;
    Deferred->append("id: " + std::to_string(Id) + "\ndata: x\n\n");
    if (Id == EventCount)
      Deferred->endStream();
    else
      m_Fleet.m_Timers.runAfter(
          EventInterval, [this, Deferred, Id] { sendEvent(Deferred, Id + 1); });
  }

  void crash() {
    m_Crashes.push_back(m_Fleet.m_Clock.readNow());
    for (const Answer &Open : m_OpenAnswers)
      Open->closeConnection();
    m_OpenAnswers.clear();
    m_Server = nullptr;
    m_Fleet.m_Timers.runAfter(RestartDelay, [this] { start(); });
    m_Fleet.m_Timers.runAfter(EntryRetention, [this, Name = m_Name] {
      m_Fleet.m_Store.put("servers", Name, "");
    });
  }

  int m_Number;                         ///< From 0.
  int m_Starts = 0;                     ///< Number of starts so far.
  std::string m_Name;                   ///< Changes with each start.
  Address m_ListenAddress;              ///< The same for all starts.
  GatewayFleet &m_Fleet;                ///< Outlives it.
  Predicate m_IsCrashing;               ///< Never empty.
  std::unique_ptr<HttpServer> m_Server; ///< Null between a crash and a start.
  std::vector<Answer> m_OpenAnswers;    ///< Of this start.
};

/// Returns the times of all of \p Upstreams, in order.
inline std::vector<TimePoint>
sortedTimes(const std::vector<std::unique_ptr<RestartingUpstream>> &Upstreams,
            std::vector<TimePoint> RestartingUpstream::*Times) {
  std::vector<TimePoint> Result;
  for (const auto &Upstream : Upstreams)
    Result.insert(Result.end(), ((*Upstream).*Times).begin(),
                  ((*Upstream).*Times).end());
  std::ranges::sort(Result);
  return Result;
}

/// Longest time until all gateways know of a crash.
inline constexpr Duration PropagationTime = std::chrono::seconds(3);

/// Crashing requests that may still run more than PropagationTime after the
/// crash from which they are bounded.
inline constexpr std::size_t MaxLateRuns = 3;

/// Returns the time of the crash number \p Number of all, or a time later than
/// all runs if there were fewer.
inline TimePoint
crashTime(const std::vector<std::unique_ptr<RestartingUpstream>> &Upstreams,
          std::size_t Number) {
  const auto Crashes = sortedTimes(Upstreams, &RestartingUpstream::m_Crashes);
  return Crashes.size() < Number ? TimePoint::max() - std::chrono::hours(1)
                                 : Crashes[Number - 1];
}

/// Returns how many crashing requests have begun to run more than
/// PropagationTime after the crash number \p Number.
inline std::size_t
lateRuns(const std::vector<std::unique_ptr<RestartingUpstream>> &Upstreams,
         std::size_t Number) {
  const TimePoint Limit = crashTime(Upstreams, Number) + PropagationTime;
  return static_cast<std::size_t>(
      std::ranges::count_if(sortedTimes(Upstreams, &RestartingUpstream::m_Runs),
                            [&](TimePoint Run) { return Run > Limit; }));
}

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_RESTARTING_UPSTREAM_H
