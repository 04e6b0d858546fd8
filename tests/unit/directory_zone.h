/// A simulated zone: instances that follow the directory, each with its own
/// connection to a simulated store, and the links between them.
#ifndef CROWSTEP_TESTS_UNIT_DIRECTORY_ZONE_H
#define CROWSTEP_TESTS_UNIT_DIRECTORY_ZONE_H

#include "store_directory.h"
#include "unit/simulated_store.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

namespace crowstep::test {

using namespace adapter;
using namespace std::chrono_literals;
using gateway::ReadingRole;

inline constexpr Duration RemovalLimit = 4s;  ///< Limit for removals.
inline constexpr Duration RecoveryLimit = 5s; ///< Limit after an outage.
inline constexpr Duration LinkDelay = 1ms;    ///< Delay between instances.
inline constexpr Duration LongPollsEnd =
    31s;                               ///< Until polls without a role end.
inline constexpr Duration Step = 10ms; ///< Step between two checks.

/// State of an instance's connection to the store.
enum class StoreAccess : std::uint8_t {
  Open,
  Cut,     ///< No answer arrives.
  Refused, ///< Calls are refused.
  Held,    ///< Answers are delayed until it is open again.
};

class GatedStore final : public Store {
public:
  GatedStore(std::unique_ptr<Store> Inner, ManualScheduler &Timers,
             StoreAccess &Access)
      : m_Inner(std::move(Inner)), m_Timers(Timers), m_Access(Access) {}

  void onEra(EraCallback OnEra) override { m_Inner->onEra(std::move(OnEra)); }
  void read(const std::string &Table, const std::string &From,
            ResultCallback OnDone) override {
    if (mayCall(Duration::zero(), OnDone))
      m_Inner->read(Table, From, gated(std::move(OnDone)));
  }
  void follow(const std::string &Table, StoreVersion After, Duration Wait,
              ResultCallback OnDone) override {
    if (mayCall(Wait, OnDone))
      m_Inner->follow(Table, After, Wait, gated(std::move(OnDone)));
  }
  void write(const StoreWrite &Write,
             std::function<void(StoreWriteResult)> OnDone) override {
    m_Inner->write(Write, std::move(OnDone));
  }

private:
  static constexpr Duration KeepaliveTimeout = 3s;

  bool mayCall(Duration Wait, const ResultCallback &OnDone) {
    if (m_Access == StoreAccess::Open || m_Access == StoreAccess::Held)
      return true;
    const bool Refused = m_Access == StoreAccess::Refused;
    m_Timers.runAfter(
        Refused ? Duration(4ms)
                : std::min(Wait, KeepaliveTimeout) + StoreClient::Timeout,
        [Refused, OnDone] {
          OnDone(Refused ? StoreFailure::Rejected : StoreFailure::Unreachable);
        });
    return false;
  }

  ResultCallback gated(ResultCallback OnDone) {
    return [this, OnDone = std::move(OnDone)](const StoreResult &Result) {
      deliver(Result, OnDone);
    };
  }

  void deliver(const StoreResult &Result, const ResultCallback &OnDone) {
    if (m_Access == StoreAccess::Cut || m_Access == StoreAccess::Refused)
      m_Timers.runAfter(KeepaliveTimeout,
                        [OnDone] { OnDone(StoreFailure::Unreachable); });
    else if (m_Access == StoreAccess::Held)
      m_Timers.runAfter(Step,
                        [this, Result, OnDone] { deliver(Result, OnDone); });
    else
      OnDone(Result);
  }

  std::unique_ptr<Store> m_Inner; ///< Never null.
  ManualScheduler &m_Timers;      ///< Outlives it.
  StoreAccess &m_Access;          ///< Outlives it.
};

class Zone;

class Instance final : public gateway::DirectoryListener {
public:
  Instance(Zone &Owner, std::size_t Number, double Draw);
  void tableChanged(gateway::RouteTablePtr Table) override {
    m_Version = Table->version().value();
  }
  void peersChanged(const gateway::PeerList &) override {}
  void quarantineChanged(const std::set<ContentHash> &) override {}
  void softwareRegistered(const gateway::ServiceVersions &) override {}
  void upstreamsChanged(const std::vector<Upstream> &List) override {
    m_Names.clear();
    for (const Upstream &Entry : List)
      if (!Entry.m_Draining)
        m_Names.insert(Entry.m_Name);
  }
  void updateRead(const gateway::DirectoryUpdate &Update) override;

