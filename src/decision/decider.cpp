/// The Decider: handles an event, then expiry, grants and preemption.
#include "decision/decider.h"

#include "decision/admission_func.h"
#include "decision/decision_error.h"
#include "decision/dispatch_func.h"
#include "decision/expiry_func.h"
#include "decision/floor_func.h"
#include "decision/preemption_func.h"
#include "decision/straggler_func.h"
#include "decision/work_func.h"

#include <algorithm>

namespace crowstep::decision {

Pool::Pool(const DeciderConfig &Config) : m_Config(Config) {
  m_Stats.m_Refused.resize(static_cast<std::size_t>(RefusalReason::Count));
}

/// Handlers of the events.
class Decider::Impl {
public:
  explicit Impl(const DeciderConfig &Config) : m_Pool(Config) {}

  void handle(const Event &NextEvent, TimePoint Now,
              std::vector<Action> &Actions) {
    start(Now);
    m_Pool.m_Actions = &Actions;
    std::visit([this](const auto &Actual) { on(Actual); }, NextEvent);
    expire(m_Pool);
    dispatch(m_Pool);
    preemptWhereNeeded(m_Pool);
    m_Pool.m_Actions = nullptr;
  }

  [[nodiscard]] const Pool &pool() const { return m_Pool; }

private:
  void start(TimePoint Now) {
    if (!m_Pool.m_HasStarted) {
      m_Pool.m_HasStarted = true;
      m_Pool.m_Now = Now;
      m_Pool.m_RebuildUntil = Now + m_Pool.m_Config.m_RebuildWindow;
    }
    if (Now < m_Pool.m_Now)
      throw NonMonotonicTimeError();
    accrueFloorDeficits(m_Pool, Now - m_Pool.m_Now);
    m_Pool.m_Now = Now;
    updateOfferedLoad(m_Pool);
  }

  Request *find(const RequestId &Id, RequestState State) {
    const auto It = m_Pool.m_Requests.find(Id);
    if (It == m_Pool.m_Requests.end() || It->second.m_State != State)
      return nullptr;
    return &It->second;
  }

  void on(const TableChanged &Change) {
    const TableVersion InForce = m_Pool.m_Table.m_Version;
    if (Change.m_Table.m_Version < InForce)
      throw TableVersionError(InForce.value(),
                              Change.m_Table.m_Version.value());
    m_Pool.m_Table = Change.m_Table;
    applyTable();
  }

  void on(const UpstreamsChanged &Change) {
    m_Pool.m_KnowsUpstreams = true;
    m_Pool.m_Fleet.setUpstreams(Change.m_Upstreams, m_Pool.m_Now);
    const std::string Service = m_Pool.m_Fleet.service();
    if (!Service.empty() && Service != m_Pool.m_Service) {
      m_Pool.m_Service = Service;
      applyTable();
    }
    afterFleetChange();
  }

  void on(const Bid &NewBid) { admit(m_Pool, NewBid); }

  void on(const BidWithdrawn &Withdrawal) {
    if (Request *Waiting = find(Withdrawal.m_Request, RequestState::Waiting))
      dropWaiting(m_Pool, *Waiting);
    else if (Request *Granted =
                 find(Withdrawal.m_Request, RequestState::Granted))
      abandon(m_Pool, *Granted);
  }

  void on(const WorkRunning &Report) {
    const RequestId Id = Report.m_Bid.m_Request;
    if (Request *Known = find(Id, RequestState::Granted)) {
      noteProgress(*Known, Report.m_Tokens);
      return;
    }
    ClassState *Class = m_Pool.m_Queue.find(Report.m_Bid.m_Class);
    if (Class == nullptr)
      return;
    if (Request *Waiting = find(Id, RequestState::Waiting))
      dropWaiting(m_Pool, *Waiting);
    Request &Adopted = m_Pool.m_Requests[Id];
    Adopted.m_Bid = Report.m_Bid;
    Adopted.m_ArrivalNumber = m_Pool.m_NextArrivalNumber++;
    Adopted.m_Class = Class;
    Adopted.m_GeneratedTokens = Report.m_Tokens;
    adopt(m_Pool, Adopted, m_Pool.m_Fleet.findOrCreate(Report.m_Upstream));
  }

