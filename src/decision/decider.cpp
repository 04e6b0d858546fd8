/// A first Decider: first come, first served within a tier, slots counted.
#include "decision/decider.h"

#include "decision/decision_error.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace crowstep::decision {

namespace {

constexpr Duration UnusedGrantMargin = std::chrono::seconds(1);
constexpr Duration ShortestRetryAfter = std::chrono::milliseconds(100);

std::uint32_t slotsOf(const Upstream &Of) {
  return std::visit([](const auto &Kind) { return Kind.m_Slots; }, Of.m_Kind);
}

bool hasModel(const Upstream &Of, const std::string &Model) {
  const auto *Kind = std::get_if<Engine>(&Of.m_Kind);
  if (Kind == nullptr || Model.empty() || Kind->m_Models.empty())
    return true;
  return std::find(Kind->m_Models.begin(), Kind->m_Models.end(), Model) !=
         Kind->m_Models.end();
}

} // namespace

class Decider::Impl {
public:
  explicit Impl(const DeciderConfig &Config) : m_Config(Config) {
    m_Stats.m_Refused.resize(static_cast<std::size_t>(RefusalReason::Count));
  }

  void handle(const Event &What, TimePoint Now, std::vector<Action> &Actions) {
    if (Now < m_Now)
      throw TimeWentBackError();
    m_Now = Now;
    m_Actions = &Actions;
    std::visit([this](const auto &One) { on(One); }, What);
    freeUnusedGrants();
    refuseLate();
    grantWaiting();
    m_Actions = nullptr;
  }

  [[nodiscard]] std::optional<TimePoint> nextDeadline() const {
    std::optional<TimePoint> Next;
    const auto Consider = [&Next](TimePoint When) {
      if (!Next || When < *Next)
        Next = When;
    };
    if (!m_Limits.empty())
      Consider(m_Limits.begin()->first);
    if (!m_Lapses.empty())
      Consider(m_Lapses.begin()->first);
    return Next;
  }

  [[nodiscard]] DeciderStats stats() const {
    DeciderStats Stats = m_Stats;
    Stats.m_Waiting = m_Waiting.size();
    Stats.m_Running = m_Running.size();
    return Stats;
  }

private:
  using Place = std::pair<std::uint8_t, std::uint64_t>;

  struct Serving {
    Upstream m_Upstream;        ///< As listed.
    std::uint32_t m_Used = 0;   ///< Grants not ended.
    bool m_Drained = false;     ///< By operators.
    bool m_SaysLeaving = false; ///< By its own reports or refusals.
  };

  struct WaitingBid {
    Bid m_Bid;         ///< As sent.
    TimePoint m_Limit; ///< Refused then.
  };

  struct RunningWork {
    Bid m_Bid;             ///< As sent.
    UpstreamId m_Upstream; ///< Where.
    TimePoint m_Lapses;    ///< Freed then unless used; key in m_Lapses.
  };

  void on(const TableChanged &What) {
    if (What.m_Table.m_Version < m_Version)
      throw TableVersionError(m_Version.value(),
                              What.m_Table.m_Version.value());
    m_Version = What.m_Table.m_Version;
    m_Contracts.clear();
    for (const Contract &Row : What.m_Table.m_Contracts)
      m_Contracts.emplace(Row.m_Id, Row);
  }

  void on(const UpstreamsChanged &What) {
    std::map<UpstreamId, Serving> Next;
    for (const Upstream &One : What.m_Upstreams) {
      Serving &Slot = Next[One.m_Id];
      if (const auto Old = m_Upstreams.find(One.m_Id); Old != m_Upstreams.end())
        Slot = Old->second;
      Slot.m_Upstream = One;
    }
    m_Upstreams = std::move(Next);
  }

