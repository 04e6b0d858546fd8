/// Instances of a zone that receive the directory from one of them: a simulated
/// zone with a connection to the store for each instance, and a manual clock.
#define BOOST_TEST_MODULE directory_relay
#include "store_directory.h"
#include "unit/simulated_store.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace crowstep;
using namespace crowstep::adapter;
using namespace crowstep::test;
using namespace std::chrono_literals;
using gateway::ReadingRole;

namespace {

constexpr Duration Drain = 4s;         ///< Limit for removals.
constexpr Duration Contact = 5s;       ///< Limit after an outage.
constexpr Duration Hop = 1ms;          ///< Delay between instances.
constexpr Duration AllWaitsOver = 31s; ///< Of long polls begun without a role.
constexpr Duration Look = 10ms;        ///< Step between two checks.

/// State of an instance's connection to the store.
enum class Way : std::uint8_t {
  Open,
  Cut,     ///< No answer arrives.
  Refused, ///< Calls are refused.
  Held,    ///< Answers are delayed until it is open again.
};

class GatedStore final : public Store {
public:
  GatedStore(std::unique_ptr<Store> Inner, ManualScheduler &Timers, Way &Which)
      : m_Inner(std::move(Inner)), m_Timers(Timers), m_Way(Which) {}

  void read(const std::string &Table, const std::string &From,
            Done OnDone) override {
    if (mayCall(Duration::zero(), OnDone))
      m_Inner->read(Table, From, through(std::move(OnDone)));
  }
  void follow(const std::string &Table, StoreVersion After, Duration Wait,
              Done OnDone) override {
    if (mayCall(Wait, OnDone))
      m_Inner->follow(Table, After, Wait, through(std::move(OnDone)));
  }
  void write(const StoreWrite &What,
             std::function<void(StoreWriteResult)> OnDone) override {
    m_Inner->write(What, std::move(OnDone));
  }

private:
  static constexpr Duration ProbesGiveUp = 3s;

  bool mayCall(Duration Wait, const Done &OnDone) {
    if (m_Way == Way::Open || m_Way == Way::Held)
      return true;
    const bool Refused = m_Way == Way::Refused;
    m_Timers.after(
        Refused ? Duration(4ms)
                : std::min(Wait, ProbesGiveUp) + StoreClient::Timeout,
        [Refused, OnDone] {
          OnDone(Refused ? StoreFailure::Refused : StoreFailure::Unreachable);
        });
    return false;
  }

  Done through(Done OnDone) {
    return [this, OnDone = std::move(OnDone)](const StoreResult &Result) {
      deliver(Result, OnDone);
    };
  }

  void deliver(const StoreResult &Result, const Done &OnDone) {
    if (m_Way == Way::Cut || m_Way == Way::Refused)
      m_Timers.after(ProbesGiveUp,
                     [OnDone] { OnDone(StoreFailure::Unreachable); });
    else if (m_Way == Way::Held)
      m_Timers.after(Look, [this, Result, OnDone] { deliver(Result, OnDone); });
    else
      OnDone(Result);
  }

  std::unique_ptr<Store> m_Inner; ///< Never null.
  ManualScheduler &m_Timers;      ///< Outlives it.
  Way &m_Way;                     ///< Outlives it.
};

class Zone;

class Instance final : public gateway::DirectoryListener {
public:
  Instance(Zone &Of, std::size_t Number, double Draw);
  void tableChanged(gateway::RouteTablePtr Table) override {
    m_Version = Table->version().value();
  }
  void peersChanged(const gateway::PeerList &) override {}
  void quarantineChanged(const std::set<ContentHash> &) override {}
  void upstreamsChanged(const std::vector<Upstream> &List) override {
    m_Names.clear();
    for (const Upstream &Each : List)
      if (!Each.m_Leaving)
        m_Names.insert(Each.m_Name);
  }
  void directoryRead(const gateway::DirectoryUpdate &Update) override;

  Zone &m_Zone;
  std::size_t m_Number;
  Way m_Way = Way::Open;
  Duration m_Delay = Hop;        ///< Of updates that it sends.
  bool m_LinksCut = false;       ///< Updates that it sends are lost.
  std::uint64_t m_Version = 0;   ///< Of the table in force.
  std::set<std::string> m_Names; ///< Upstreams that may be used.
  Metrics m_Stats;
  std::unique_ptr<StoreDirectory> m_Directory;
};

class Zone {
public:
  explicit Zone(std::size_t Count, double Draw = 0.5) {
    m_Store.put("op", "config", manifest(1));
    for (const char *Name : {"a", "b", "c"})
      list(Name);
    for (std::size_t I = 0; I < Count; ++I)
      m_All.push_back(std::make_unique<Instance>(*this, I, Draw));
    for (const auto &Each : m_All)
      Each->m_Directory->start(*Each, {"edge-" + std::to_string(Each->m_Number),
                                       {0x0a000001, 7340},
                                       {"z"},
                                       1});
    m_Timers.advance(4s);
    for (const auto &Each : m_All)
      Each->m_Directory->setReadingRole(roleOf(Each->m_Number));
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
    for (const auto &Each : m_All)
      if (Each.get() != &From)
        m_Timers.after(From.m_Delay, [To = Each.get(), Update] {
          To->m_Directory->passedOn(Update);
        });
  }

