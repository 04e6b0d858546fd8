/// A small world around a Decider: entries that obey it, upstreams that serve,
/// and an oracle that checks every action against what it was told.
#ifndef CROWSTEP_TESTS_UNIT_DECISION_WORLD_H
#define CROWSTEP_TESTS_UNIT_DECISION_WORLD_H

#include "decision/decider.h"

#include <functional>
#include <map>
#include <set>
#include <stdexcept>
#include <string>

namespace crowstep::decision::test {

using namespace std::chrono_literals;

/// The oracle's finding.
class BrokenPromise : public std::logic_error {
public:
  using std::logic_error::logic_error;
};

inline void promise(bool Holds, const std::string &What) {
  if (!Holds)
    throw BrokenPromise(What);
}

/// A row that the tests change to their needs.
inline Contract row(std::uint16_t Id, std::uint8_t Tier, Duration Target,
                    Duration Limit, bool Preemptible = false) {
  Contract Made;
  Made.m_Id = ClassId(Id);
  Made.m_Tier = Tier;
  Made.m_FirstTokenTarget = Target;
  Made.m_TotalLimit = Limit;
  Made.m_Preemptible = Preemptible;
  return Made;
}

inline Upstream engine(std::uint64_t Id, std::uint32_t Slots) {
  Upstream Made;
  Made.m_Id = UpstreamId(Id);
  Made.m_Kind = Engine{Slots, {}, true, true};
  return Made;
}

inline Duration fromS(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

/// What became of a bid.
struct Outcome {
  ClassId m_Class;                        ///< As asked.
  WorkspaceId m_Workspace;                ///< As asked.
  TimePoint m_Asked;                      ///< First bid.
  TimePoint m_Target;                     ///< Of the first token.
  std::optional<TimePoint> m_First;       ///< First token.
  std::optional<RefusalReason> m_Refused; ///< Final refusal.
  Duration m_RetryAfter{};                ///< Of the refusal.
  bool m_Finished = false;                ///< Whole answer.
  unsigned m_Grants = 0;                  ///< First grants of its attempts.
};

class World {
public:
  explicit World(DeciderConfig Config = {})
      : m_Decider(Config),
        m_IsBaseline(Config.m_Policy != PolicyKind::Crowstep) {}

  struct Work {
    Bid m_Bid;                   ///< As sent.
    UpstreamId m_Upstream;       ///< Where it runs.
    TimePoint m_Since;           ///< Grant.
    std::uint64_t m_Attempt = 0; ///< Tells its timers from others'.
    bool m_Stopping = false;     ///< Ordered to stop.
  };

  void setTable(const std::vector<Contract> &Rows) {
    ++m_Version;
    m_Rows.clear();
    for (const Contract &One : Rows)
      m_Rows[One.m_Id] = One;
    send(TableChanged{{TableVersion(m_Version), Rows}});
  }

  void setUpstreams(const std::vector<Upstream> &All) {
    m_Upstreams.clear();
    for (const Upstream &One : All) {
      m_Upstreams[One.m_Id] = One;
      if (One.m_Leaving)
        m_ListedLeaving[One.m_Id] = m_Clock.now();
    }
    send(UpstreamsChanged{All});
  }

  /// Sends a new bid; the answer takes \p Service once it runs.
  RequestId ask(std::uint16_t Class, std::uint32_t Workspace, Duration Service,
                const std::function<void(Bid &)> &Change = {}) {
    Bid Made;
    Made.m_Request = {InstanceId(1 + m_Next % 3), m_Next};
    ++m_Next;
    Made.m_Class = ClassId(Class);
    Made.m_Workspace = WorkspaceId(Workspace);
    Made.m_MaxTokens = 4096;
    if (const auto Row = m_Rows.find(Made.m_Class); Row != m_Rows.end()) {
      Made.m_UntilTarget = Row->second.m_FirstTokenTarget;
      Made.m_UntilLimit = Row->second.m_TotalLimit;
    }
    if (Change)
      Change(Made);
    m_Service[Made.m_Request] = Service;
    Outcome &New = m_Outcomes[Made.m_Request];
    New.m_Class = Made.m_Class;
    New.m_Workspace = Made.m_Workspace;
    New.m_Asked = m_Clock.now();
    New.m_Target = m_Clock.now() + Made.m_UntilTarget;
    bid(Made);
    return Made.m_Request;
  }

  void bid(const Bid &What) {
    m_Waiting[What.m_Request] = {What, m_Clock.now() + What.m_UntilLimit};
    send(What);
  }

  void withdraw(const RequestId &Id) {
    m_Waiting.erase(Id);
    m_Running.erase(Id);
    send(BidWithdrawn{Id});
  }

  void loseEntry(InstanceId Entry) {
    std::erase_if(m_Waiting,
                  [&](auto &One) { return One.first.m_Entry == Entry; });
    std::erase_if(m_Running,
                  [&](auto &One) { return One.first.m_Entry == Entry; });
    send(EntryLost{Entry});
  }

  void end(RequestId Id, WorkEnd How) {
    const auto At = m_Running.find(Id);
    if (At == m_Running.end())
      return;
    const Work Done = At->second;
    m_Running.erase(At);
    const Duration Took = m_Clock.now() - Done.m_Since;
    const Duration PerToken = scaled(m_TokenTime, Done.m_Upstream);
    const auto Tokens = static_cast<std::uint32_t>(
        How == WorkEnd::ConnectFailed ? 0 : Took / PerToken);
    if (How == WorkEnd::Finished)
      m_Outcomes[Id].m_Finished = true;
    m_Tokens[Done.m_Bid.m_Class] += Tokens;
    if (How == WorkEnd::UpstreamLeaving)
      m_SaidLeaving.insert(Done.m_Upstream);
    send(WorkEnded{Id, Done.m_Upstream, How, Tokens, Took});
    if (How == WorkEnd::Finished || How == WorkEnd::Cancelled)
      return;
    Bid Again = Done.m_Bid;
    Again.m_DoneTokens += Tokens;
    Again.m_IsRetry = How == WorkEnd::Failed || How == WorkEnd::ConnectFailed;
    if (Again.m_IsRetry)
      Again.m_Avoid = Done.m_Upstream;
    const TimePoint Target = m_Outcomes[Id].m_Target;
    Again.m_UntilTarget = std::max(Duration::zero(), Target - m_Clock.now());
    m_Service[Id] = std::max<Duration>(1ms, m_Service[Id] - Took);
    bid(Again);
  }

  void send(const Event &What) {
    std::vector<Action> Actions;
    m_Decider.handle(What, m_Clock.now(), Actions);
    for (const Action &One : Actions)
      std::visit([this](const auto &Real) { obey(Real); }, One);
    m_Log.insert(m_Log.end(), Actions.begin(), Actions.end());
    const auto Next = m_Decider.nextDeadline();
    promise(!Next || *Next > m_Clock.now(), "a deadline lies in the past");
    promise(m_Decider.stats().m_Waiting == m_Waiting.size(),
            "the Decider's queue differs from the unanswered bids");
    promise(m_Decider.stats().m_Running == m_Running.size(),
            "the Decider's running work differs from ours");
  }

  /// Lets time pass, with all timers and ticks in order.
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

  void at(Duration In, std::function<void()> Do) {
    m_Timers.emplace(m_Clock.now() + In, std::move(Do));
  }

  [[nodiscard]] std::uint32_t running(ClassId Class) const {
    std::uint32_t Found = 0;
    for (const auto &[Id, One] : m_Running)
      Found += One.m_Bid.m_Class == Class ? 1 : 0;
    return Found;
  }

  [[nodiscard]] std::uint8_t tierOf(ClassId Class) const {
    return m_Rows.at(Class).m_Tier;
  }

  ManualClock m_Clock;                             ///< The only time there is.
  Decider m_Decider;                               ///< Under test.
  bool m_IsBaseline;                               ///< Keeps no order of tiers.
  std::map<ClassId, Contract> m_Rows;              ///< In force.
  std::map<UpstreamId, Upstream> m_Upstreams;      ///< Listed.
  std::map<UpstreamId, TimePoint> m_ListedLeaving; ///< Last time.
  std::set<UpstreamId> m_Drained;                  ///< By operators.
  std::set<UpstreamId> m_SaidLeaving;              ///< By their own refusals.
  std::map<UpstreamId, double> m_Slow; ///< Times the usual; absent: 1.
  std::set<UpstreamId> m_Ejected;      ///< As told by the Decider.
  std::set<UpstreamId> m_Failing;      ///< Left out of the check for victims.
  std::map<RequestId, std::pair<Bid, TimePoint>> m_Waiting; ///< And limits.
  std::map<RequestId, Work> m_Running;              ///< Granted, not ended.
  std::map<RequestId, Outcome> m_Outcomes;          ///< Of all bids.
  std::map<ClassId, std::uint64_t> m_Tokens;        ///< Generated.
  std::vector<Action> m_Log;                        ///< All actions.
  Duration m_FirstTokenTime = 20ms;                 ///< After a grant.
  Duration m_TokenTime = 10ms;                      ///< A token.
  Duration m_StopTime = 15ms;                       ///< After an order to stop.
  std::function<void(const RequestId &)> m_OnGrant; ///< May end it early.

private:
  void obey(const Grant &What) {
    if (const auto Again = m_Running.find(What.m_Request);
        Again != m_Running.end()) {
      promise(Again->second.m_Upstream == What.m_Upstream,
              "granted again elsewhere");
      return;
    }
    const auto At = m_Waiting.find(What.m_Request);
    promise(At != m_Waiting.end(), "grant for a bid that doesn't wait");
    checkUpstream(What.m_Upstream);
    const Bid Asked = At->second.first;
    m_Waiting.erase(At);
    m_Running[What.m_Request] = {Asked, What.m_Upstream, m_Clock.now(),
                                 ++m_Attempts};
    ++m_Outcomes[What.m_Request].m_Grants;
    checkLimits(Asked, What.m_Upstream);
    serve(What.m_Request, What.m_Upstream);
  }

  void checkUpstream(UpstreamId Id) const {
    const auto At = m_Upstreams.find(Id);
    promise(At != m_Upstreams.end(), "grant to an upstream that has gone");
    promise(!At->second.m_Leaving && !m_SaidLeaving.contains(Id) &&
                !wasLeaving(Id),
            "grant to a leaving upstream");
    promise(!m_Drained.contains(Id), "grant to a drained upstream");
  }

  void checkLimits(const Bid &Asked, UpstreamId Where) const {
    const auto Count = [this](const auto &Fits) {
      std::uint32_t Found = 0;
      for (const auto &[Id, One] : m_Running)
        Found += Fits(One) ? 1 : 0;
      return Found;
    };
    const Contract &Row = m_Rows.at(Asked.m_Class);
    const auto &Kind = std::get<Engine>(m_Upstreams.at(Where).m_Kind);
    promise(Count([&](const Work &One) { return One.m_Upstream == Where; }) <=
                Kind.m_Slots,
            "more running than slots");
    const std::uint32_t OfClass = running(Asked.m_Class);
    promise(Row.m_MaxConcurrent == 0 || OfClass <= Row.m_MaxConcurrent,
            "over the class's concurrency");
    const std::uint32_t OfWorkspace = Count([&](const Work &One) {
      return One.m_Bid.m_Class == Asked.m_Class &&
             One.m_Bid.m_Workspace == Asked.m_Workspace;
    });
    promise(Row.m_WorkspaceConcurrent == 0 ||
                OfWorkspace <= Row.m_WorkspaceConcurrent,
            "over the workspace's concurrency");
  }

  void serve(const RequestId &Id, UpstreamId Where) {
    if (m_OnGrant) {
      const std::uint64_t Attempt = m_Attempts;
      at(1ms, [this, Id, Attempt] {
        if (isCurrent(Id, Attempt))
          m_OnGrant(Id);
      });
    }
    const std::uint64_t Attempt = m_Attempts;
    at(scaled(m_FirstTokenTime, Where), [this, Id, Attempt] {
      if (!isCurrent(Id, Attempt))
        return;
      Outcome &Of = m_Outcomes[Id];
      Of.m_First = Of.m_First.value_or(m_Clock.now());
      send(FirstToken{Id, m_Clock.now() - m_Running[Id].m_Since});
    });
    at(scaled(m_FirstTokenTime + m_Service[Id], Where), [this, Id, Attempt] {
      if (isCurrent(Id, Attempt))
        end(Id, WorkEnd::Finished);
    });
  }

  [[nodiscard]] Duration scaled(Duration Usual, UpstreamId Where) const {
    const auto Slow = m_Slow.find(Where);
    const double Factor = Slow == m_Slow.end() ? 1.0 : Slow->second;
    return std::chrono::duration_cast<Duration>(Usual * Factor);
  }

  [[nodiscard]] bool isCurrent(const RequestId &Id,
                               std::uint64_t Attempt) const {
    const auto At = m_Running.find(Id);
    return At != m_Running.end() && At->second.m_Attempt == Attempt;
  }

  void obey(const Refuse &What) {
    const auto At = m_Waiting.find(What.m_Request);
    promise(At != m_Waiting.end(), "refusal of a bid that doesn't wait");
    promise(What.m_Reason != RefusalReason::None, "refusal without a reason");
    promise(What.m_RetryAfter >= Duration::zero() && What.m_RetryAfter <= 60s,
            "time to come back out of range");
    const Bid Asked = At->second.first;
    m_Waiting.erase(At);
    Outcome &Of = m_Outcomes[What.m_Request];
    promise(!Of.m_Refused, "refused twice");
    Of.m_Refused = What.m_Reason;
    Of.m_RetryAfter = What.m_RetryAfter;
    if (What.m_Reason != RefusalReason::TargetUnreachable)
      return;
    promise(What.m_RetryAfter > Duration::zero(), "no time to come back");
    checkRefusal(Asked);
  }

  /// Each slot that could be taken back from a lower tier must be outnumbered
  /// by bids that would get it before the refused one. The baselines promise
  /// no such thing.
  void checkRefusal(const Bid &Refused) const {
    if (m_IsBaseline)
      return;
    const std::uint8_t Tier = tierOf(Refused.m_Class);
    std::size_t Before = 0;
    for (const auto &[Id, One] : m_Waiting)
      Before += tierOf(One.first.m_Class) <= Tier ? 1 : 0;
    std::size_t Takeable = 0;
    for (const auto &[Id, One] : m_Running)
      Takeable += isTakeable(One, Tier) ? 1 : 0;
    promise(Takeable == 0 || Takeable <= Before,
            "refused while lower work runs");
    checkFloors(Tier);
  }

  /// Lower tiers may keep their floors, and while they are behind as much
  /// again; what they hold beyond is stopped before an urgent bid is refused.
  void checkFloors(std::uint8_t Tier) const {
    double Weights = 0;
    for (const auto &[Id, Row] : m_Rows)
      Weights += Row.m_Weight;
    double Slots = 0;
    for (const auto &[Id, One] : m_Upstreams)
      Slots += mayGetWork(Id) ? std::get<Engine>(One.m_Kind).m_Slots : 0;
    for (const auto &[Id, Row] : m_Rows) {
      double Kept = 0;
      for (const auto &[Request, One] : m_Running)
        Kept += One.m_Bid.m_Class == Id && isTakeable(One, Tier) ? 1 : 0;
      promise(Kept < 2 * Slots * Row.m_Weight / Weights + 2,
              "refused while lower work runs beyond its floor");
    }
  }

  [[nodiscard]] bool isTakeable(const Work &One, std::uint8_t Above) const {
    const Contract &Row = m_Rows.at(One.m_Bid.m_Class);
    return !One.m_Stopping && Row.m_Tier > Above && Row.m_Preemptible &&
           mayGetWork(One.m_Upstream);
  }

  /// No work of a tier below \p Tier may hold a slot that would serve.
  void checkNoVictim(std::uint8_t Tier, const std::string &What) const {
    for (const auto &[Id, One] : m_Running)
      promise(!isTakeable(One, Tier), What);
  }

  /// A list that lags may name an upstream as leaving and then not; that is
  /// not believed for 10 s.
  [[nodiscard]] bool wasLeaving(UpstreamId Id) const {
    const auto At = m_ListedLeaving.find(Id);
    return At != m_ListedLeaving.end() && m_Clock.now() < At->second + 10s;
  }

  [[nodiscard]] bool mayGetWork(UpstreamId Id) const {
    const auto At = m_Upstreams.find(Id);
    return At != m_Upstreams.end() && !At->second.m_Leaving &&
           !m_SaidLeaving.contains(Id) && !wasLeaving(Id) &&
           !m_Drained.contains(Id) && !m_Ejected.contains(Id) &&
           !m_Failing.contains(Id);
  }

  void obey(const Preempt &What) {
    const auto At = m_Running.find(What.m_Request);
    promise(At != m_Running.end(), "preemption of work that doesn't run");
    promise(At->second.m_Upstream == What.m_Upstream, "preempted elsewhere");
    const Contract &Row = m_Rows.at(At->second.m_Bid.m_Class);
    promise(Row.m_Preemptible && Row.m_Repeatable, "not preemptible");
    bool HasUrgent = false;
    for (const auto &[Id, One] : m_Waiting)
      HasUrgent = HasUrgent || tierOf(One.first.m_Class) < Row.m_Tier;
    promise(HasUrgent, "preempted for no more urgent bid");
    checkNoVictim(Row.m_Tier, "preempted while lower work runs");
    At->second.m_Stopping = true;
    const std::uint64_t Attempt = At->second.m_Attempt;
    at(m_StopTime, [this, Id = What.m_Request, Attempt] {
      if (isCurrent(Id, Attempt))
        end(Id, WorkEnd::Preempted);
    });
  }

  void obey(const EjectionChanged &What) {
    if (What.m_Ejected)
      m_Ejected.insert(What.m_Upstream);
    else
      m_Ejected.erase(What.m_Upstream);
    promise(m_Ejected.empty() || m_Ejected.size() < m_Upstreams.size(),
            "all upstreams ejected");
  }

  std::uint64_t m_Next = 1;                ///< Request numbers.
  std::uint64_t m_Version = 0;             ///< Of the table.
  std::uint64_t m_Attempts = 0;            ///< Grants so far.
  std::map<RequestId, Duration> m_Service; ///< Left to serve.
  std::multimap<TimePoint, std::function<void()>> m_Timers; ///< By time.
};

} // namespace crowstep::decision::test

#endif // CROWSTEP_TESTS_UNIT_DECISION_WORLD_H
