/// A fleet in virtual time whose instances compete for the duties: a table
/// service that loses answers and comes back from older copies, a platform that
/// loses answers, and instances that freeze, die, restart and have wrong
/// clocks.
#ifndef CROWSTEP_TESTS_UNIT_DUTY_FLEET_H
#define CROWSTEP_TESTS_UNIT_DUTY_FLEET_H

#include "core/scheduler.h"
#include "duty/duty_holder.h"
#include "standin/duty_record.h"

#include <algorithm>
#include <memory>
#include <random>
#include <set>

namespace crowstep::test {

constexpr Duration LeaseDuration = std::chrono::seconds(3);
constexpr Duration WindowLength = std::chrono::seconds(5);
constexpr Duration ReportTimeLimit = std::chrono::seconds(10);
constexpr duty::UsageSettings Usage{WindowLength, ReportTimeLimit};

/// Calendar time at the start of the virtual clock.
constexpr Duration WallEpoch = std::chrono::hours(24 * 365 * 50);

/// What happens to the calls of one instance or of all.
struct PathState {
  bool m_Cut = false;    ///< Nothing arrives.
  bool m_Down = false;   ///< Rejected without effect.
  int m_LossPercent = 0; ///< Of answers, after the effect.
  int m_LatePercent = 0; ///< Of writes that take effect seconds late.
  Duration m_MaxDelay = std::chrono::milliseconds(20); ///< Of each way.
};

class DutyFleet {
public:
  DutyFleet(std::size_t Count, std::uint64_t Seed) : m_Random(Seed) {
    for (std::size_t I = 0; I < Count; ++I) {
      m_Machines.push_back(std::make_unique<Machine>(*this, I));
      start(I);
    }
    chooseCandidates();
    exchange();
  }

  int draw(int Below) {
    return std::uniform_int_distribution<int>(0, Below - 1)(m_Random);
  }
  std::size_t drawMachine() { return m_Random() % m_Machines.size(); }

  /// Returns the machine that holds the lease, or else any.
  std::size_t holder() {
    for (std::size_t I = 0; I < m_Machines.size(); ++I)
      if (m_Machines[I]->m_Process != nullptr &&
          m_Machines[I]
                  ->m_Process->m_Stats
                  .gauge("crowstep_lease_held", {{"lease", "duties"}})
                  .value() > 0)
        return I;
    return drawMachine();
  }

  /// Returns the machine whose call the platform received last.
  std::size_t lastActor() {
    const std::string &Name = m_Record.calls().back().m_Machine;
    return std::stoul(Name.substr(Name.find('-') + 1));
  }

  void run(Duration Span) { m_Timers.advance(Span); }

  // ---- Faults ----

  void freeze(std::size_t Index) { m_Machines[Index]->m_Frozen = true; }
  void thaw(std::size_t Index) {
    Machine &Thawed = *m_Machines[Index];
    Thawed.m_Frozen = false;
    for (const auto &Job : std::exchange(Thawed.m_Deferred, {}))
      Job();
  }
  /// Ends the process; the machine's next one knows nothing.
  void kill(std::size_t Index) {
    Machine &Killed = *m_Machines[Index];
    Killed.m_Process.reset();
    Killed.m_Deferred.clear();
    Killed.m_Frozen = false;
  }
  void stopGracefully(std::size_t Index) {
    if (auto &Running = m_Machines[Index]->m_Process) {
      Running->m_Holder.stop();
      m_Machines[Index]->m_Stopping = true;
    }
  }
  void start(std::size_t Index) {
    if (m_Machines[Index]->m_Process != nullptr)
      kill(Index);
    m_Machines[Index]->m_Stopping = false;
    m_Machines[Index]->m_Process =
        std::make_unique<Process>(*this, *m_Machines[Index]);
    m_Machines[Index]->m_Process->m_Holder.setCandidate(
        m_Machines[Index]->m_Candidate);
  }
  bool isUp(std::size_t Index) const {
    return m_Machines[Index]->m_Process != nullptr;
  }
  void stepClock(std::size_t Index, Duration Step) {
    m_Machines[Index]->m_WallOffset = Step;
  }
  PathState &storePath(std::size_t Index) {
    return m_Machines[Index]->m_StorePath;
  }
  PathState &platformPath(std::size_t Index) {
    return m_Machines[Index]->m_PlatformPath;
  }
  void cutLinks(std::size_t Index, bool Cut) {
    m_Machines[Index]->m_LinksCut = Cut;
  }
  /// Ends all faults; every machine runs.
  void heal() {
    m_Store = {};
    m_Platform = {};
    for (std::size_t I = 0; I < m_Machines.size(); ++I) {
      Machine &Healed = *m_Machines[I];
      Healed.m_StorePath = {};
      Healed.m_PlatformPath = {};
      Healed.m_WallOffset = {};
      Healed.m_LinksCut = false;
      if (Healed.m_Frozen)
        thaw(I);
      // A process that is stopping ends, and the next one starts.
      if (Healed.m_Process == nullptr || Healed.m_Stopping)
        start(I);
    }
  }

