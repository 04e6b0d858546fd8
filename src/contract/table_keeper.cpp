/// Connects TableCore to the links, the membership and the table service.
#include "contract/table_keeper.h"

#include "contract/contract_error.h"
#include "contract/contract_func.h"
#include "contract/table_core.h"
#include "contract/table_wire.h"
#include "core/log.h"

#include <glib.h>
#include <map>

namespace crowstep::contract {

namespace {

constexpr std::chrono::milliseconds TickInterval{100};

std::string randomName() {
  char *Text = g_uuid_string_random();
  std::string Result(Text);
  g_free(Text);
  return Result;
}

std::string wallClock() {
  GDateTime *Now = g_date_time_new_now_utc();
  char *Text = g_date_time_format_iso8601(Now);
  std::string Result(Text);
  g_free(Text);
  g_date_time_unref(Now);
  return Result;
}

const char *nameOf(const ChangeOutcome &Outcome) {
  static constexpr const char *Names[] = {"accepted", "pending", "conflict",
                                          "unavailable"};
  return Names[Outcome.index()];
}

LogEvent eventOf(TableNotice Notice) {
  switch (Notice) {
  case TableNotice::CaughtUp:
    return LogEvent::TableCaughtUp;
  case TableNotice::StoreWentBack:
    return LogEvent::TableStoreWentBack;
  case TableNotice::RowUnreadable:
    return LogEvent::TableRowUnreadable;
  case TableNotice::RowReplaced:
    return LogEvent::TableRowReplaced;
  }
  return LogEvent::TableRowUnreadable;
}

} // namespace

/// State of a TableKeeper. Callbacks of calls that are still open when it is
/// destroyed hold a weak reference to m_Alive and do nothing.
class TableKeeper::Impl {
public:
  Impl(const TableKeeperConfig &Config, const Clock &Time, Scheduler &Timers,
       platform::TableService &Store, membership::Membership &Fleet,
       link::Links &Links, Metrics &Stats)
      : m_Clock(Time), m_Store(Store), m_Fleet(Fleet), m_Links(Links),
        m_Stats(Stats), m_Core(checked(Config), randomName(), Time.readNow()),
        m_Timer(Timers), m_VersionGauge(Stats.gauge("crowstep_table_version")),
        m_RightGauge(Stats.gauge("crowstep_table_right_to_serve")) {
    for (const char *Name : {"accepted", "pending", "conflict", "unavailable"})
      outcomeCounter(Name);
  }

  void start() { tick(); }

  void handle(const TableEvent &Event) {
    const TableActions Actions = m_Core.handle(m_Clock.readNow(), Event);
    for (const TableAction &Action : Actions)
      std::visit([this](const auto &Alternative) { run(Alternative); }, Action);
  }

  void change(ChangeRequested Request,
              std::function<void(ChangeOutcome)> Done) {
    Request.m_Id = ChangeId(++m_LastChange);
    Request.m_Time = wallClock();
    m_Waiters.emplace(Request.m_Id, std::move(Done));
    handle(std::move(Request));
  }

  [[nodiscard]] const TableCore &core() const { return m_Core; }
  [[nodiscard]] TimePoint fresh() const { return m_Clock.readNow(); }

  std::vector<std::function<void()>> m_Listeners; ///< See onChange().

private:
  static const TableKeeperConfig &checked(const TableKeeperConfig &Config) {
    if (Config.m_Name.empty())
      throw TableKeeperConfigError("the name of this instance is not set");
    return Config;
  }

  Counter &outcomeCounter(const std::string &Name) {
    return m_Stats.counter("crowstep_table_changes_total", {{"outcome", Name}});
  }

  void tick() {
    // A member's confirmed version changes without a membership event.
    if (m_Fleet.members() != m_Members) {
      m_Members = m_Fleet.members();
      handle(MembersChanged{m_Members});
    }
    handle(Tick());
    m_RightGauge.set(m_Core.rightToServe(m_Clock.readNow()) ? 1 : 0);
    m_Timer.start(TickInterval, [this] { tick(); });
  }

  /// Wraps \p Callback so that it does nothing after this object's destruction.
  template <typename Result, typename Function>
  std::function<void(Result)> guarded(Function Callback) {
    return [Alive = std::weak_ptr<bool>(m_Alive), Callback](Result Value) {
      if (!Alive.expired())
        Callback(std::move(Value));
    };
  }

