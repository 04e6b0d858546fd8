/// How many calls wait in all instances, and how fast such calls are placed.
///
/// Every instance sends its own counts with its digests and adds up those of
/// the others, so each predicts nearly the same wait without asking.
#ifndef CROWSTEP_WAITING_BACKLOG_H
#define CROWSTEP_WAITING_BACKLOG_H

#include "balance/balance_type.h"
#include "waiting/waiting_type.h"

#include <array>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crowstep::waiting {

/// A rate of events, averaged with a time constant.
class DecayingRate {
public:
  /// Time constant: long enough for ten digests, short against the seconds that
  /// callers wait.
  static constexpr Duration Window = std::chrono::seconds(1);

  void add(double Count, TimePoint Now);

  /// Returns events a second.
  [[nodiscard]] double perSecond(TimePoint Now) const;

private:
  double m_Sum = 0;      ///< Decayed to m_At.
  TimePoint m_At{};      ///< Time of the last event.
  TimePoint m_BeganAt{}; ///< Time of the first event.
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
  [[nodiscard]] Duration outputTime(PoolId Pool, std::uint8_t Urgency) const;

  /// Replaces the waiting calls of an instance, or of the sum of several, and
  /// adds what it has placed.
  void applyReport(InstanceId From, const std::vector<WaitingCalls> &Report,
                   TimePoint Now);

  /// Forgets the waiting calls of an instance.
  void drop(InstanceId From);

  /// Returns this instance's calls, for its next digest.
  std::vector<WaitingCalls> takeReport();

  /// Returns this instance's waiting calls, for an instance that has just been
  /// linked.
  [[nodiscard]] std::vector<WaitingCalls> snapshot() const;

  /// Returns how many calls of the group wait that are at least as urgent.
  [[nodiscard]] double waitingBefore(PoolId Pool, CallStanding Standing,
                                     TimePoint Now);

  /// Returns how many such calls have been placed since the start.
  [[nodiscard]] double placedBefore(PoolId Pool, CallStanding Standing) const;

  /// Returns the time in which \p Front calls of the group that are at least as
  /// urgent are placed; Duration::max() if none are.
  ///
  /// The rate is that at which calls are placed that have waited: what is left
  /// over by calls that are placed as they arrive. When an overload begins, no
  /// call has waited yet, so the rate of all calls of these urgencies counts
  /// first, and less with each moment that the overload lasts.
  [[nodiscard]] Duration predictedWait(PoolId Pool, CallStanding Standing,
                                       double Front, TimePoint Now);

  /// Returns the number of calls of all instances that wait for any service.
  [[nodiscard]] double totalWaiting(TimePoint Now);

private:
  /// Calls of one standing.
  struct Counters {
    std::uint32_t m_OwnWaiting = 0;  ///< At this instance.
    std::uint32_t m_PeerWaiting = 0; ///< At the others.
    std::uint32_t m_Unsent = 0;      ///< Placed here since takeReport().
    double m_Placed = 0;             ///< Placed by all, since the start.
    DecayingRate m_Rate;             ///< Of placements by all.
  };

  /// Of one service.
  struct Service {
    std::array<std::array<Counters, balance::UrgencyCount>, GroupCount>
        m_Counters{}; ///< By group and urgency.
    std::array<Duration, balance::UrgencyCount>
        m_OutputTime{};        ///< Average by urgency.
    TimePoint m_NoBacklogAt{}; ///< Last time without an overload.
  };

  struct Report {
    std::vector<WaitingCalls> m_Calls; ///< As received.
    TimePoint m_ReceivedAt;            ///< Time of receipt.
  };

  Counters &countersOf(PoolId Pool, CallStanding Standing);
  [[nodiscard]] const Service *find(PoolId Pool) const;
  [[nodiscard]] static double
  placementRate(const Service &Of, std::uint8_t Urgency, TimePoint Now);
  void expire(TimePoint Now);
  void updateOverload(Service &Of, TimePoint Now);
  void forgetWaiting(const Report &Forgotten);

  std::unordered_map<PoolId, Service> m_Services; ///< By service.
  std::map<InstanceId, Report> m_Reports;         ///< By sender.
};

} // namespace crowstep::waiting

#endif // CROWSTEP_WAITING_BACKLOG_H
