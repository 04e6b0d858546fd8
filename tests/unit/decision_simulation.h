/// A simulation around a Decider: entries that carry out its actions, upstreams
/// that serve, and checks of every action against the events it was sent.
#ifndef CROWSTEP_TESTS_UNIT_DECISION_SIMULATION_H
#define CROWSTEP_TESTS_UNIT_DECISION_SIMULATION_H

#include "decision/decider.h"

#include <functional>
#include <map>
#include <set>
#include <stdexcept>
#include <string>

namespace crowstep::decision::test {

using namespace std::chrono_literals;

/// Thrown when an action violates an invariant.
class InvariantViolation : public std::logic_error {
public:
  using std::logic_error::logic_error;
};

inline void requireInvariant(bool Condition, const std::string &Message) {
  if (!Condition)
    throw InvariantViolation(Message);
}

/// A row of the table; tests change it as needed.
inline Contract row(std::uint16_t Id, std::uint8_t Tier, Duration Target,
                    Duration Limit, bool Preemptible = false) {
  Contract NewRow;
  NewRow.m_Id = ClassId(Id);
  NewRow.m_Tier = Tier;
  NewRow.m_FirstTokenTarget = Target;
  NewRow.m_TotalLimit = Limit;
  NewRow.m_Preemptible = Preemptible;
  return NewRow;
}

inline Upstream engine(std::uint64_t Id, std::uint32_t Slots) {
  Upstream NewEngine;
  NewEngine.m_Id = UpstreamId(Id);
  NewEngine.m_Kind = Engine{Slots, {}, true, true};
  return NewEngine;
}

inline Duration secondsToDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

/// Outcome of a bid.
struct Outcome {
  ClassId m_Class;                              ///< As submitted.
  WorkspaceId m_Workspace;                      ///< As asked.
  TimePoint m_SubmittedAt;                      ///< Time of the first bid.
  TimePoint m_Target;                           ///< Of the first token.
  std::optional<TimePoint> m_FirstTokenAt;      ///< Time of the first token.
  std::optional<RefusalReason> m_RefusalReason; ///< Final refusal.
  Duration m_RetryAfter{};                      ///< Stated in the refusal.
  bool m_Finished = false;                      ///< Got the whole answer.
  unsigned m_Grants = 0; ///< Not counting repeated grants.
};

/// Drives a Decider on a manual clock and checks each of its actions.
class DeciderSimulation {
public:
  explicit DeciderSimulation(DeciderConfig Config = {})
      : m_Decider(Config),
        m_IsBaseline(Config.m_Policy != PolicyKind::Crowstep) {}

  struct Work {
    Bid m_Bid;             ///< As sent.
    UpstreamId m_Upstream; ///< Where it runs.
    TimePoint m_Since;     ///< Time of the grant.
    /// Distinguishes its timers from those of earlier attempts.
    std::uint64_t m_Attempt = 0;
    bool m_IsStopping = false; ///< Ordered to stop.
  };

  void setTable(const std::vector<Contract> &Rows) {
    ++m_Version;
    m_Rows.clear();
    for (const Contract &Row : Rows)
      m_Rows[Row.m_Id] = Row;
    send(TableChanged{{TableVersion(m_Version), Rows}});
  }

  void setUpstreams(const std::vector<Upstream> &All) {
    m_Upstreams.clear();
    for (const Upstream &Listing : All) {
      m_Upstreams[Listing.m_Id] = Listing;
      if (Listing.m_Draining)
        m_ListedDrainingAt[Listing.m_Id] = m_Clock.now();
    }
    send(UpstreamsChanged{All});
  }

  /// Sends a new bid; once it runs, its answer takes \p Service.
  RequestId submit(std::uint16_t Class, std::uint32_t Workspace,
                   Duration Service,
                   const std::function<void(Bid &)> &Change = {}) {
    Bid NewBid;
    NewBid.m_Request = {InstanceId(1 + m_Next % 3), m_Next};
    ++m_Next;
    NewBid.m_Class = ClassId(Class);
    NewBid.m_Workspace = WorkspaceId(Workspace);
    NewBid.m_MaxTokens = 4096;
    if (const auto Row = m_Rows.find(NewBid.m_Class); Row != m_Rows.end()) {
      NewBid.m_UntilTarget = Row->second.m_FirstTokenTarget;
      NewBid.m_UntilLimit = Row->second.m_TotalLimit;
    }
    if (Change)
      Change(NewBid);
    m_Service[NewBid.m_Request] = Service;
    Outcome &New = m_Outcomes[NewBid.m_Request];
    New.m_Class = NewBid.m_Class;
    New.m_Workspace = NewBid.m_Workspace;
    New.m_SubmittedAt = m_Clock.now();
    New.m_Target = m_Clock.now() + NewBid.m_UntilTarget;
    bid(NewBid);
    return NewBid.m_Request;
  }

