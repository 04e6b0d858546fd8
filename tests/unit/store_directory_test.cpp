/// Which upstreams an instance uses during and after outages of the store.
///
/// Outages end at each of many moments between two calls of the instance, and
/// the jitter of its back-off is short, middling and long.
#define BOOST_TEST_MODULE store_directory
#include "store_directory.h"
#include "unit/simulated_store.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace crowstep;
using namespace crowstep::adapter;
using namespace crowstep::test;
using namespace std::chrono_literals;
using Mode = SimulatedStore::Mode;

namespace {

/// A draining upstream gets no new requests this long after the store recorded
/// that it drains.
constexpr Duration DrainTime = 2s;

/// An instance must be up to date this long after it could reach the store
/// again.
constexpr Duration SettleTime = 3s;

/// An entry that expired in an outage is renewed this long after its end.
constexpr Duration RenewalDelay = 2s;

/// Interval between checks of the list.
constexpr Duration CheckInterval = 5ms;

constexpr Duration AnySpan = 2s; ///< Longer than any pause between calls.
constexpr Duration AnyStep = 23ms;
constexpr double Draws[] = {0, 0.5, 0.999};

class Listener final : public gateway::DirectoryListener {
public:
  void tableChanged(gateway::RouteTablePtr Table) override {
    m_TableVersions.push_back(Table->version().value());
  }
  void peersChanged(const gateway::PeerList &) override {}
  void quarantineChanged(const std::set<ContentHash> &Listed) override {
    m_Quarantined = Listed;
  }
  void softwareRegistered(const gateway::ServiceVersions &All) override {
    m_Registered = All;
  }
  void updateRead(const gateway::DirectoryUpdate &) override {}
  void upstreamsChanged(const std::vector<Upstream> &List) override {
    m_Names.clear();
    for (const Upstream &Item : List)
      m_Names.push_back(Item.m_Name);
  }
  [[nodiscard]] bool has(const std::string &Name) const {
    return std::find(m_Names.begin(), m_Names.end(), Name) != m_Names.end();
  }

  std::vector<std::uint64_t> m_TableVersions; ///< In the order of arrival.
  std::vector<std::string> m_Names;           ///< Listed now.
  std::set<ContentHash> m_Quarantined;        ///< Listed now.
  std::optional<gateway::ServiceVersions> m_Registered; ///< None: not read.
};

/// An instance that knows three upstreams.
struct Fixture {
  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  SimulatedStore m_Store{m_Clock, m_Timers};
  Metrics m_Stats;
  Listener m_Listener;
  StoreDirectory m_Directory;

  explicit Fixture(double Draw)
      : m_Directory(m_Store.client(), {DrainTime, DrainTime, SettleTime},
                    m_Clock, m_Timers, m_Stats, [Draw] { return Draw; }) {
    listAll();
    m_Directory.start(m_Listener, {"edge-1", {0x0a000001, 7340}, {"z"}, 1});
    m_Timers.advance(10s);
    BOOST_TEST(m_Listener.m_Names.size() == 3U);
  }
  void list(const std::string &Name, const std::string &State = "ready") {
    m_Store.put("servers", Name,
                R"({"service":"s","address":"10.0.0.9:8080","zone":"z",)"
                R"("slots":4,"state":")" +
                    State + R"("})");
  }
  void unlist(const std::string &Name) { m_Store.remove("servers", Name); }
  void listAll() {
    for (const char *Name : {"a", "b", "c"})
      list(Name);
  }
  /// Makes the store unreachable for four seconds and \p Span more, and lets
  /// all entries expire.
  void expireEntries(Mode StoreMode, Duration Span) {
    m_Store.setMode(StoreMode);
    m_Timers.advance(4s);
    for (const char *Name : {"a", "b", "c"})
      unlist(Name);
    m_Timers.advance(Span);
    m_Store.setMode(Mode::Up);
  }
  void during(Mode StoreMode, Duration Span) {
    m_Store.setMode(StoreMode);
    m_Timers.advance(Span);
    m_Store.setMode(Mode::Up);
  }
  /// Returns how long \p Name is listed from now on, at most \p Limit.
  Duration listedFor(const std::string &Name, Duration Limit) {
    Duration Result{};
    for (; m_Listener.has(Name) && Result < Limit; Result += CheckInterval)
      m_Timers.advance(CheckInterval);
    return Result;
  }
};

