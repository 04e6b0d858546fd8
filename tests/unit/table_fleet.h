/// A simulated fleet of TableCore under a manual clock, with a table service,
/// links and a membership that fail at random.
#ifndef CROWSTEP_TESTS_UNIT_TABLE_FLEET_H
#define CROWSTEP_TESTS_UNIT_TABLE_FLEET_H

#include "contract/table_core.h"
#include "core/scheduler.h"

#include <memory>
#include <random>

namespace crowstep::contract {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A table service with one row; SimFleet adds outages, delays and lost
/// answers.
struct FakeStore {
  std::optional<platform::Row> m_Row; ///< "current".
  bool m_IsUp = true;                 ///< False: refuses every call.
  std::set<std::string> m_Operators;  ///< Operators whose changes took effect.

  platform::RowOutcome write(const platform::RowWrite &Write) {
    const platform::RowVersion Present =
        m_Row ? m_Row->m_Version : platform::RowVersion();
    if (Present != Write.m_Expected)
      return {false, m_Row};
    m_Row = {Write.m_Key, platform::RowVersion(Present.value() + 1),
             Write.m_Value};
    for (const CommitHeader &Header : decodeDocument(Write.m_Value).m_History)
      m_Operators.insert(Header.m_Operator);
    return {true, m_Row};
  }
};

/// One process of the fleet.
struct SimProcess {
  std::string m_Name;                ///< Of the instance.
  std::uint64_t m_Incarnation = 0;   ///< Incarnation.
  std::unique_ptr<TableCore> m_Core; ///< Under test; null: not running.
  bool m_IsFrozen = false;           ///< Suspended; events are kept.
  bool m_ReachesStore = true;        ///< Can reach the table service.
  int m_Partition = 0;               ///< Only processes of one partition are
                                     ///< connected.
  TableVersion m_PublishedVersion;   ///< To the membership.
  std::vector<TableEvent> m_PendingEvents; ///< Received while frozen.
  std::map<std::size_t, std::pair<TimePoint, membership::Member>>
      m_LastObserved; ///< Other members as last observed, and when.
};

/// A change and its reported outcome.
struct SimChange {
  std::string m_Operator;                 ///< Unique to the change.
  TableVersion m_BaseVersion;             ///< That the operator read.
  std::optional<ChangeOutcome> m_Outcome; ///< None: not reported.
};

class SimFleet {
public:
  SimFleet(std::size_t Size, std::uint64_t Seed)
      : m_Random(Seed), m_Processes(Size) {
    m_Store.m_Row = {"current", platform::RowVersion(1), firstTable()};
    for (std::size_t Index = 0; Index < Size; ++Index) {
      m_Processes[Index].m_Name = "instance-" + std::to_string(Index);
      start(Index);
      scheduleTick(Index);
    }
    updateMembers();
  }

  static std::string firstTable() {
    TableDocument Document;
    Document.m_Table.m_Version = TableVersion(1);
    Document.m_EditedVersion = TableVersion(1);
    Document.m_Table.m_Contracts = rows(1);
    return encodeDocument(Document);
  }
  static std::vector<Contract> rows(std::uint32_t Weight) {
    Contract Row;
    Row.m_Id = ClassId(1);
    Row.m_Name = "pass-check";
    Row.m_Service = "pass-desk";
    Row.m_Weight = Weight;
    Row.m_FirstTokenTarget = Row.m_TotalLimit = seconds(1);
    return {Row};
  }

  TableKeeperConfig config(const SimProcess &Process) const {
    TableKeeperConfig Config;
    Config.m_Name = Process.m_Name;
    Config.m_Incarnation = Incarnation(Process.m_Incarnation);
    Config.m_EntryRightDuration = Duration::zero(); // Slack could hide a fault.
    Config.m_Seed = Process.m_Incarnation;
    return Config;
  }