  void on(const Bid &What) {
    if (const auto At = m_Running.find(What.m_Request); At != m_Running.end()) {
      m_Actions->push_back(grantOf(At->first, At->second));
      return;
    }
    if (m_Places.contains(What.m_Request))
      return;
    const auto Row = m_Contracts.find(What.m_Class);
    if (Row == m_Contracts.end()) {
      refuse(What.m_Request, RefusalReason::UnknownClass, Duration::zero());
      return;
    }
    const Place At{Row->second.m_Tier, m_NextPlace++};
    const TimePoint Limit = m_Now + What.m_UntilLimit;
    m_Places.emplace(What.m_Request, At);
    m_Limits.emplace(Limit, What.m_Request);
    m_Waiting.emplace(At, WaitingBid{What, Limit});
  }

  void on(const BidWithdrawn &What) {
    forgetWaiting(What.m_Request);
    endWork(What.m_Request);
  }

  void on(const WorkRunning &What) {
    if (m_Running.contains(What.m_Bid.m_Request))
      return;
    forgetWaiting(What.m_Bid.m_Request);
    m_Running.emplace(What.m_Bid.m_Request,
                      RunningWork{What.m_Bid, What.m_Upstream, {}});
    ++m_Upstreams[What.m_Upstream].m_Used;
  }

  void on(const FirstToken &What) {
    if (const auto At = m_Running.find(What.m_Request); At != m_Running.end())
      m_Lapses.erase({At->second.m_Lapses, What.m_Request});
  }

  void on(const WorkEnded &What) {
    if (What.m_End == WorkEnd::UpstreamLeaving)
      if (const auto At = m_Upstreams.find(What.m_Upstream);
          At != m_Upstreams.end())
        At->second.m_SaysLeaving = true;
    endWork(What.m_Request);
  }

  void on(const LoadReport &What) {
    if (const auto At = m_Upstreams.find(What.m_Upstream);
        At != m_Upstreams.end())
      At->second.m_SaysLeaving = What.m_Leaving;
  }

  void on(const CacheEvent & /*What*/) {}

  void on(const EntryLost &What) {
    std::vector<RequestId> Gone;
    const RequestId First{What.m_Entry, 0};
    for (auto At = m_Places.lower_bound(First);
         At != m_Places.end() && At->first.m_Entry == What.m_Entry; ++At)
      Gone.push_back(At->first);
    for (auto At = m_Running.lower_bound(First);
         At != m_Running.end() && At->first.m_Entry == What.m_Entry; ++At)
      Gone.push_back(At->first);
    for (const RequestId &One : Gone) {
      forgetWaiting(One);
      endWork(One);
    }
  }

  void on(const UpstreamDrained &What) {
    if (const auto At = m_Upstreams.find(What.m_Upstream);
        At != m_Upstreams.end())
      At->second.m_Drained = What.m_Drained;
  }

  void on(const Tick & /*What*/) {}

  [[nodiscard]] Grant grantOf(const RequestId &Request,
                              const RunningWork &Work) const {
    const auto Row = m_Contracts.find(Work.m_Bid.m_Class);
    const int Tier = Row == m_Contracts.end() ? 1 : Row->second.m_Tier;
    return Grant{Request, Work.m_Upstream, m_Config.m_GrantValidity,
                 static_cast<std::uint8_t>(std::max(0, Tier - 1))};
  }

  void refuse(const RequestId &Request, RefusalReason Reason, Duration After) {
    ++m_Stats.m_Refused[static_cast<std::size_t>(Reason)];
    m_Actions->push_back(Refuse{Request, Reason, After});
  }

  bool forgetWaiting(const RequestId &Request) {
    const auto At = m_Places.find(Request);
    if (At == m_Places.end())
      return false;
    const auto Queued = m_Waiting.find(At->second);
    m_Limits.erase({Queued->second.m_Limit, Request});
    m_Waiting.erase(Queued);
    m_Places.erase(At);
    return true;
  }