template <typename Job> void atAnyMoment(Job Scenario) {
  for (const double Draw : Draws)
    for (Duration Moment{}; Moment < AnySpan; Moment += AnyStep)
      BOOST_TEST_CONTEXT("back-off drawn " << Draw << ", moment "
                                           << Moment.count() << " us") {
        Scenario(Draw, Moment);
      }
}

/// Removes an upstream without draining it, in an outage of ten seconds or
/// more.
void leaveDuring(Mode StoreMode) {
  atAnyMoment([StoreMode](double Draw, Duration Moment) {
    Fixture Test(Draw);
    Test.m_Store.setMode(StoreMode);
    Test.m_Timers.advance(1s);
    Test.unlist("a");
    Test.m_Timers.advance(9s + Moment);
    Test.m_Store.setMode(Mode::Up);
    BOOST_TEST((Test.listedFor("a", 10s) < SettleTime));
    BOOST_TEST(Test.m_Listener.has("b"));
  });
}

} // namespace

// Guards against an instance that takes its own lost connection for an outage
// of the store. An upstream's entry is removed while the instance is cut off;
// with its next call it reads the removal, but kept the upstream for two
// seconds as one that could not renew its entry. Callers got answers from an
// upstream that had started to drain twelve seconds before, or lost their calls
// with its end; the log showed the removal in time, and calls to the upstream
// after it.
BOOST_AUTO_TEST_CASE(AnUpstreamThatLeftBehindACutIsDroppedInTime) {
  leaveDuring(Mode::Cut);
}

// The same where the store rejects the instance's calls instead of being
// silent.
BOOST_AUTO_TEST_CASE(AnUpstreamThatLeftWhileRefusedIsDroppedInTime) {
  leaveDuring(Mode::Refusing);
}

// Guards against callers sent to upstreams that left or crashed, by an instance
// that has noticed no outage. In the pause after a change the store falls
// silent for three seconds: it accepts calls and forgets them, also the
// instance's next one. Seconds after the store's recovery an upstream leaves.
// The forgotten call waited for 30 s on an open connection; the log of such an
// instance showed a change and nothing about the store after it.
BOOST_AUTO_TEST_CASE(AnUpstreamThatLeavesAfterASilenceIsDropped) {
  atAnyMoment([](double Draw, Duration Moment) {
    Fixture Test(Draw);
    Test.list("d");
    Test.m_Timers.advance(Moment / 3);
    Test.m_Store.setMode(Mode::Silent);
    Test.m_Timers.advance(3s);
    Test.m_Store.setMode(Mode::Up);
    Test.m_Timers.advance(SettleTime);
    Test.unlist("a");
    BOOST_TEST((Test.listedFor("a", 10s) < DrainTime));
  });
}

// Guards against refusing all callers for want of an upstream although all are
// alive: in a long outage of the store their entries expire, and they renew
// them two seconds after its end.
BOOST_AUTO_TEST_CASE(UpstreamsWhoseEntriesLapsedAreKeptUntilRenewed) {
  for (const Mode StoreMode : {Mode::Cut, Mode::Refusing})
    atAnyMoment([StoreMode](double Draw, Duration Moment) {
      Fixture Test(Draw);
      Test.expireEntries(StoreMode, 2s + Moment);
      BOOST_TEST((Test.listedFor("a", RenewalDelay) == RenewalDelay));
      Test.listAll();
      BOOST_TEST((Test.listedFor("a", 3s) == 3s));
    });
}

// Guards against one instance that refuses callers although an upstream has
// renewed its entry in time: others renewed theirs just before, and the
// instance reads changes in quick succession with one call.
BOOST_AUTO_TEST_CASE(UpstreamsThatRenewOneByOneAreKept) {
  for (const Mode StoreMode : {Mode::Cut, Mode::Refusing})
    atAnyMoment([StoreMode](double Draw, Duration Moment) {
      Fixture Test(Draw);
      Test.expireEntries(StoreMode, 2s + Moment);
      Test.m_Timers.advance(RenewalDelay - 300ms);
      Test.list("a");
      Test.m_Timers.advance(100ms);
      Test.list("b");
      Test.m_Timers.advance(200ms);
      Test.list("c");
      BOOST_TEST((Test.listedFor("c", 3s) == 3s));
    });
}

