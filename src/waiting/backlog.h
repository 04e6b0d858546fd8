/// How many calls wait in all instances, and how fast such calls are placed.
///
/// Every instance sends its own counts with its digests and adds up those of
/// the others, so each predicts nearly the same wait without asking.
#ifndef CROWSTEP_WAITING_BACKLOG_H
#define CROWSTEP_WAITING_BACKLOG_H

#include "balance/balance_type.h"
#include "waiting/waiting_type.h"

#include <array>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crowstep::waiting {

/// Events of the last second.
class RecentEvents {
public:
  /// Long enough for ten digests, short against the seconds that callers wait.
  static constexpr Duration Window = std::chrono::seconds(1);

  void add(TimePoint Now);

  /// Returns how many events are not older than Window.
  [[nodiscard]] std::uint32_t count(TimePoint Now);

private:
  std::deque<TimePoint> m_Times; ///< Oldest first.
};

class Backlog {
public:
  /// A report older than this doesn't count: its sender has died, is frozen or
  /// is cut off.
  static constexpr Duration ReportLifetime = std::chrono::milliseconds(1000);

  /// One interval of digests. A backlog that is placed within it is no sign of
  /// an overload: its calls may have been placed while their digest travelled.
  static constexpr Duration ShortBacklog = std::chrono::milliseconds(100);

  // Calls of this instance.
  void addWaiting(PoolId Pool, CallStanding Standing, TimePoint Now);
  void removeWaiting(PoolId Pool, CallStanding Standing, TimePoint Now);
  void recordPlaced(PoolId Pool, CallStanding Standing, TimePoint Now);

  /// A call of this urgency was served; its output took \p Output.
  void recordOutput(PoolId Pool, std::uint8_t Urgency, Duration Output);

  /// Returns how long output of such calls takes on average; zero: not known.
  [[nodiscard]] Duration outputTime(PoolId Pool, std::uint8_t Urgency);

  /// Replaces what an instance has stated, or the sum of several. Placements
  /// are stated as a state too, so that a lost digest doesn't make them fewer.
  void applyReport(InstanceId From, const std::vector<WaitingCalls> &Report,
                   TimePoint Now);

  /// Returns this instance's calls, for a digest.
  std::vector<WaitingCalls> report(TimePoint Now);

  /// Returns how many calls of the group wait that are at least as urgent.
  [[nodiscard]] double waitingBefore(PoolId Pool, CallStanding Standing,
                                     TimePoint Now);

  /// Returns how many such calls have been placed since the start.
  [[nodiscard]] double placedBefore(PoolId Pool, CallStanding Standing,
                                    TimePoint Now);

  /// Returns the time in which \p Front calls of the group that are at least as
  /// urgent are placed; Duration::max() if none are.
  ///
  /// The rate is that at which calls are placed that have waited: what is left
  /// over by calls that are placed as they arrive. When an overload begins, no
  /// call has waited yet, so the rate of all calls of these urgencies counts
  /// first, and less with each moment that the overload lasts.
  [[nodiscard]] Duration predictedWait(PoolId Pool, CallStanding Standing,
                                       double Front, TimePoint Now);

  /// Returns whether any call waits for the service, at any instance.
  [[nodiscard]] bool hasWaiting(PoolId Pool, TimePoint Now);

  /// Returns the number of calls of all instances that wait for any service.
  [[nodiscard]] double totalWaiting(TimePoint Now);

private:
  /// Calls of one standing.
  struct Counters {
    std::uint32_t m_OwnWaiting = 0;  ///< At this instance.
    std::uint32_t m_PeerWaiting = 0; ///< At the others.
    RecentEvents m_OwnPlaced;        ///< At this instance.
    std::uint32_t m_PeerPlaced = 0;  ///< At the others, in a second.
    double m_Placed = 0;             ///< By all, from the start to m_CountedAt.
    TimePoint m_CountedAt{};         ///< See m_Placed.
  };

  /// Of one service.
  struct Service {
    std::array<std::array<Counters, balance::UrgencyCount>, GroupCount>
        m_Counters{}; ///< By group and urgency.
    std::array<Duration, balance::UrgencyCount>
        m_OutputTime{};        ///< Average by urgency.
    TimePoint m_BeganAt{};     ///< When the first placement was known.
    TimePoint m_NoBacklogAt{}; ///< Last time without an overload.
  };

  struct Report {
    std::vector<WaitingCalls> m_Calls; ///< As received.
    TimePoint m_ReceivedAt;            ///< Time of receipt.
  };

  Counters &countersOf(PoolId Pool, CallStanding Standing);
  [[nodiscard]] Service *find(PoolId Pool);
  [[nodiscard]] static double rateOf(const Service &Of, Counters &Calls,
                                     TimePoint Now);
  [[nodiscard]] static double placementRate(Service &Of, std::uint8_t Urgency,
                                            TimePoint Now);
  static void countPlaced(Counters &Calls, TimePoint Now);
  void expire(TimePoint Now);
  void updateOverload(Service &Of, TimePoint Now);
  void forget(const Report &Forgotten, TimePoint Now);

  std::unordered_map<PoolId, Service> m_Services; ///< By service.
  std::map<InstanceId, Report> m_Reports;         ///< By sender.
  TimePoint m_NextExpiry{};                       ///< Of the first of these.
};

} // namespace crowstep::waiting

#endif // CROWSTEP_WAITING_BACKLOG_H