  void start(std::size_t Index) {
    SimProcess &Process = m_Processes[Index];
    Process.m_Incarnation = ++m_LastIncarnation;
    Process.m_Core = std::make_unique<TableCore>(
        config(Process), "c" + std::to_string(Process.m_Incarnation),
        m_Clock.now());
    Process.m_PublishedVersion = TableVersion();
    Process.m_LastObserved.clear();
    Process.m_PendingEvents.clear();
    Process.m_IsFrozen = false;
    for (std::size_t Other = 0; Other < m_Processes.size(); ++Other)
      connect(Index, Other);
  }
  void kill(std::size_t Index) {
    m_Processes[Index].m_Core.reset();
    for (std::size_t Other = 0; Other < m_Processes.size(); ++Other)
      disconnect(Index, Other);
  }
  void moveToPartition(std::size_t Index, int Partition) {
    m_Processes[Index].m_Partition = Partition;
    for (std::size_t Other = 0; Other < m_Processes.size(); ++Other) {
      disconnect(Index, Other);
      connect(Index, Other);
    }
  }
  void unfreeze(std::size_t Index) {
    SimProcess &Process = m_Processes[Index];
    Process.m_IsFrozen = false;
    for (const TableEvent &Event : std::exchange(Process.m_PendingEvents, {}))
      deliver(Index, Process.m_Incarnation, Event);
  }
  void heal() {
    m_Store.m_IsUp = true;
    m_LossPercent = m_SlowPercent = 0;
    for (std::size_t Index = 0; Index < m_Processes.size(); ++Index) {
      m_Processes[Index].m_ReachesStore = true;
      moveToPartition(Index, 0);
      restore(Index);
    }
  }
  void restore(std::size_t Index) {
    if (!m_Processes[Index].m_Core)
      start(Index);
    if (m_Processes[Index].m_IsFrozen)
      unfreeze(Index);
  }

  /// Requests a change at process \p Index, based on \p BaseVersion or, if
  /// none, on the version in force there. Returns the change's index in
  /// m_Changes.
  std::size_t change(std::size_t Index,
                     std::optional<TableVersion> BaseVersion) {
    const std::size_t Id = m_Changes.size();
    const TableVersion Base =
        BaseVersion.value_or(m_Processes[Index].m_Core->document().version());
    m_Changes.push_back({"operator-" + std::to_string(Id), Base, {}});
    deliver(Index, m_Processes[Index].m_Incarnation,
            ChangeRequested{ChangeId(Id),
                            rows(static_cast<std::uint32_t>(2 + Id)), Base,
                            m_Changes[Id].m_Operator, ""});
    return Id;
  }

  /// Advances the time by \p Span in steps of 20 ms, and checks the invariants
  /// after each step.
  void run(Duration Span) {
    for (Duration Elapsed{}; Elapsed < Span; Elapsed += milliseconds(20)) {
      m_Timers.advance(milliseconds(20));
      checkInvariants();
    }
  }

  [[nodiscard]] bool serves(std::size_t Index) const {
    const SimProcess &Process = m_Processes[Index];
    return Process.m_Core && !Process.m_IsFrozen &&
           Process.m_Core->rightToServe(m_Clock.now());
  }
  TableCore &core(std::size_t Index) { return *m_Processes[Index].m_Core; }
  int draw(int Below) {
    return std::uniform_int_distribution<int>(0, Below - 1)(m_Random);
  }

  ManualClock m_Clock;                   ///< Shared by the fleet.
  ManualScheduler m_Timers{m_Clock};     ///< Runs all delayed events.
  std::mt19937_64 m_Random;              ///< Seeded by the test.
  FakeStore m_Store;                     ///< The table service.
  std::vector<SimProcess> m_Processes;   ///< The fleet.
  std::vector<SimChange> m_Changes;      ///< In the order of requests.
  std::vector<std::string> m_Violations; ///< Violated invariants.
  TableVersion m_AcceptedVersion;        ///< Highest one reported as accepted.
  int m_LossPercent = 0;                 ///< Of the table service's answers.
  int m_SlowPercent = 5;                 ///< Of messages between processes.
  Duration m_DeathTimeout = milliseconds(2700); ///< A member silent for longer
                                                ///< is dead.
  std::size_t m_Reads = 0;                      ///< Of the table service.

private:
  using LinkEnds = std::pair<std::size_t, std::size_t>;

  void checkInvariants() {
    for (std::size_t Index = 0; Index < m_Processes.size(); ++Index)
      if (serves(Index) &&
          m_Processes[Index].m_Core->document().version() < m_AcceptedVersion)
        m_Violations.push_back(m_Processes[Index].m_Name +
                               " serves a version below the accepted one");
  }

  void schedule(Duration Delay, std::function<void()> Callback) {
    m_Timers.runAfter(Delay, std::move(Callback));
  }