  void endWork(const RequestId &Request) {
    const auto At = m_Running.find(Request);
    if (At == m_Running.end())
      return;
    m_Lapses.erase({At->second.m_Lapses, Request});
    if (const auto Slot = m_Upstreams.find(At->second.m_Upstream);
        Slot != m_Upstreams.end() && Slot->second.m_Used > 0)
      --Slot->second.m_Used;
    m_Running.erase(At);
  }

  void freeUnusedGrants() {
    // Without first tokens of plain services an entry's silence proves nothing;
    // only grants whose first token is overdue by a minute are given up.
    while (!m_Lapses.empty() && m_Lapses.begin()->first <= m_Now)
      endWork(RequestId(m_Lapses.begin()->second));
  }

  void refuseLate() {
    while (!m_Limits.empty() && m_Limits.begin()->first <= m_Now) {
      const RequestId Request = m_Limits.begin()->second;
      forgetWaiting(Request);
      refuse(Request, RefusalReason::TargetUnreachable, ShortestRetryAfter);
    }
  }

  [[nodiscard]] Serving *choose(const Bid &For) {
    const auto Row = m_Contracts.find(For.m_Class);
    Serving *Best = nullptr;
    for (auto &[Id, One] : m_Upstreams) {
      if (One.m_Drained || One.m_SaysLeaving || One.m_Upstream.m_Leaving ||
          One.m_Used >= slotsOf(One.m_Upstream) ||
          (Row != m_Contracts.end() &&
           !hasModel(One.m_Upstream, Row->second.m_Model)))
        continue;
      if (Best == nullptr || One.m_Used < Best->m_Used)
        Best = &One;
    }
    return Best;
  }

  void grantWaiting() {
    for (auto At = m_Waiting.begin(); At != m_Waiting.end();) {
      Serving *To = choose(At->second.m_Bid);
      if (To == nullptr)
        return;
      const Bid Served = At->second.m_Bid;
      ++At;
      forgetWaiting(Served.m_Request);
      ++To->m_Used;
      const TimePoint Lapse = m_Now + m_Config.m_GrantValidity +
                              UnusedGrantMargin + Served.m_UntilLimit;
      const auto [Work, Added] = m_Running.emplace(
          Served.m_Request, RunningWork{Served, To->m_Upstream.m_Id, Lapse});
      m_Lapses.emplace(Lapse, Served.m_Request);
      ++m_Stats.m_Granted;
      m_Actions->push_back(grantOf(Served.m_Request, Work->second));
    }
  }

  DeciderConfig m_Config;                             ///< As given.
  TimePoint m_Now;                                    ///< Never goes back.
  std::vector<Action> *m_Actions = nullptr;           ///< Of the event handled.
  TableVersion m_Version;                             ///< Never goes back.
  std::map<ClassId, Contract> m_Contracts;            ///< In force.
  std::map<UpstreamId, Serving> m_Upstreams;          ///< Of the pool.
  std::map<Place, WaitingBid> m_Waiting;              ///< In order of service.
  std::map<RequestId, Place> m_Places;                ///< Into m_Waiting.
  std::map<RequestId, RunningWork> m_Running;         ///< Granted, not ended.
  std::set<std::pair<TimePoint, RequestId>> m_Limits; ///< Of m_Waiting.
  std::set<std::pair<TimePoint, RequestId>> m_Lapses; ///< Of m_Running.
  std::uint64_t m_NextPlace = 0;                      ///< Order of arrival.
  DeciderStats m_Stats;                               ///< Counted so far.
};

Decider::Decider(const DeciderConfig &Config)
    : m_Impl(std::make_unique<Impl>(Config)) {}

Decider::~Decider() = default;

void Decider::handle(const Event &What, TimePoint Now,
                     std::vector<Action> &Actions) {
  m_Impl->handle(What, Now, Actions);
}

std::optional<TimePoint> Decider::nextDeadline() const {
  return m_Impl->nextDeadline();
}

DeciderStats Decider::stats() const { return m_Impl->stats(); }

} // namespace crowstep::decision