  template <typename Test> bool everyone(Test Holds) const {
    return std::all_of(m_All.begin(), m_All.end(),
                       [&](const auto &Each) { return Holds(*Each); });
  }

  /// Returns the time until all instances with an open connection to the store
  /// meet a condition, at most \p Limit.
  template <typename Test> Duration until(Test Holds, Duration Limit) {
    Duration Result{};
    while (Result < Limit && !everyone([&](const Instance &Each) {
             return Each.m_Way != Way::Open || Holds(Each);
           })) {
      m_Timers.advance(Look);
      Result += Look;
    }
    return Result;
  }

  Duration untilDropped(const std::string &Name, Duration Limit) {
    return until(
        [&](const Instance &Each) { return !Each.m_Names.contains(Name); },
        Limit);
  }

  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  SimulatedStore m_Store{m_Clock, m_Timers};
  std::vector<std::unique_ptr<Instance>> m_All;
};

Instance::Instance(Zone &Of, std::size_t Number, double Draw)
    : m_Zone(Of), m_Number(Number),
      m_Directory(std::make_unique<StoreDirectory>(
          std::make_unique<GatedStore>(Of.m_Store.client(), Of.m_Timers, m_Way),
          StoreBounds{Drain, Drain, Contact}, Of.m_Clock, Of.m_Timers, m_Stats,
          [Draw] { return Draw; })) {}

void Instance::directoryRead(const gateway::DirectoryUpdate &Update) {
  m_Zone.broadcast(*this, Update);
}

/// Runs a scenario with several random draws of backoffs, and starting at many
/// moments of the time between two calls of a reader to the store.
template <typename Job> void atAnyMoment(Job Play) {
  for (const double Draw : {0.0, 0.5, 0.999})
    for (Duration Moment{}; Moment < 2s; Moment += 130ms)
      BOOST_TEST_CONTEXT("back-off drawn " << Draw << ", moment "
                                           << Moment.count() << " us") {
        Zone It(5, Draw);
        It.m_Timers.advance(Moment);
        Play(It);
      }
}

} // namespace

// Guards against calls to the store in proportion to instances times changes.
BOOST_AUTO_TEST_CASE(FollowersLeaveTheStoreAlone) {
  const auto CallsIn = [](std::size_t Count) {
    Zone It(Count);
    It.m_Timers.advance(AllWaitsOver);
    const std::uint64_t Before = It.m_Store.calls();
    for (int I = 0; I < 30; ++I) {
      It.list("e" + std::to_string(I));
      if (I % 5 == 0)
        It.m_Store.put("op", "config", Zone::manifest(10 + I));
      It.m_Timers.advance(1s);
    }
    It.m_Timers.advance(1s);
    BOOST_TEST(It.everyone([](const Instance &Each) {
      return Each.m_Names.contains("e29") && Each.m_Version == 35;
    }));
    return It.m_Store.calls() - Before;
  };
  const std::uint64_t OfFive = CallsIn(5);
  BOOST_TEST(OfFive < 150U);
  BOOST_TEST(CallsIn(50) <= OfFive);
}

// Guards against a follower that receives late what the reader has read.
BOOST_AUTO_TEST_CASE(ChangesReachFollowersAtOnce) {
  Zone It(5);
  It.unlist("a");
  BOOST_TEST((It.untilDropped("a", Drain) < 100ms));
  It.m_Store.put("op", "config", Zone::manifest(3));
  BOOST_TEST((It.until([](const Instance &Each) { return Each.m_Version == 3; },
                       Drain) < 100ms));
}

// Guards against followers that rely on a reader which can't reach the store,
// is frozen, or whose updates are lost.
BOOST_AUTO_TEST_CASE(AnUpstreamLeavesWhileTheReaderIsInTrouble) {
  for (const Way How : {Way::Cut, Way::Refused, Way::Held})
    atAnyMoment([How](Zone &It) {
      It.m_All[0]->m_Way = How;
      It.m_All[0]->m_LinksCut = How == Way::Held;
      It.m_Timers.advance(200ms);
      It.unlist("a");
      It.m_Store.put("op", "config", Zone::manifest(3));
      BOOST_TEST((It.untilDropped("a", 10s) < Drain));
      BOOST_TEST(
          (It.until([](const Instance &Each) { return Each.m_Version == 3; },
                    10s) < Drain));
    });
}