// The same with a draining upstream: its entry was removed, not expired, so it
// may get no new requests.
BOOST_AUTO_TEST_CASE(ALeavingUpstreamWhoseEntryGoesIsNotKept) {
  Fixture Test(0.5);
  Test.list("a", "draining");
  Test.m_Timers.advance(1s);
  Test.m_Store.setMode(Mode::Refusing);
  Test.m_Timers.advance(4s);
  Test.unlist("a");
  Test.m_Store.setMode(Mode::Up);
  BOOST_TEST((Test.listedFor("a", 10s) < 1s));
}

// As above, with a store that recovers for a second and is unreachable again
// before any upstream could renew its entry.
BOOST_AUTO_TEST_CASE(UpstreamsAreKeptThroughASecondOutage) {
  Fixture Test(0.5);
  Test.expireEntries(Mode::Refusing, 2s);
  Test.m_Timers.advance(1s);
  Test.m_Store.setMode(Mode::Refusing);
  BOOST_TEST((Test.listedFor("a", 5s) == 5s));
  Test.m_Store.setMode(Mode::Up);
  BOOST_TEST((Test.listedFor("a", RenewalDelay) == RenewalDelay));
  Test.listAll();
  BOOST_TEST((Test.listedFor("a", 3s) == 3s));
}

// Upstreams that never return are dropped at the same time, whatever their
// names and the order in which their entries were removed.
BOOST_AUTO_TEST_CASE(UpstreamsThatStayMissingAreDropped) {
  Fixture Test(0.5);
  Test.m_Store.setMode(Mode::Refusing);
  Test.m_Timers.advance(4s);
  Test.unlist("c");
  Test.m_Store.setMode(Mode::Up);
  Test.m_Timers.advance(1500ms);
  Test.unlist("a");
  BOOST_TEST((Test.listedFor("c", 10s) < SettleTime - 1500ms));
  BOOST_TEST((Test.listedFor("a", 10s) < SettleTime - 1500ms));
  BOOST_TEST(Test.m_Listener.has("b"));
}

// An upstream leaves while an instance reads the table again because the store
// has dropped its history. The store was reachable all the time, so the entry
// can't have expired.
BOOST_AUTO_TEST_CASE(LostHistoryKeepsNoUpstream) {
  for (const double Draw : Draws) {
    Fixture Test(Draw);
    Test.m_Store.dropHistory();
    Test.unlist("a");
    BOOST_TEST((Test.listedFor("a", 10s) < DrainTime));
  }
}

// An upstream leaves just after the instance's connections to the store were
// reset. The next call succeeds at once: the store was reachable all the time.
BOOST_AUTO_TEST_CASE(AResetConnectionKeepsNoUpstream) {
  for (const double Draw : Draws) {
    Fixture Test(Draw);
    Test.m_Store.reset();
    Test.m_Timers.advance(1s);
    Test.unlist("a");
    BOOST_TEST((Test.listedFor("a", 10s) < DrainTime));
  }
}

// The store throttles some calls of the instances. Upstreams are not affected,
// so an entry that is removed meanwhile has not expired for want of a renewal.
BOOST_AUTO_TEST_CASE(ThrottledCallsKeepNoUpstream) {
  for (const double Draw : Draws) {
    Fixture Test(Draw);
    Test.during(Mode::Throttling, 500ms);
    Test.m_Timers.advance(500ms);
    Test.unlist("a");
    BOOST_TEST((Test.listedFor("a", 10s) < DrainTime));
  }
}

// Guards against an upstream that leaves while the table is read in several
// pages and is used for as long as it is silent.
BOOST_AUTO_TEST_CASE(AnUpstreamThatLeavesBetweenTwoPagesIsDropped) {
  for (Duration Moment{}; Moment < 100ms; Moment += 1ms)
    BOOST_TEST_CONTEXT("left after " << Moment.count() << " us") {
      Fixture Test(0.5);
      Test.m_Store.setPageSize(2);
      Test.m_Store.dropHistory();
      Test.m_Timers.advance(Moment);
      Test.unlist("a");
      BOOST_TEST((Test.listedFor("a", 10s) < DrainTime));
    }
}