  void deliver(std::size_t Index, std::uint64_t Start,
               const TableEvent &Event) {
    SimProcess &Process = m_Processes[Index];
    if (!Process.m_Core || Process.m_Incarnation != Start)
      return;
    if (Process.m_IsFrozen) {
      Process.m_PendingEvents.push_back(Event);
      return;
    }
    const TableVersion Before = Process.m_Core->document().version();
    const TableActions Actions = Process.m_Core->handle(m_Clock.now(), Event);
    if (Process.m_Core->document().version() < Before)
      m_Violations.push_back(Process.m_Name + " went back to a lower version");
    for (const TableAction &Action : Actions)
      std::visit([&](const auto &Alternative) { perform(Index, Alternative); },
                 Action);
  }
  template <typename Event> auto delivery(std::size_t Index, Event Payload) {
    return [this, Index, Start = m_Processes[Index].m_Incarnation,
            Payload = std::move(Payload)] { deliver(Index, Start, Payload); };
  }

  // ---- Time and membership ----

  void scheduleTick(std::size_t Index) {
    schedule(milliseconds(100), [this, Index] {
      deliver(Index, m_Processes[Index].m_Incarnation, Tick());
      scheduleTick(Index);
    });
  }
  void updateMembers() {
    for (std::size_t Index = 0; Index < m_Processes.size(); ++Index)
      if (m_Processes[Index].m_Core)
        deliver(Index, m_Processes[Index].m_Incarnation,
                MembersChanged{membersOf(Index)});
    schedule(milliseconds(500), [this] { updateMembers(); });
  }
  std::vector<membership::Member> membersOf(std::size_t Index) {
    SimProcess &Process = m_Processes[Index];
    std::vector<membership::Member> Result;
    for (std::size_t Other = 0; Other < m_Processes.size(); ++Other) {
      const SimProcess &Peer = m_Processes[Other];
      if (Other == Index || (Peer.m_Core && !Peer.m_IsFrozen &&
                             Peer.m_Partition == Process.m_Partition))
        Process.m_LastObserved[Other] = {m_Clock.now(), memberOf(Peer)};
      const auto Observed = Process.m_LastObserved.find(Other);
      if (Observed == Process.m_LastObserved.end())
        continue;
      Result.push_back(Observed->second.second);
      if (m_Clock.now() > Observed->second.first + m_DeathTimeout)
        Result.back().m_State = membership::MemberState::Dead;
    }
    return Result;
  }
  static membership::Member memberOf(const SimProcess &Process) {
    membership::Member Result;
    Result.m_Name = Process.m_Name;
    Result.m_Id = instanceIdOf(Process.m_Name);
    Result.m_Incarnation = Incarnation(Process.m_Incarnation);
    Result.m_TableVersion = Process.m_PublishedVersion;
    return Result;
  }

  // ---- Links: ordered in each direction, slow at times; messages sent after
  // a link was cut are lost ----

  bool areLinked(std::size_t A, std::size_t B) const {
    const SimProcess &One = m_Processes[A];
    const SimProcess &Two = m_Processes[B];
    return A != B && One.m_Core && Two.m_Core &&
           One.m_Partition == Two.m_Partition;
  }
  void connect(std::size_t A, std::size_t B) {
    if (!areLinked(A, B))
      return;
    const link::LinkId Link(++m_LastLink);
    for (const auto &[From, To] : {LinkEnds{A, B}, LinkEnds{B, A}}) {
      m_Links[{From, To}] = Link;
      m_Ends[Link] = {A, B};
      schedule(milliseconds(draw(50)),
               delivery(From, PeerUp{Link, instanceIdOf(m_Processes[To].m_Name),
                                     false}));
    }
  }
  void disconnect(std::size_t A, std::size_t B) {
    for (const auto &[From, To] : {LinkEnds{A, B}, LinkEnds{B, A}}) {
      const auto Found = m_Links.find({From, To});
      if (Found == m_Links.end())
        continue;
      m_Ends.erase(Found->second);
      schedule(milliseconds(draw(1000)),
               delivery(From, PeerDown{Found->second}));
      m_Links.erase(Found);
    }
  }
  /// Sends an event over a link. It is delivered even if the link is cut
  /// meanwhile, as a receiver may still read it from its socket.
  template <typename Event>
  void send(std::size_t From, link::LinkId Link, const Event &Payload) {
    const auto Found = m_Ends.find(Link);
    if (Found == m_Ends.end())
      return;
    const std::size_t To = Found->second.first == From ? Found->second.second
                                                       : Found->second.first;
    const Duration Delay = draw(100) < m_SlowPercent ? milliseconds(draw(2500))
                                                     : milliseconds(draw(40));
    TimePoint &Last = m_LastArrival[{From, To}];
    Last = std::max(Last, m_Clock.now() + Delay);
    schedule(Last - m_Clock.now(), delivery(To, Payload));
  }

