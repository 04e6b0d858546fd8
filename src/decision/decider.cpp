/// The Decider: takes events in, one step of the decisions after each.
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

/// Visitor of the events.
class Decider::Impl {
public:
  explicit Impl(const DeciderConfig &Config) : m_Pool(Config) {}

  void handle(const Event &What, TimePoint Now, std::vector<Action> &Actions) {
    start(Now);
    m_Pool.m_Actions = &Actions;
    std::visit([this](const auto &One) { on(One); }, What);
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
      throw TimeWentBackError();
    accrueFloors(m_Pool, Now - m_Pool.m_Now);
    m_Pool.m_Now = Now;
    updateOffered(m_Pool);
  }

  Request *find(const RequestId &Id, RequestState State) {
    const auto At = m_Pool.m_Requests.find(Id);
    if (At == m_Pool.m_Requests.end() || At->second.m_State != State)
      return nullptr;
    return &At->second;
  }

  void on(const TableChanged &What) {
    const TableVersion InForce = m_Pool.m_Table.m_Version;
    if (What.m_Table.m_Version < InForce)
      throw TableVersionError(InForce.value(), What.m_Table.m_Version.value());
    m_Pool.m_Table = What.m_Table;
    applyTable();
  }

  void on(const UpstreamsChanged &What) {
    m_Pool.m_KnowsUpstreams = true;
    m_Pool.m_Fleet.setUpstreams(What.m_Upstreams, m_Pool.m_Now);
    const std::string Service = m_Pool.m_Fleet.service();
    if (!Service.empty() && Service != m_Pool.m_Service) {
      m_Pool.m_Service = Service;
      applyTable();
    }
    afterFleetChange();
  }

  void on(const Bid &What) { admit(m_Pool, What); }

  void on(const BidWithdrawn &What) {
    if (Request *Waiting = find(What.m_Request, RequestState::Waiting))
      dropWaiting(m_Pool, *Waiting);
    else if (Request *Granted = find(What.m_Request, RequestState::Granted))
      abandon(m_Pool, *Granted);
  }

  void on(const WorkRunning &What) {
    const RequestId Id = What.m_Bid.m_Request;
    if (Request *Known = find(Id, RequestState::Granted)) {
      noteProgress(*Known, What.m_Tokens);
      return;
    }
    ClassState *Class = m_Pool.m_Queue.find(What.m_Bid.m_Class);
    if (Class == nullptr)
      return;
    if (Request *Waiting = find(Id, RequestState::Waiting))
      dropWaiting(m_Pool, *Waiting);
    Request &Made = m_Pool.m_Requests[Id];
    Made.m_Bid = What.m_Bid;
    Made.m_Order = m_Pool.m_NextOrder++;
    Made.m_Class = Class;
    Made.m_Progress = What.m_Tokens;
    adopt(m_Pool, Made, m_Pool.m_Fleet.findOrMake(What.m_Upstream));
  }

  void noteProgress(Request &Known, std::uint32_t Tokens) {
    Known.m_Progress = std::max(Known.m_Progress, Tokens);
    Known.m_SawToken = true;
    m_Pool.m_Lapses.erase({Known.m_Lapses, Known.m_Bid.m_Request});
  }

  void on(const FirstToken &What) {
    if (Request *Granted = find(What.m_Request, RequestState::Granted))
      noteFirstToken(m_Pool, *Granted, What.m_Latency);
  }

  void on(const WorkEnded &What) {
    Request *Granted = find(What.m_Request, RequestState::Granted);
    // An end at another upstream is that of an earlier attempt.
    if (Granted != nullptr &&
        Granted->m_Serving->m_Upstream.m_Id == What.m_Upstream)
      finish(m_Pool, *Granted, What);
    else if (What.m_End == WorkEnd::UpstreamLeaving)
      noteLeaving(What.m_Upstream);
  }

  void noteLeaving(UpstreamId Id) {
    if (Serving *Where = m_Pool.m_Fleet.find(Id))
      Fleet::noteLeaving(*Where, m_Pool.m_Now);
    afterFleetChange();
  }

  void on(const LoadReport &What) {
    Serving *Where = m_Pool.m_Fleet.find(What.m_Upstream);
    const bool WasUsable = Where != nullptr && Where->isUsable();
    m_Pool.m_Fleet.take(What, m_Pool.m_Now);
    if (Where != nullptr && Where->isUsable() != WasUsable)
      afterFleetChange();
  }

  void on(const CacheEvent &What) { m_Pool.m_Fleet.take(What); }

  void on(const EntryLost &What) {
    std::vector<RequestId> Gone;
    for (const auto &[Id, One] : m_Pool.m_Requests)
      if (Id.m_Entry == What.m_Entry)
        Gone.push_back(Id);
    std::sort(Gone.begin(), Gone.end());
    for (const RequestId &Id : Gone)
      if (Request *Waiting = find(Id, RequestState::Waiting))
        dropWaiting(m_Pool, *Waiting);
      else if (Request *Granted = find(Id, RequestState::Granted))
        abandon(m_Pool, *Granted);
      else
        m_Pool.m_Requests.erase(Id);
  }

  void on(const UpstreamDrained &What) {
    m_Pool.m_Fleet.take(What);
    afterFleetChange();
  }

  void on(const Tick & /*What*/) {}

  void applyTable() {
    std::vector<Request *> Homeless;
    m_Pool.m_Queue.setTable(m_Pool.m_Table, m_Pool.m_Service,
                            m_Pool.isBaseline(), m_Pool.m_Now, Homeless);
    for (Request *One : Homeless)
      refuseWaiting(m_Pool, *One,
                    One->m_Class->m_Listed ? RefusalReason::NoUpstream
                                           : RefusalReason::UnknownClass,
                    {});
    updateFloors(m_Pool);
    m_Pool.m_OfferedUntil = m_Pool.m_Now;
  }

  void afterFleetChange() {
    updateFloors(m_Pool);
    reviewEjections(m_Pool);
  }

  Pool m_Pool; ///< All state.
};

Decider::Decider(const DeciderConfig &Config)
    : m_Impl(std::make_unique<Impl>(Config)) {}

Decider::~Decider() = default;

void Decider::handle(const Event &What, TimePoint Now,
                     std::vector<Action> &Actions) {
  m_Impl->handle(What, Now, Actions);
}

std::optional<TimePoint> Decider::nextDeadline() const {
  return nextDue(m_Impl->pool());
}

DeciderStats Decider::stats() const {
  const Pool &In = m_Impl->pool();
  DeciderStats Stats = In.m_Stats;
  Stats.m_Waiting = In.m_Queue.size();
  Stats.m_Running = In.m_Running;
  Stats.m_Ejected = static_cast<std::uint64_t>(
      std::count_if(In.m_Fleet.all().begin(), In.m_Fleet.all().end(),
                    [](const auto &Entry) { return Entry.second.m_Ejected; }));
  return Stats;
}

} // namespace crowstep::decision