  /// Makes the machines from \p First on the candidates, as larger machines
  /// that are added become.
  void chooseCandidates(std::size_t First = 0) {
    constexpr std::size_t Candidates = 4;
    for (const auto &Ranked : m_Machines) {
      Ranked->m_Candidate =
          (Ranked->m_Index + size() - First % size()) % size() < Candidates;
      if (Ranked->m_Process != nullptr)
        Ranked->m_Process->m_Holder.setCandidate(Ranked->m_Candidate);
    }
  }
  [[nodiscard]] bool isCandidate(std::size_t Index) const {
    return m_Machines[Index]->m_Candidate;
  }

  // ---- Restores of the table service ----

  void takeCopy() { m_Copy = {m_Rows, m_LastVersion}; }

  /// Comes back from the copy: versions are given out again, the era rises.
  /// Writes that are under way may still take effect.
  void restoreCopy() {
    std::tie(m_Rows, m_LastVersion) = m_Copy;
    ++m_Era;
  }

  /// A request that begins at a machine now.
  void beginRequest(std::size_t Index, const std::string &Workspace) {
    Machine &Serving = *m_Machines[Index];
    if (Serving.m_Process == nullptr || Serving.m_Frozen)
      return;
    ++m_Truth[currentWindow()][Workspace];
    Serving.m_Process->m_Meter.recordBegun(Workspace);
  }

  [[nodiscard]] duty::UsageWindow currentWindow() const {
    return duty::UsageWindow(static_cast<std::uint64_t>(
        (WallEpoch + m_Clock.now().time_since_epoch()) / WindowLength));
  }
  [[nodiscard]] TimePoint now() const { return m_Clock.now(); }
  [[nodiscard]] std::size_t size() const { return m_Machines.size(); }

  standin::DutyRecord m_Record{LeaseDuration}; ///< By the platform.
  std::map<duty::UsageWindow, duty::WorkspaceCounts>
      m_Truth;                    ///< Requests that began, by true time.
  PathState m_Store;              ///< Of all calls to the table service.
  PathState m_Platform;           ///< Of all duty calls.
  std::uint64_t m_StoreCalls = 0; ///< Received by the table service.

  /// Engines of a service, which start and end as soon as they are ordered.
  std::vector<duty::ServiceCapacity> m_Engines = {
      {"s",
       {1, 40, std::chrono::seconds(4), 0.2},
       5,
       {{{"a"}, 1, 10, 0}, {{"b"}, 1.2, 10, 0}}}};

  void carryOut(const duty::CapacityOrder &Order) {
    for (duty::ZoneCapacity &Zone : m_Engines[0].m_Zones)
      if (Zone.m_Zone == Order.m_Zone)
        (Order.m_Spot ? Zone.m_Spot : Zone.m_Regular) = Order.m_Count;
  }

private:
  struct Process;

  /// One machine over all its processes.
  struct Machine : WallClock {
    Machine(DutyFleet &Owner, std::size_t Index)
        : m_Fleet(Owner), m_Index(Index) {}
    [[nodiscard]] WallTime now() const override {
      return WallTime(WallEpoch + m_Fleet.m_Clock.now().time_since_epoch() +
                      m_WallOffset);
    }

    DutyFleet &m_Fleet;                 ///< Owner.
    std::size_t m_Index;                ///< In the fleet.
    std::unique_ptr<Process> m_Process; ///< Null while down.
    std::uint64_t m_Starts = 0;         ///< Of processes.
    bool m_Candidate = false;           ///< For the duties.
    bool m_Frozen = false;              ///< Its process does not run.
    bool m_Stopping = false;            ///< Its process takes no new duties.
    bool m_LinksCut = false;            ///< From all other machines.
    Duration m_WallOffset{};            ///< Error of its clock.
    PathState m_StorePath;              ///< To the table service.
    PathState m_PlatformPath;           ///< To the platform.
    std::vector<std::function<void()>> m_Deferred; ///< While frozen.
  };