// Guards against an upstream that leaves between two outages and is used until
// the end of the second one, although the other upstreams stay listed.
BOOST_AUTO_TEST_CASE(AnUpstreamThatLeftBetweenTwoOutagesIsDropped) {
  atAnyMoment([](double Draw, Duration Moment) {
    Fixture Test(Draw);
    Test.during(Mode::Refusing, 2s);
    Test.m_Timers.advance(900ms); // The instance calls the store again.
    Test.unlist("a");
    Test.m_Timers.advance(100ms + Moment);
    Test.m_Store.setMode(Mode::Refusing);
    BOOST_TEST((Moment + Test.listedFor("a", 10s) < SettleTime));
    BOOST_TEST(Test.m_Listener.has("b"));
  });
}

// ---- Restores from an older copy --------------------------------------------

namespace {

constexpr const char *Instances = "crowstep_instances";

std::string tableText(std::uint64_t Version) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[],"services":[],"tenants":[]})";
}

/// A fixture in which other rows are written after the copy was taken.
struct RestoreFixture : Fixture {
  explicit RestoreFixture(double Draw) : Fixture(Draw) {
    m_Store.put("op", "config", tableText(1));
    m_Timers.advance(2s);
    m_Store.takeCopy();
  }
  void writeOthers(int Count) {
    for (int I = 0; I < Count; ++I)
      m_Store.put("elsewhere", "row", std::to_string(I));
  }
  void writeTable(std::uint64_t Version) {
    m_Store.put("op", "config", tableText(Version));
  }
  [[nodiscard]] std::uint64_t tableVersion() const {
    return m_Listener.m_TableVersions.empty()
               ? 0
               : m_Listener.m_TableVersions.back();
  }
};

} // namespace

// Guards against a table that is in force too late after a restore, whatever
// the moment, and against one that goes back.
BOOST_AUTO_TEST_CASE(ATableWrittenAfterARestoreIsInForceInTime) {
  for (const bool ForgetsLongPolls : {false, true})
    atAnyMoment([&](double Draw, Duration Moment) {
      RestoreFixture Test(Draw);
      Test.writeOthers(20);
      Test.writeTable(2);
      Test.m_Timers.advance(1s + Moment);
      BOOST_TEST(Test.tableVersion() == 2U);
      Test.during(Mode::Refusing, Moment);
      Test.m_Store.restoreCopy(ForgetsLongPolls);
      // A long poll that is lost with the old store must not delay it.
      Test.m_Timers.advance(ForgetsLongPolls ? 500ms : 50ms);
      Test.writeTable(3);
      Test.m_Timers.advance(DrainTime);
      BOOST_TEST(Test.tableVersion() == 3U);
      BOOST_TEST(std::ranges::is_sorted(Test.m_Listener.m_TableVersions));
    });
}

// Guards against calls to an upstream that had left, and is listed again by the
// copy until its entry expires.
BOOST_AUTO_TEST_CASE(AnUpstreamThatLeftBeforeARestoreStaysAway) {
  atAnyMoment([](double Draw, Duration Moment) {
    RestoreFixture Test(Draw);
    Test.writeOthers(5);
    Test.unlist("a");
    Test.m_Timers.advance(SettleTime + Moment);
    BOOST_TEST(!Test.m_Listener.has("a"));
    Test.m_Store.restoreCopy();
    for (Duration Passed{}; Passed < 5s; Passed += 100ms) {
      Test.m_Timers.advance(100ms);
      BOOST_TEST(!Test.m_Listener.has("a"));
    }
    // Written anew, it is one that serves.
    Test.writeOthers(10);
    Test.list("a");
    Test.m_Timers.advance(2s);
    BOOST_TEST(Test.m_Listener.has("a"));
  });
}

// Guards against callers that are refused since the copy lacks an upstream, and
// against one that is kept for good.
BOOST_AUTO_TEST_CASE(AnUpstreamThatARestoreHasLostIsKeptUntilRenewed) {
  atAnyMoment([](double Draw, Duration Moment) {
    for (const bool Renews : {true, false}) {
      RestoreFixture Test(Draw);
      Test.list("d");
      Test.m_Timers.advance(1s + Moment);
      BOOST_TEST(Test.m_Listener.has("d"));
      Test.m_Store.restoreCopy();
      BOOST_TEST((Test.listedFor("d", RenewalDelay) == RenewalDelay));
      if (Renews)
        Test.list("d");
      Test.m_Timers.advance(3s + SettleTime);
      BOOST_TEST(Test.m_Listener.has("d") == Renews);
    }
  });
}