  // ---- Actions ----

  void perform(std::size_t Index, const ReadStore &) {
    ++m_Reads;
    const TimePoint SentAt = m_Clock.now();
    const auto Failed = delivery(Index, StoreReadFailed{SentAt});
    const bool Lost = draw(100) < m_LossPercent;
    schedule(milliseconds(draw(100)), [this, Index, SentAt, Failed, Lost,
                                       Start =
                                           m_Processes[Index].m_Incarnation] {
      if (!m_Store.m_IsUp || !m_Processes[Index].m_ReachesStore || Lost) {
        schedule(milliseconds(draw(900)), Failed);
        return;
      }
      const StoreRead Result{SentAt, m_Store.m_Row};
      schedule(milliseconds(draw(300)),
               [this, Index, Start, Result] { deliver(Index, Start, Result); });
    });
  }
  /// A write whose answer is lost may take effect long after the caller has
  /// been told that its outcome is uncertain.
  void perform(std::size_t Index, const WriteStore &Action) {
    const bool Lost = draw(100) < m_LossPercent;
    if (!m_Store.m_IsUp || !m_Processes[Index].m_ReachesStore) {
      const auto Failure = Lost ? platform::PlatformFailure::Uncertain
                                : platform::PlatformFailure::Refused;
      schedule(milliseconds(draw(900)),
               delivery(Index, StoreWriteFailed{Action.m_Commit, Failure}));
      return;
    }
    schedule(
        milliseconds(Lost ? draw(3000) : draw(100)),
        [this, Index, Action, Lost, Start = m_Processes[Index].m_Incarnation] {
          const auto Outcome = m_Store.write(Action.m_Write);
          if (Lost)
            return;
          const StoreWritten Result{Action.m_Commit, Outcome};
          schedule(milliseconds(draw(300)), [this, Index, Start, Result] {
            deliver(Index, Start, Result);
          });
        });
    if (Lost)
      schedule(milliseconds(1000),
               delivery(Index, StoreWriteFailed{
                                   Action.m_Commit,
                                   platform::PlatformFailure::Uncertain}));
  }
  void perform(std::size_t Index, const SendDocument &Action) {
    send(Index, Action.m_Link,
         DocumentReceived{Action.m_Link, core(Index).document()});
  }
  void perform(std::size_t Index, const RequestDocument &Action) {
    send(Index, Action.m_Link, DocumentRequested{Action.m_Link});
  }
  void perform(std::size_t Index, const SendProbe &Action) {
    send(Index, Action.m_Link,
         ProbeReceived{Action.m_Link, Action.m_Sequence, Action.m_Version});
  }
  void perform(std::size_t Index, const SendProbeAnswer &Action) {
    send(Index, Action.m_Link,
         ProbeAnswerReceived{Action.m_Link, Action.m_Answer});
  }
  void perform(std::size_t Index, const PublishVersion &Action) {
    m_Processes[Index].m_PublishedVersion = Action.m_Version;
  }
  void perform(std::size_t Index, const TableChanged &) {
    schedule(milliseconds(draw(100)),
             delivery(Index,
                      EntriesVersionChanged{core(Index).document().version()}));
  }
  void perform(std::size_t, const FinishChange &Action) {
    m_Changes.at(Action.m_Id.value()).m_Outcome = Action.m_Outcome;
    if (const auto *Accepted = std::get_if<ChangeAccepted>(&Action.m_Outcome))
      m_AcceptedVersion = std::max(m_AcceptedVersion, Accepted->m_Version);
  }
  void perform(std::size_t, const Notify &) {}

  std::uint64_t m_LastIncarnation = 0;      ///< Last incarnation.
  std::uint64_t m_LastLink = 0;             ///< Last link id.
  std::map<LinkEnds, link::LinkId> m_Links; ///< Open links, by each direction.
  std::map<link::LinkId, LinkEnds> m_Ends;  ///< Ends of open links.
  std::map<LinkEnds, TimePoint> m_LastArrival; ///< Keeps messages in order.
};

} // namespace crowstep::contract

#endif // CROWSTEP_TESTS_UNIT_TABLE_FLEET_H