  /// Timers of a process: a frozen one runs them when it resumes.
  class ProcessTimers final : public Scheduler {
  public:
    explicit ProcessTimers(Machine &On) : m_Machine(On) {}
    ~ProcessTimers() override {
      for (const TimerId Id : m_Open)
        m_Machine.m_Fleet.m_Timers.cancel(Id);
    }
    TimerId runAfter(Duration Delay, std::function<void()> Job) override {
      const auto Id = std::make_shared<TimerId>();
      *Id = m_Machine.m_Fleet.m_Timers.runAfter(
          Delay, [this, Id, Job = std::move(Job)] {
            m_Open.erase(*Id);
            m_Machine.m_Fleet.deliver(m_Machine, Job);
          });
      m_Open.insert(*Id);
      return *Id;
    }
    void cancel(TimerId Id) override {
      m_Open.erase(Id);
      m_Machine.m_Fleet.m_Timers.cancel(Id);
    }

  private:
    Machine &m_Machine;       ///< Outlives it.
    std::set<TimerId> m_Open; ///< Not run yet.
  };

  /// The table service as one process reaches it.
  class ProcessTables final : public platform::TableService {
  public:
    explicit ProcessTables(Machine &On) : m_Machine(On) {}
    void write(const std::string &Table, std::vector<platform::RowWrite> Writes,
               std::function<void(platform::WriteResult)> Done) override {
      m_Machine.m_Fleet.writeRow(m_Machine, Table, Writes.at(0), Done);
    }
    void read(const std::string &Table, const std::string &Key,
              std::function<void(platform::ReadResult)> Done) override {
      m_Machine.m_Fleet.readRow(m_Machine, Table, Key, Done);
    }
    void list(const std::string &, const std::string &,
              std::function<void(platform::ReadResult)>) override {}
    [[nodiscard]] std::optional<platform::TableEra> era() const override {
      return m_Era;
    }
    void recordEra(platform::TableEra Stated) {
      m_Era = std::max(m_Era.value_or(Stated), Stated);
    }

  private:
    Machine &m_Machine;                      ///< Outlives it.
    std::optional<platform::TableEra> m_Era; ///< Highest one stated.
  };

  /// The platform as one process reaches it.
  class ProcessPlatform final : public duty::DutyPlatform {
  public:
    explicit ProcessPlatform(Machine &On) : m_Machine(On) {}
    void reportUsage(const duty::DutyCall &Call,
                     const duty::UsageReport &Report, Done OnDone) override {
      m_Machine.m_Fleet.callPlatform(
          m_Machine, Call, "usage",
          [Fleet = &m_Machine.m_Fleet, Report] {
            Fleet->m_Record.recordUsage(Report, Fleet->now());
          },
          OnDone);
    }
    void orderCapacity(const duty::DutyCall &Call,
                       const duty::CapacityOrder &Order, Done OnDone) override {
      m_Machine.m_Fleet.callPlatform(
          m_Machine, Call, Order.m_Service + "/" + Order.m_Zone.m_Name,
          [Fleet = &m_Machine.m_Fleet, Order] { Fleet->carryOut(Order); },
          OnDone);
    }

  private:
    Machine &m_Machine; ///< Outlives it.
  };

  struct Process {
    Process(DutyFleet &Owner, Machine &On)
        : m_Self{InstanceId(On.m_Index + 1), Incarnation(++On.m_Starts)},
          m_Timers(On), m_Tables(On), m_Platform(On), m_Time(On, Owner.m_Clock),
          m_Meter(m_Self, WindowLength, m_Time),
          m_Holder(
              duty::DutySettings{LeaseDuration, 50, Usage,
                                 duty::CapacitySettings()},
              m_Self, "machine-" + std::to_string(On.m_Index), Owner.m_Clock,
              m_Timers, m_Tables, m_Platform, &m_Meter,
              [&Owner] { return Owner.m_Engines; }, m_Stats) {}

    duty::UsageSource m_Self;
    Metrics m_Stats;
    ProcessTimers m_Timers;
    ProcessTables m_Tables;
    ProcessPlatform m_Platform;
    duty::MajorityClock m_Time;
    duty::UsageMeter m_Meter;
    duty::DutyHolder m_Holder;
  };