// Guards against what is quarantined being cleared by a copy without its row,
// and against a row that no instance writes again.
BOOST_AUTO_TEST_CASE(ARestoreClearsNoQuarantine) {
  for (const double Draw : Draws) {
    RestoreFixture Test(Draw);
    const ContentHash Held{1, 2};
    const std::string Key = "#quarantine/" + toString(Held);
    Test.m_Store.put(Instances, Key, "{}");
    Test.m_Timers.advance(10s);
    BOOST_TEST((Test.m_Listener.m_Quarantined == std::set{Held}));
    Test.m_Store.restoreCopy();
    for (Duration Passed{}; Passed < 20s; Passed += 100ms) {
      Test.m_Timers.advance(100ms);
      BOOST_TEST((Test.m_Listener.m_Quarantined == std::set{Held}));
    }
    BOOST_TEST(Test.m_Store.value(Instances, Key) == "{}");
    // A row that was removed and is back is removed again.
    Test.m_Store.takeCopy();
    Test.m_Store.remove(Instances, Key);
    Test.m_Timers.advance(10s);
    BOOST_TEST(Test.m_Listener.m_Quarantined.empty());
    Test.m_Store.restoreCopy();
    Test.m_Timers.advance(10s);
    BOOST_TEST(Test.m_Listener.m_Quarantined.empty());
    BOOST_TEST(Test.m_Store.value(Instances, Key).empty());
  }
}

// Guards against a store without eras, or with one that can't be read, that is
// no longer ordered by version.
BOOST_AUTO_TEST_CASE(WithoutAnEraAStaleCopyChangesNothing) {
  for (const bool StatesEra : {true, false}) {
    RestoreFixture Test(0.5);
    Test.m_Store.setStatesEra(StatesEra);
    Test.m_Store.serveStaleCopy(true);
    Test.writeTable(2);
    Test.unlist("a");
    Test.m_Timers.advance(3s);
    Test.m_Store.dropHistory();
    Test.m_Timers.advance(10s);
    BOOST_TEST(Test.tableVersion() == 2U);
    BOOST_TEST(!Test.m_Listener.has("a"));
  }
}

// Guards against a table that goes back or comes late, and an upstream that
// left and is used, in any series of writes, restores, stale reads and outages.
BOOST_AUTO_TEST_CASE(RandomSeriesOfRestoresKeepTheOrder) {
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    std::mt19937_64 Random(Seed);
    RestoreFixture Test(Draws[Seed % 3]);
    std::uint64_t Newest = 1;
    std::set<std::string> Left;
    for (int Action = 0; Action < 25; ++Action) {
      switch (Random() % 8) {
      case 0:
        Test.m_Store.takeCopy();
        break;
      case 1:
        Test.m_Store.restoreCopy(Random() % 2 == 0);
        break;
      case 2:
        Test.during(Mode::Refusing, std::chrono::milliseconds(Random() % 2000));
        break;
      case 3:
        Test.during(Mode::Cut, std::chrono::milliseconds(Random() % 2000));
        break;
      case 4:
        Test.m_Store.serveStaleCopy(Random() % 2 == 0);
        break;
      case 5:
        Test.m_Store.dropHistory();
        break;
      case 6: {
        const std::string Name = "gone-" + std::to_string(Action);
        Test.list(Name);
        Test.m_Timers.advance(1s);
        Test.unlist(Name);
        break;
      }
      default:
        Test.writeOthers(static_cast<int>(Random() % 10));
        Test.writeTable(++Newest);
        break;
      }
      Test.m_Timers.advance(std::chrono::milliseconds(Random() % 1500));
    }
    Test.m_Store.serveStaleCopy(false);
    Test.m_Timers.advance(SettleTime + 1s);
    Test.writeTable(++Newest);
    Test.m_Timers.advance(DrainTime);
    BOOST_TEST_CONTEXT("seed " << Seed) {
      BOOST_TEST(Test.tableVersion() == Newest);
      BOOST_TEST(std::ranges::is_sorted(Test.m_Listener.m_TableVersions));
      BOOST_TEST(Test.m_Listener.has("b"));
    }
  }
}