  void bid(const Bid &NewBid) {
    m_Waiting[NewBid.m_Request] = {NewBid, m_Clock.now() + NewBid.m_UntilLimit};
    send(NewBid);
  }

  void withdraw(const RequestId &Id) {
    m_Waiting.erase(Id);
    m_Running.erase(Id);
    send(BidWithdrawn{Id});
  }

  void loseEntry(InstanceId Entry) {
    std::erase_if(m_Waiting,
                  [&](auto &Item) { return Item.first.m_Entry == Entry; });
    std::erase_if(m_Running,
                  [&](auto &Item) { return Item.first.m_Entry == Entry; });
    send(EntryLost{Entry});
  }

  void end(RequestId Id, WorkEnd End) {
    const auto It = m_Running.find(Id);
    if (It == m_Running.end())
      return;
    const Work Done = It->second;
    m_Running.erase(It);
    const Duration Took = m_Clock.now() - Done.m_Since;
    const Duration PerToken = scaled(m_TokenTime, Done.m_Upstream);
    const auto Tokens = static_cast<std::uint32_t>(
        End == WorkEnd::ConnectFailed ? 0 : Took / PerToken);
    if (End == WorkEnd::Finished)
      m_Outcomes[Id].m_Finished = true;
    m_Tokens[Done.m_Bid.m_Class] += Tokens;
    if (End == WorkEnd::UpstreamDraining)
      m_SelfReportedDraining.insert(Done.m_Upstream);
    send(WorkEnded{Id, Done.m_Upstream, End, Tokens, Took});
    if (End == WorkEnd::Finished || End == WorkEnd::Cancelled)
      return;
    Bid Again = Done.m_Bid;
    Again.m_DoneTokens += Tokens;
    Again.m_IsRetry = End == WorkEnd::Failed || End == WorkEnd::ConnectFailed;
    if (Again.m_IsRetry)
      Again.m_Avoid = Done.m_Upstream;
    const TimePoint Target = m_Outcomes[Id].m_Target;
    Again.m_UntilTarget = std::max(Duration::zero(), Target - m_Clock.now());
    m_Service[Id] = std::max<Duration>(1ms, m_Service[Id] - Took);
    bid(Again);
  }

  void send(const Event &NextEvent) {
    std::vector<Action> Actions;
    m_Decider.handle(NextEvent, m_Clock.now(), Actions);
    for (const Action &NextAction : Actions)
      std::visit([this](const auto &Actual) { apply(Actual); }, NextAction);
    m_Log.insert(m_Log.end(), Actions.begin(), Actions.end());
    const auto Next = m_Decider.nextDeadline();
    requireInvariant(!Next || *Next > m_Clock.now(),
                     "the next deadline is not in the future");
    requireInvariant(m_Decider.stats().m_Waiting == m_Waiting.size(),
                     "the Decider's queue differs from the unanswered bids");
    requireInvariant(
        m_Decider.stats().m_Running == m_Running.size(),
        "the Decider's running work differs from the simulation's");
  }

  /// Advances the clock; timers and ticks run in order.
  void advance(Duration Step) {
    const TimePoint Until = m_Clock.now() + Step;
    for (;;) {
      std::optional<TimePoint> Next = m_Decider.nextDeadline();
      const bool IsTimer =
          !m_Timers.empty() && (!Next || m_Timers.begin()->first <= *Next);
      if (IsTimer)
        Next = m_Timers.begin()->first;
      if (!Next || *Next > Until)
        break;
      m_Clock.advance(*Next - m_Clock.now());
      if (!IsTimer) {
        send(Tick{});
        continue;
      }
      const auto Due = m_Timers.extract(m_Timers.begin());
      Due.mapped()();
    }
    m_Clock.advance(Until - m_Clock.now());
  }