  Duration delay(const PathState &All, const PathState &Own) {
    const Duration Most = std::max(All.m_MaxDelay, Own.m_MaxDelay);
    return Duration(1000 +
                    static_cast<Duration::rep>(
                        m_Random() % static_cast<std::uint64_t>(Most.count())));
  }

  /// Runs \p Job in the machine's process, now or when it resumes.
  void deliver(Machine &To, std::function<void()> Job) {
    if (To.m_Process == nullptr)
      return;
    if (To.m_Frozen)
      To.m_Deferred.push_back(std::move(Job));
    else
      Job();
  }

  /// Delivers an answer after \p After to the process that made the call.
  void answer(Machine &To, Duration After, std::function<void()> Job) {
    m_Timers.runAfter(After,
                      [this, &To, Start = To.m_Starts, Job = std::move(Job)] {
                        if (To.m_Starts == Start)
                          deliver(To, Job);
                      });
  }

  /// Delivers an answer of the table service, which states its era.
  void answerFromStore(Machine &To, Duration After, std::function<void()> Job) {
    answer(To, After,
           [&To, Era = platform::TableEra(m_Era), Job = std::move(Job)] {
             To.m_Process->m_Tables.recordEra(Era);
             Job();
           });
  }

  static constexpr Duration CallTimeout = std::chrono::milliseconds(750);

  void readRow(Machine &From, const std::string &Table, const std::string &Key,
               const std::function<void(platform::ReadResult)> &Done) {
    ++m_StoreCalls;
    const PathState Path = From.m_StorePath;
    if (Path.m_Cut) {
      answer(From, CallTimeout,
             [Done] { Done(platform::PlatformFailure::Refused); });
      return;
    }
    if (m_Store.m_Down || Path.m_Down) {
      answerFromStore(From, Duration(4000),
                      [Done] { Done(platform::PlatformFailure::Refused); });
      return;
    }
    m_Timers.runAfter(delay(m_Store, Path), [this, &From, Table, Key, Done,
                                             Path, Start = From.m_Starts] {
      std::vector<platform::Row> Rows;
      if (const auto Found = m_Rows.find(nameOf(Table, Key));
          Found != m_Rows.end())
        Rows.push_back(Found->second);
      if (From.m_Starts == Start)
        answerFromStore(From, delay(m_Store, Path),
                        [Done, Rows] { Done(Rows); });
    });
  }

  void writeRow(Machine &From, const std::string &Table,
                const platform::RowWrite &Write,
                const std::function<void(platform::WriteResult)> &Done) {
    ++m_StoreCalls;
    const PathState Path = From.m_StorePath;
    if (m_Store.m_Down || Path.m_Down) {
      answerFromStore(From, Duration(4000),
                      [Done] { Done(platform::PlatformFailure::Refused); });
      return;
    }
    const bool Late =
        draw(100) < std::max(m_Store.m_LatePercent, Path.m_LatePercent);
    const bool Lost =
        Late || Path.m_Cut ||
        draw(100) < std::max(m_Store.m_LossPercent, Path.m_LossPercent);
    if (Lost)
      answer(From, CallTimeout,
             [Done] { Done(platform::PlatformFailure::Uncertain); });
    if (Path.m_Cut)
      return;
    const Duration Delay = Late ? std::chrono::milliseconds(1000 + draw(5000))
                                : delay(m_Store, Path);
    m_Timers.runAfter(Delay, [this, &From, Table, Write, Done, Path, Lost,
                              Start = From.m_Starts] {
      const platform::RowOutcome Outcome = carryOut(Table, Write);
      if (!Lost && From.m_Starts == Start)
        answerFromStore(From, delay(m_Store, Path), [Done, Outcome] {
          Done(std::vector<platform::RowOutcome>{Outcome});
        });
    });
  }

  /// Returns the name under which m_Rows holds a row.
  static std::string nameOf(std::string Table, const std::string &Key) {
    return Table.append("/").append(Key);
  }