  void noteProgress(Request &Known, std::uint32_t Tokens) {
    Known.m_GeneratedTokens = std::max(Known.m_GeneratedTokens, Tokens);
    Known.m_HasFirstToken = true;
    m_Pool.m_SilenceDeadlines.erase(
        {Known.m_SilenceDeadline, Known.m_Bid.m_Request});
  }

  void on(const FirstToken &Report) {
    if (Request *Granted = find(Report.m_Request, RequestState::Granted))
      noteFirstToken(m_Pool, *Granted, Report.m_Latency);
  }

  void on(const WorkEnded &End) {
    Request *Granted = find(End.m_Request, RequestState::Granted);
    // An end reported by another upstream belongs to an earlier attempt.
    if (Granted != nullptr &&
        Granted->m_UpstreamState->m_Upstream.m_Id == End.m_Upstream)
      finish(m_Pool, *Granted, End);
    else if (End.m_End == WorkEnd::UpstreamDraining)
      noteDraining(End.m_Upstream);
  }

  void noteDraining(UpstreamId Id) {
    if (UpstreamState *State = m_Pool.m_Fleet.find(Id))
      Fleet::noteDraining(*State, m_Pool.m_Now);
    afterFleetChange();
  }

  void on(const LoadReport &Report) {
    UpstreamState *State = m_Pool.m_Fleet.find(Report.m_Upstream);
    const bool WasUsable = State != nullptr && State->isUsable();
    m_Pool.m_Fleet.apply(Report, m_Pool.m_Now);
    if (State != nullptr && State->isUsable() != WasUsable)
      afterFleetChange();
  }

  void on(const CacheEvent &Update) { m_Pool.m_Fleet.apply(Update); }

  void on(const EntryLost &Loss) {
    std::vector<RequestId> Lost;
    for (const auto &[Id, Known] : m_Pool.m_Requests)
      if (Id.m_Entry == Loss.m_Entry)
        Lost.push_back(Id);
    std::sort(Lost.begin(), Lost.end());
    for (const RequestId &Id : Lost)
      if (Request *Waiting = find(Id, RequestState::Waiting))
        dropWaiting(m_Pool, *Waiting);
      else if (Request *Granted = find(Id, RequestState::Granted))
        abandon(m_Pool, *Granted);
      else
        m_Pool.m_Requests.erase(Id);
  }

  void on(const UpstreamDrained &Drain) {
    m_Pool.m_Fleet.apply(Drain);
    afterFleetChange();
  }

  void on(const Tick & /*Unused*/) {}

  void applyTable() {
    std::vector<Request *> Removed;
    m_Pool.m_Queue.setTable(m_Pool.m_Table, m_Pool.m_Service,
                            m_Pool.isBaseline(), m_Pool.m_Now, Removed);
    for (Request *Waiting : Removed)
      refuseWaiting(m_Pool, *Waiting,
                    Waiting->m_Class->m_Listed ? RefusalReason::NoUpstream
                                               : RefusalReason::UnknownClass,
                    {});
    updateFloors(m_Pool);
    m_Pool.m_OfferedLoadExpiry = m_Pool.m_Now;
  }

  void afterFleetChange() {
    updateFloors(m_Pool);
    reviewEjections(m_Pool);
  }

  Pool m_Pool;
};

Decider::Decider(const DeciderConfig &Config)
    : m_Impl(std::make_unique<Impl>(Config)) {}

Decider::~Decider() = default;

void Decider::handle(const Event &NextEvent, TimePoint Now,
                     std::vector<Action> &Actions) {
  m_Impl->handle(NextEvent, Now, Actions);
}

std::optional<TimePoint> Decider::nextDeadline() const {
  return nextTimeout(m_Impl->pool());
}

DeciderStats Decider::stats() const {
  const Pool &P = m_Impl->pool();
  DeciderStats Stats = P.m_Stats;
  Stats.m_Waiting = P.m_Queue.size();
  Stats.m_Running = P.m_Running;
  Stats.m_Ejected = static_cast<std::uint64_t>(
      std::count_if(P.m_Fleet.upstreams().begin(), P.m_Fleet.upstreams().end(),
                    [](const auto &Entry) { return Entry.second.m_Ejected; }));
  return Stats;
}

} // namespace crowstep::decision