// Guards against a zone in which reader and deputy fail together.
BOOST_AUTO_TEST_CASE(AnUpstreamLeavesWhileBothReadersAreInTrouble) {
  atAnyMoment([](Zone &It) {
    for (const std::size_t Number : {0, 1}) {
      It.m_All[Number]->m_Way = Way::Cut;
      It.m_All[Number]->m_LinksCut = true;
    }
    It.unlist("a");
    BOOST_TEST((It.untilDropped("a", 10s) < Drain));
  });
}

// Guards against updates that were delayed on the way and count as fresh when
// they arrive.
BOOST_AUTO_TEST_CASE(HeldUpUpdatesAreOld) {
  atAnyMoment([](Zone &It) {
    for (const std::size_t Number : {0, 1})
      It.m_All[Number]->m_Delay = 5s;
    It.m_Timers.advance(10s);
    It.unlist("a");
    BOOST_TEST((It.untilDropped("a", 10s) < Drain));
  });
}

// Guards against a removed upstream or old table that is restored by an old
// update, from a reader that was frozen.
BOOST_AUTO_TEST_CASE(ALateUpdateTakesNothingBack) {
  Zone It(5);
  It.m_All[0]->m_Way = Way::Held;
  It.m_All[0]->m_Delay = 6s;
  It.list("e");
  It.m_Timers.advance(500ms);
  It.unlist("e");
  It.m_Store.put("op", "config", Zone::manifest(3));
  It.m_Timers.advance(3s);
  It.m_All[0]->m_Way = Way::Open;
  for (Duration Past{}; Past < 12s; Past += Look) {
    It.m_Timers.advance(Look);
    for (const auto &Each : It.m_All) {
      if (Each->m_Number == 0)
        continue;
      BOOST_TEST(!Each->m_Names.contains("e"));
      BOOST_TEST(Each->m_Version == 3U);
    }
  }
}

// Guards against a follower that misses an update without noticing it.
BOOST_AUTO_TEST_CASE(AMissedUpdateIsReadFromTheStore) {
  Zone It(5);
  It.m_All[0]->m_LinksCut = true;
  It.m_All[1]->m_LinksCut = true; // Else the deputy sends it.
  It.unlist("a");
  It.m_Timers.advance(100ms);
  It.m_All[0]->m_LinksCut = false;
  It.m_Timers.advance(1500ms);
  It.unlist("b");
  BOOST_TEST((It.untilDropped("a", Drain) < 2s));
  BOOST_TEST((It.untilDropped("b", Drain) < 2s));
}

// Guards against callers that are refused for lack of upstreams after an outage
// in which all entries expired, and against an upstream that stays in use
// although it was removed then.
BOOST_AUTO_TEST_CASE(EntriesLapseInAnOutage) {
  atAnyMoment([](Zone &It) {
    It.m_Store.setMode(SimulatedStore::Mode::Refusing);
    It.m_Timers.advance(4s);
    for (const char *Name : {"a", "b", "c", "d"})
      It.unlist(Name);
    It.m_Timers.advance(2s);
    It.m_Store.setMode(SimulatedStore::Mode::Up);
    for (Duration Past{}; Past < 1900ms; Past += Look) {
      It.m_Timers.advance(Look);
      BOOST_TEST(It.everyone(
          [](const Instance &Each) { return Each.m_Names.contains("b"); }));
    }
    for (const char *Name : {"b", "c", "d"})
      It.list(Name);
    It.m_Timers.advance(Contact - 1900ms);
    BOOST_TEST(It.everyone([](const Instance &Each) {
      return Each.m_Names == std::set<std::string>{"b", "c", "d"};
    }));
  });
}

// Guards against overload of the store by retries during an outage: an instance
// makes fewer than two calls a second.
BOOST_AUTO_TEST_CASE(AnOutageIsMetWithFewCalls) {
  Zone It(50);
  It.m_Timers.advance(AllWaitsOver);
  const std::uint64_t Before = It.m_Store.calls();
  It.m_Store.setMode(SimulatedStore::Mode::Refusing);
  It.m_Timers.advance(10s);
  It.m_Store.setMode(SimulatedStore::Mode::Up);
  It.m_Timers.advance(10s);
  BOOST_TEST(It.m_Store.calls() - Before < 50 * 10 * 2U);
}

// Guards against a table that counts as current although it was read from an
// old copy: the reader sends what it has read, but no time at which it was
// current.
BOOST_AUTO_TEST_CASE(HistoryIsLostAtTheReader) {
  atAnyMoment([](Zone &It) {
    It.m_Store.dropHistory();
    It.unlist("a");
    BOOST_TEST((It.untilDropped("a", 10s) < Drain));
  });
}