  platform::RowOutcome carryOut(const std::string &Table,
                                const platform::RowWrite &Write) {
    const std::string Name = nameOf(Table, Write.m_Key);
    const auto Found = m_Rows.find(Name);
    const auto Version = Found == m_Rows.end() ? platform::RowVersion()
                                               : Found->second.m_Version;
    const bool IsPrevented = !Write.m_UnlessKey.empty() &&
                             m_Rows.contains(nameOf(Table, Write.m_UnlessKey));
    if (Version != Write.m_Expected || IsPrevented)
      return {false, Found == m_Rows.end() ? std::nullopt
                                           : std::optional(Found->second)};
    const platform::RowVersion NewVersion(++m_LastVersion);
    for (const std::string &Marker : Write.m_MarkerKeys)
      m_Rows[nameOf(Table, Marker)] = {Marker, NewVersion, "{}"};
    m_Rows[Name] = {Write.m_Key, NewVersion, Write.m_Value};
    return {true, m_Rows[Name]};
  }

  /// The connection is made first; then the sender checks the lease once more.
  void callPlatform(Machine &From, const duty::DutyCall &Call,
                    const std::string &Subject,
                    const std::function<void()> &Effect,
                    const duty::DutyPlatform::Done &OnDone) {
    const PathState Path = From.m_PlatformPath;
    answer(
        From, delay(m_Platform, Path),
        [this, &From, Call, Subject, Effect, OnDone, Path] {
          const bool Cut = Path.m_Cut || From.m_PlatformPath.m_Cut;
          if (!Call.m_MaySend() || m_Platform.m_Down || Cut) {
            answer(From, Cut ? Call.m_Timeout : Duration(1000),
                   [OnDone] { OnDone(duty::DutyOutcome::Uncertain); });
            return;
          }
          const bool Lost = draw(100) < std::max(m_Platform.m_LossPercent,
                                                 Path.m_LossPercent);
          m_Timers.runAfter(delay(m_Platform, Path), [this, Call, Subject,
                                                      Effect] {
            m_Record.record({Subject, Call.m_Instance, Call.m_Fencing, now()});
            Effect();
          });
          answer(From, Lost ? Call.m_Timeout : delay(m_Platform, Path) * 2,
                 [OnDone, Lost] {
                   OnDone(Lost ? duty::DutyOutcome::Uncertain
                               : duty::DutyOutcome::Accepted);
                 });
        });
  }

  /// Passes counters to the candidates and clock readings to some neighbours.
  void exchange() {
    m_Timers.runAfter(std::chrono::milliseconds(100), [this] { exchange(); });
    for (const auto &From : m_Machines) {
      if (From->m_Process == nullptr || From->m_Frozen || From->m_LinksCut)
        continue;
      sendCounters(*From);
      sendClock(*From);
    }
  }

  /// Sends everything anew once in a while, as links that come up do.
  void sendCounters(Machine &From) {
    duty::UsageCounts &Counts = From.m_Process->m_Meter.counts();
    const auto Changes = draw(20) == 0 ? Counts.all() : Counts.takeChanges();
    for (const auto &To : m_Machines)
      if (To->m_Candidate && To.get() != &From && !To->m_LinksCut)
        for (const duty::UsageCount &Count : Changes)
          if (Count.m_Source.m_Instance == From.m_Process->m_Self.m_Instance ||
              From.m_Candidate)
            answer(*To, Duration(1000 + draw(50000)), [&To = *To, Count] {
              To.m_Process->m_Meter.counts().merge(Count);
            });
  }

  void sendClock(const Machine &From) {
    constexpr std::size_t Neighbours = 6;
    for (std::size_t I = 1; I <= std::min(Neighbours, size() - 1); ++I) {
      Machine &To = *m_Machines[(From.m_Index + I) % size()];
      if (To.m_Process != nullptr && !To.m_Frozen && !To.m_LinksCut)
        To.m_Process->m_Time.recordPeer(InstanceId(From.m_Index + 1),
                                        From.now());
    }
  }

  std::mt19937_64 m_Random;                    ///< From the seed.
  ManualClock m_Clock;                         ///< True time.
  ManualScheduler m_Timers{m_Clock};           ///< Everything delayed.
  std::map<std::string, platform::Row> m_Rows; ///< By table and key.
  std::uint64_t m_LastVersion = 0;             ///< Of any row.
  std::uint64_t m_Era = 1; ///< Rises with each restoreCopy().
  std::pair<decltype(m_Rows), std::uint64_t> m_Copy; ///< Rows, last version.
  std::vector<std::unique_ptr<Machine>> m_Machines;  ///< By index.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_DUTY_FLEET_H