  void schedule(Duration Delay, std::function<void()> Callback) {
    m_Timers.emplace(m_Clock.now() + Delay, std::move(Callback));
  }

  [[nodiscard]] std::uint32_t runningCount(ClassId Class) const {
    std::uint32_t Found = 0;
    for (const auto &[Id, Running] : m_Running)
      Found += Running.m_Bid.m_Class == Class ? 1 : 0;
    return Found;
  }

  [[nodiscard]] std::uint8_t tierOf(ClassId Class) const {
    return m_Rows.at(Class).m_Tier;
  }

  ManualClock m_Clock;                        ///< Source of all times.
  Decider m_Decider;                          ///< Under test.
  bool m_IsBaseline;                          ///< The policy ignores tiers.
  std::map<ClassId, Contract> m_Rows;         ///< In force.
  std::map<UpstreamId, Upstream> m_Upstreams; ///< Listed.
  /// When last listed as draining.
  std::map<UpstreamId, TimePoint> m_ListedDrainingAt;
  std::set<UpstreamId> m_Drained;              ///< By operators.
  std::set<UpstreamId> m_SelfReportedDraining; ///< By their own answers.
  /// Factors on their times; 1 if absent.
  std::map<UpstreamId, double> m_SlowdownFactors;
  std::set<UpstreamId> m_Ejected; ///< By the Decider's last action.
  /// Excluded from the checks for preemptible work.
  std::set<UpstreamId> m_Failing;
  /// With the times of their limits.
  std::map<RequestId, std::pair<Bid, TimePoint>> m_Waiting;
  std::map<RequestId, Work> m_Running;              ///< Granted and not ended.
  std::map<RequestId, Outcome> m_Outcomes;          ///< Of all bids.
  std::map<ClassId, std::uint64_t> m_Tokens;        ///< Generated.
  std::vector<Action> m_Log;                        ///< All actions.
  Duration m_FirstTokenTime = 20ms;                 ///< After a grant.
  Duration m_TokenTime = 10ms;                      ///< Per token.
  Duration m_StopTime = 15ms;                       ///< After an order to stop.
  std::function<void(const RequestId &)> m_OnGrant; ///< May end it early.

private:
  void apply(const Grant &Granted) {
    if (const auto Again = m_Running.find(Granted.m_Request);
        Again != m_Running.end()) {
      requireInvariant(Again->second.m_Upstream == Granted.m_Upstream,
                       "repeated grant names another upstream");
      return;
    }
    const auto It = m_Waiting.find(Granted.m_Request);
    requireInvariant(It != m_Waiting.end(),
                     "grant of a bid that is not waiting");
    checkUpstream(Granted.m_Upstream);
    const Bid Asked = It->second.first;
    m_Waiting.erase(It);
    m_Running[Granted.m_Request] = {Asked, Granted.m_Upstream, m_Clock.now(),
                                    ++m_Attempts};
    ++m_Outcomes[Granted.m_Request].m_Grants;
    checkLimits(Asked, Granted.m_Upstream);
    serve(Granted.m_Request, Granted.m_Upstream);
  }

  void checkUpstream(UpstreamId Id) const {
    const auto It = m_Upstreams.find(Id);
    requireInvariant(It != m_Upstreams.end(),
                     "grant to an upstream that is not listed");
    requireInvariant(!It->second.m_Draining &&
                         !m_SelfReportedDraining.contains(Id) &&
                         !isHeldDraining(Id),
                     "grant to a draining upstream");
    requireInvariant(!m_Drained.contains(Id), "grant to a drained upstream");
  }