  Zone &m_Zone;
  std::size_t m_Number;
  StoreAccess m_Access = StoreAccess::Open;
  Duration m_Delay = LinkDelay;  ///< Of updates that it sends.
  bool m_LinksCut = false;       ///< Updates that it sends are lost.
  std::uint64_t m_Version = 0;   ///< Of the table in force.
  std::set<std::string> m_Names; ///< Upstreams that may be used.
  Metrics m_Stats;
  std::unique_ptr<StoreDirectory> m_Directory;
};

class Zone {
public:
  /// \p Bounds are those of all instances.
  explicit Zone(std::size_t Count, double Draw = 0.5,
                const StoreBounds &Bounds = {RemovalLimit, RemovalLimit,
                                             RecoveryLimit})
      : m_Bounds(Bounds) {
    m_Store.put("op", "config", manifest(1));
    for (const char *Name : {"a", "b", "c"})
      list(Name);
    for (std::size_t I = 0; I < Count; ++I)
      m_Members.push_back(std::make_unique<Instance>(*this, I, Draw));
    for (const auto &Member : m_Members)
      Member->m_Directory->start(*Member,
                                 {"edge-" + std::to_string(Member->m_Number),
                                  {0x0a000001, 7340},
                                  {"z"},
                                  1});
    m_Timers.advance(4s);
    for (const auto &Member : m_Members)
      Member->m_Directory->setReadingRole(roleOf(Member->m_Number));
    // Long polls that began before the roles were set end with the next change.
    list("d");
    m_Store.put("op", "config", manifest(2));
    m_Timers.advance(10s);
  }

  static ReadingRole roleOf(std::size_t Number) {
    return Number == 0   ? ReadingRole::Reader
           : Number == 1 ? ReadingRole::Deputy
                         : ReadingRole::Follower;
  }
  static std::string manifest(int Version) {
    return R"({"version":)" + std::to_string(Version) +
           R"(,"routes":[],"services":[],"limits":{}})";
  }
  void list(const std::string &Name, const std::string &State = "ready") {
    m_Store.put("servers", Name,
                R"({"service":"s","address":"10.0.0.9:8080","zone":"z",)"
                R"("slots":4,"state":")" +
                    State + R"("})");
  }
  void unlist(const std::string &Name) { m_Store.remove("servers", Name); }

  void broadcast(const Instance &From, const gateway::DirectoryUpdate &Update) {
    if (From.m_LinksCut)
      return;
    for (const auto &Member : m_Members)
      if (Member.get() != &From)
        m_Timers.runAfter(From.m_Delay, [To = Member.get(), Update] {
          To->m_Directory->receiveUpdate(Update);
        });
  }

  template <typename Predicate> bool allMembers(Predicate Holds) const {
    return std::all_of(m_Members.begin(), m_Members.end(),
                       [&](const auto &Member) { return Holds(*Member); });
  }

  /// Returns the time until all instances with an open connection to the store
  /// meet a condition, at most \p Limit.
  template <typename Predicate>
  Duration timeUntil(Predicate Holds, Duration Limit) {
    Duration Result{};
    while (Result < Limit && !allMembers([&](const Instance &Member) {
             return Member.m_Access != StoreAccess::Open || Holds(Member);
           })) {
      m_Timers.advance(Step);
      Result += Step;
    }
    return Result;
  }

  Duration timeUntilDropped(const std::string &Name, Duration Limit) {
    return timeUntil(
        [&](const Instance &Member) { return !Member.m_Names.contains(Name); },
        Limit);
  }

  StoreBounds m_Bounds;
  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  SimulatedStore m_Store{m_Clock, m_Timers};
  std::vector<std::unique_ptr<Instance>> m_Members;
};

inline Instance::Instance(Zone &Owner, std::size_t Number, double Draw)
    : m_Zone(Owner), m_Number(Number),
      m_Directory(std::make_unique<StoreDirectory>(
          std::make_unique<GatedStore>(Owner.m_Store.client(), Owner.m_Timers,
                                       m_Access),
          Owner.m_Bounds, Owner.m_Clock, Owner.m_Timers, m_Stats,
          [Draw] { return Draw; })) {}

inline void Instance::updateRead(const gateway::DirectoryUpdate &Update) {
  m_Zone.broadcast(*this, Update);
}

/// Calls \p Run with several random draws of backoffs, and starting at many
/// moments of the time between two calls of a reader to the store.
template <typename Scenario> void atVariousMoments(Scenario Run) {
  for (const double Draw : {0.0, 0.5, 0.999})
    for (Duration Moment{}; Moment < 2s; Moment += 130ms)
      BOOST_TEST_CONTEXT("back-off drawn " << Draw << ", moment "
                                           << Moment.count() << " us") {
        Zone Z(5, Draw);
        Z.m_Timers.advance(Moment);
        Run(Z);
      }
}

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_DIRECTORY_ZONE_H