  void run(const ReadStore &) {
    const TimePoint SentAt = m_Clock.readNow();
    m_Store.read(platform::ContractTableName, CurrentRowKey,
                 guarded<platform::ReadResult>(
                     [this, SentAt](const platform::ReadResult &Result) {
                       onReadDone(SentAt, Result);
                     }));
  }
  void onReadDone(TimePoint SentAt, const platform::ReadResult &Result) {
    const auto *Rows = std::get_if<std::vector<platform::Row>>(&Result);
    if (Rows == nullptr)
      handle(StoreReadFailed{SentAt});
    else if (Rows->empty())
      handle(StoreRead{SentAt, std::nullopt});
    else
      handle(StoreRead{SentAt, Rows->front()});
  }
  void run(const WriteStore &Action) {
    m_Store.write(platform::ContractTableName, {Action.m_Write},
                  guarded<platform::WriteResult>(
                      [this, Commit = Action.m_Commit](
                          const platform::WriteResult &Result) {
                        onWriteDone(Commit, Result);
                      }));
  }
  void onWriteDone(const CommitId &Commit,
                   const platform::WriteResult &Result) {
    const auto *Failure = std::get_if<platform::PlatformFailure>(&Result);
    if (Failure != nullptr)
      handle(StoreWriteFailed{Commit, *Failure});
    else
      handle(StoreWritten{
          Commit, std::get<std::vector<platform::RowOutcome>>(Result).at(0)});
  }
  void run(const SendDocument &Action) {
    addDocument(m_Core.document(), m_Links.outbox(Action.m_Link));
  }
  void run(const RequestDocument &Action) {
    addDocumentRequest(Action.m_Version, m_Links.outbox(Action.m_Link));
  }
  void run(const SendProbe &Action) {
    addProbe(Action, m_Links.outbox(Action.m_Link));
  }
  void run(const SendProbeAnswer &Action) {
    addProbeAnswer(Action.m_Answer, m_Links.outbox(Action.m_Link));
  }
  void run(const PublishVersion &Action) {
    m_Fleet.setTableVersion(Action.m_Version);
  }
  void run(const TableChanged &) {
    const std::uint64_t Version = m_Core.document().version().value();
    m_VersionGauge.set(static_cast<double>(Version));
    logEvent(LogEvent::TableInForce, {{"version", std::to_string(Version)}});
    for (const auto &Listener : m_Listeners)
      Listener();
  }
  void run(const FinishChange &Action) {
    const char *Name = nameOf(Action.m_Outcome);
    outcomeCounter(Name).add();
    logEvent(LogEvent::TableChangeEnded, {{"outcome", Name}});
    const auto Found = m_Waiters.extract(Action.m_Id);
    if (Found)
      Found.mapped()(Action.m_Outcome);
  }
  void run(const Notify &Action) {
    logEvent(eventOf(Action.m_Notice), {{"detail", Action.m_Detail}});
  }

  const Clock &m_Clock;            ///< Read for every event.
  platform::TableService &m_Store; ///< Stores the row.
  membership::Membership &m_Fleet; ///< Distributes confirmed versions.
  link::Links &m_Links;            ///< Transmit probes and documents.
  Metrics &m_Stats;                ///< Of this process.
  TableCore m_Core;                ///< State machine.
  Timer m_Timer;                   ///< For ticks.
  std::vector<membership::Member> m_Members; ///< As last passed to m_Core.
  Gauge &m_VersionGauge;                     ///< Version in force.
  Gauge &m_RightGauge;            ///< 1: this instance may take new work.
  std::uint64_t m_LastChange = 0; ///< Last change id.
  std::map<ChangeId, std::function<void(ChangeOutcome)>>
      m_Waiters; ///< Callbacks for outcomes.
  std::shared_ptr<bool> m_Alive =
      std::make_shared<bool>(true); ///< See the head of the class.
};

TableKeeper::TableKeeper(const TableKeeperConfig &Config, const Clock &Time,
                         Scheduler &Timers, platform::TableService &Store,
                         membership::Membership &Fleet, link::Links &Links,
                         Metrics &Stats)
    : m_Impl(std::make_unique<Impl>(Config, Time, Timers, Store, Fleet, Links,
                                    Stats)) {}

TableKeeper::~TableKeeper() = default;

void TableKeeper::start() { m_Impl->start(); }

void TableKeeper::linkUp(link::LinkId Link, const link::Peer &Peer) {
  m_Impl->handle(
      PeerUp{Link, Peer.m_Instance, Peer.m_Role == wire::Role::Entry});
}

void TableKeeper::linkFrame(link::LinkId Link, const wire::Frame &Frame) {
  for (const TableEvent &Event : tableEventsOf(Link, Frame))
    m_Impl->handle(Event);
}

void TableKeeper::linkDown(link::LinkId Link, const link::Peer &,
                           link::CloseReason) {
  m_Impl->handle(PeerDown{Link});
}

void TableKeeper::instancesListed(const std::vector<std::string> &Names) {
  m_Impl->handle(InstancesListed{Names});
}

const ContractTable &TableKeeper::table() const {
  return m_Impl->core().document().m_Table;
}

void TableKeeper::onChange(std::function<void()> Listener) {
  m_Impl->m_Listeners.push_back(std::move(Listener));
}

void TableKeeper::setEntriesVersion(TableVersion Version) {
  m_Impl->handle(EntriesVersionChanged{Version});
}

bool TableKeeper::rightToServe() const {
  return m_Impl->core().rightToServe(m_Impl->fresh());
}

std::vector<std::string>
TableKeeper::tryChange(const ContractTable &Changed) const {
  validate(Changed);
  return difference(table(), Changed);
}

void TableKeeper::change(const ContractTable &Changed, TableVersion BaseVersion,
                         const std::string &Operator,
                         std::function<void(ChangeOutcome)> Done) {
  validate(Changed);
  m_Impl->change({ChangeId(), Changed.m_Contracts, BaseVersion, Operator, {}},
                 std::move(Done));
}

void TableKeeper::history(
    const std::function<void(std::vector<HistoryEntry>)> &Done) {
  std::vector<HistoryEntry> Result;
  for (const CommitHeader &Header : m_Impl->core().document().m_History)
    Result.push_back({Header.m_Version, Header.m_Operator, Header.m_Time});
  Done(std::move(Result));
}

} // namespace crowstep::contract