  void checkLimits(const Bid &Asked, UpstreamId Target) const {
    const auto Count = [this](const auto &Matches) {
      std::uint32_t Found = 0;
      for (const auto &[Id, Running] : m_Running)
        Found += Matches(Running) ? 1 : 0;
      return Found;
    };
    const Contract &Row = m_Rows.at(Asked.m_Class);
    const auto &Kind = std::get<Engine>(m_Upstreams.at(Target).m_Kind);
    requireInvariant(Count([&](const Work &Running) {
                       return Running.m_Upstream == Target;
                     }) <= Kind.m_Slots,
                     "more running requests than slots");
    const std::uint32_t OfClass = runningCount(Asked.m_Class);
    requireInvariant(Row.m_MaxConcurrent == 0 || OfClass <= Row.m_MaxConcurrent,
                     "class exceeds its limit on running requests");
    const std::uint32_t OfWorkspace = Count([&](const Work &Running) {
      return Running.m_Bid.m_Class == Asked.m_Class &&
             Running.m_Bid.m_Workspace == Asked.m_Workspace;
    });
    requireInvariant(Row.m_WorkspaceConcurrent == 0 ||
                         OfWorkspace <= Row.m_WorkspaceConcurrent,
                     "workspace exceeds its limit on running requests");
  }

  void serve(const RequestId &Id, UpstreamId Target) {
    if (m_OnGrant) {
      const std::uint64_t Attempt = m_Attempts;
      schedule(1ms, [this, Id, Attempt] {
        if (isCurrent(Id, Attempt))
          m_OnGrant(Id);
      });
    }
    const std::uint64_t Attempt = m_Attempts;
    schedule(scaled(m_FirstTokenTime, Target), [this, Id, Attempt] {
      if (!isCurrent(Id, Attempt))
        return;
      Outcome &Result = m_Outcomes[Id];
      Result.m_FirstTokenAt = Result.m_FirstTokenAt.value_or(m_Clock.now());
      send(FirstToken{Id, m_Clock.now() - m_Running[Id].m_Since});
    });
    schedule(scaled(m_FirstTokenTime + m_Service[Id], Target),
             [this, Id, Attempt] {
               if (isCurrent(Id, Attempt))
                 end(Id, WorkEnd::Finished);
             });
  }

  [[nodiscard]] Duration scaled(Duration Usual, UpstreamId Id) const {
    const auto Slow = m_SlowdownFactors.find(Id);
    const double Factor = Slow == m_SlowdownFactors.end() ? 1.0 : Slow->second;
    return std::chrono::duration_cast<Duration>(Usual * Factor);
  }

  [[nodiscard]] bool isCurrent(const RequestId &Id,
                               std::uint64_t Attempt) const {
    const auto At = m_Running.find(Id);
    return At != m_Running.end() && At->second.m_Attempt == Attempt;
  }

  void apply(const Refuse &Refused) {
    const auto It = m_Waiting.find(Refused.m_Request);
    requireInvariant(It != m_Waiting.end(),
                     "refusal of a bid that is not waiting");
    requireInvariant(Refused.m_Reason != RefusalReason::None,
                     "refusal without a reason");
    requireInvariant(Refused.m_RetryAfter >= Duration::zero() &&
                         Refused.m_RetryAfter <= 60s,
                     "retry delay out of range");
    const Bid Asked = It->second.first;
    m_Waiting.erase(It);
    Outcome &Result = m_Outcomes[Refused.m_Request];
    requireInvariant(!Result.m_RefusalReason, "bid refused twice");
    Result.m_RefusalReason = Refused.m_Reason;
    Result.m_RetryAfter = Refused.m_RetryAfter;
    if (Refused.m_Reason != RefusalReason::TargetUnreachable)
      return;
    requireInvariant(Refused.m_RetryAfter > Duration::zero(),
                     "refusal without a retry delay");
    checkRefusal(Asked);
  }

  /// Bids that would be served before the refused one must outnumber the slots
  /// that could be preempted. The baselines do not guarantee this.
  void checkRefusal(const Bid &Refused) const {
    if (m_IsBaseline)
      return;
    const std::uint8_t Tier = tierOf(Refused.m_Class);
    std::size_t Before = 0;
    for (const auto &[Id, Waiting] : m_Waiting)
      Before += tierOf(Waiting.first.m_Class) <= Tier ? 1 : 0;
    std::size_t Preemptible = 0;
    for (const auto &[Id, Running] : m_Running)
      Preemptible += isPreemptible(Running, Tier) ? 1 : 0;
    requireInvariant(
        Preemptible == 0 || Preemptible <= Before,
        "refused although work of a lower tier could be preempted");
    checkFloors(Tier);
  }

  /// Lower tiers may keep their floors, and as much again while they are below
  /// them; work beyond that is stopped before an urgent bid is refused.
  void checkFloors(std::uint8_t Tier) const {
    double Weights = 0;
    for (const auto &[Id, Row] : m_Rows)
      Weights += Row.m_Weight;
    double Slots = 0;
    for (const auto &[Id, Listing] : m_Upstreams)
      Slots += isUsable(Id) ? std::get<Engine>(Listing.m_Kind).m_Slots : 0;
    for (const auto &[Id, Row] : m_Rows) {
      double Kept = 0;
      for (const auto &[Request, Running] : m_Running)
        Kept +=
            Running.m_Bid.m_Class == Id && isPreemptible(Running, Tier) ? 1 : 0;
      requireInvariant(Kept < 2 * Slots * Row.m_Weight / Weights + 2,
                       "refused although a lower class exceeds its floor");
    }
  }

  [[nodiscard]] bool isPreemptible(const Work &Running,
                                   std::uint8_t Above) const {
    const Contract &Row = m_Rows.at(Running.m_Bid.m_Class);
    return !Running.m_IsStopping && Row.m_Tier > Above && Row.m_Preemptible &&
           isUsable(Running.m_Upstream);
  }

  /// No work of a tier below \p Tier may hold a slot that could be preempted.
  void checkNoVictim(std::uint8_t Tier, const std::string &Message) const {
    for (const auto &[Id, Running] : m_Running)
      requireInvariant(!isPreemptible(Running, Tier), Message);
  }

  /// A lagging list may report an upstream as draining and then not; the latter
  /// is ignored for 10 s.
  [[nodiscard]] bool isHeldDraining(UpstreamId Id) const {
    const auto At = m_ListedDrainingAt.find(Id);
    return At != m_ListedDrainingAt.end() && m_Clock.now() < At->second + 10s;
  }

  [[nodiscard]] bool isUsable(UpstreamId Id) const {
    const auto At = m_Upstreams.find(Id);
    return At != m_Upstreams.end() && !At->second.m_Draining &&
           !m_SelfReportedDraining.contains(Id) && !isHeldDraining(Id) &&
           !m_Drained.contains(Id) && !m_Ejected.contains(Id) &&
           !m_Failing.contains(Id);
  }

  void apply(const Preempt &Order) {
    const auto It = m_Running.find(Order.m_Request);
    requireInvariant(It != m_Running.end(),
                     "preemption of work that is not running");
    requireInvariant(It->second.m_Upstream == Order.m_Upstream,
                     "preemption names another upstream");
    const Contract &Row = m_Rows.at(It->second.m_Bid.m_Class);
    requireInvariant(Row.m_Preemptible && Row.m_Repeatable,
                     "preempted work is not preemptible");
    bool HasUrgent = false;
    for (const auto &[Id, Waiting] : m_Waiting)
      HasUrgent = HasUrgent || tierOf(Waiting.first.m_Class) < Row.m_Tier;
    requireInvariant(HasUrgent, "preempted without a more urgent bid waiting");
    checkNoVictim(Row.m_Tier, "preempted although less urgent work is running");
    It->second.m_IsStopping = true;
    const std::uint64_t Attempt = It->second.m_Attempt;
    schedule(m_StopTime, [this, Id = Order.m_Request, Attempt] {
      if (isCurrent(Id, Attempt))
        end(Id, WorkEnd::Preempted);
    });
  }

  void apply(const EjectionChanged &Change) {
    if (Change.m_Ejected)
      m_Ejected.insert(Change.m_Upstream);
    else
      m_Ejected.erase(Change.m_Upstream);
    requireInvariant(m_Ejected.empty() || m_Ejected.size() < m_Upstreams.size(),
                     "all upstreams ejected");
  }

  std::uint64_t m_Next = 1;                ///< Number of the next request.
  std::uint64_t m_Version = 0;             ///< Of the table.
  std::uint64_t m_Attempts = 0;            ///< Number of grants.
  std::map<RequestId, Duration> m_Service; ///< Service time left.
  std::multimap<TimePoint, std::function<void()>> m_Timers; ///< By time.
};

} // namespace crowstep::decision::test

#endif // CROWSTEP_TESTS_UNIT_DECISION_SIMULATION_H
