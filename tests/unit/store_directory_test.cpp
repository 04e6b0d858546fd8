/// Which upstreams an instance uses while it and the store lose each other.
///
/// Times are played in steps: a trouble ends at any moment between two calls of
/// the instance, and its back-off is drawn short, middling and long.
#define BOOST_TEST_MODULE store_directory
#include "store_directory.h"
#include "unit/simulated_store.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::adapter;
using namespace crowstep::test;
using namespace std::chrono_literals;
using Mode = SimulatedStore::Mode;

namespace {

/// An upstream that leaves gets nothing new this long after the store took its
/// word.
constexpr Duration DrainTime = 2s;

/// An instance that has its way to the store back keeps all promises this much
/// later.
constexpr Duration SettleTime = 3s;

/// An entry that lapsed while the store was away is back this long after it.
constexpr Duration RenewalDelay = 2s;

/// Between two looks at the list.
constexpr Duration CheckInterval = 5ms;

constexpr Duration AnySpan = 2s; ///< Longer than any pause between calls.
constexpr Duration AnyStep = 23ms;
constexpr double Draws[] = {0, 0.5, 0.999};

class Listener final : public gateway::DirectoryListener {
public:
  void tableChanged(gateway::RouteTablePtr) override {}
  void peersChanged(const gateway::PeerList &) override {}
  void quarantineChanged(const std::set<ContentHash> &Listed) override {
    m_Quarantined = Listed;
  }
  void directoryRead(const gateway::DirectoryUpdate &) override {}
  void upstreamsChanged(const std::vector<Upstream> &List) override {
    m_Names.clear();
    for (const Upstream &Item : List)
      m_Names.push_back(Item.m_Name);
  }
  [[nodiscard]] bool has(const std::string &Name) const {
    return std::find(m_Names.begin(), m_Names.end(), Name) != m_Names.end();
  }

  std::vector<std::string> m_Names;    ///< Listed now.
  std::set<ContentHash> m_Quarantined; ///< Listed now.
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
  /// The store is away for four seconds and \p Span more, and all entries
  /// lapse.
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

/// An upstream leaves without a word in a trouble of ten seconds and more.
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

// Callers get answers of an upstream that said twelve seconds ago that it
// leaves, or lose them with its end. The instance is cut off from the store;
// meanwhile an upstream leaves: its entry goes without another word. The way is
// back, and the instance hears it with its next call. Cause: it took its own
// trouble for the store's and kept the upstream for two seconds from the news,
// as one that could not renew its entry; the log had the news in time and calls
// to the upstream after it.
BOOST_AUTO_TEST_CASE(AnUpstreamThatLeftBehindACutIsDroppedInTime) {
  leaveDuring(Mode::Cut);
}

// The same where the store turns the instance away instead of being silent.
BOOST_AUTO_TEST_CASE(AnUpstreamThatLeftWhileRefusedIsDroppedInTime) {
  leaveDuring(Mode::Refusing);
}

// Callers are sent to upstreams that left or crashed, by an instance that has
// seen no trouble. A change comes, and amid the pause after it the store falls
// silent for three seconds: it takes calls and forgets them. The instance's
// next call is such a call. Seconds after the store's return an upstream
// leaves. Cause: the forgotten call was to wait for 30 s, and its connection
// stood; the log of such an instance had a change, and no word on the store
// after it.
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

// All callers are refused for want of an upstream although all upstreams live.
// The store is away for so long that their entries lapse, and they renew them
// two seconds after its return.
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

// Callers are refused by this instance alone although an upstream has renewed
// its entry in time: others renewed theirs just before, and the instance joins
// changes that come soon after each other into one call.
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

// The same with an upstream that had said that it leaves: its entry has not
// lapsed, so nothing more may begin there.
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

// All callers are refused for a while as above, with a store that is back for a
// second and away again before any upstream could renew its entry.
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

// Upstreams that never come back are dropped at one time, whatever their names
// and the order in which their entries went.
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

// An upstream leaves while its instance reads the table anew, as the store has
// dropped its history. The store was there all the while, so the entry can't
// have lapsed.
BOOST_AUTO_TEST_CASE(LostHistoryKeepsNoUpstream) {
  for (const double Draw : Draws) {
    Fixture Test(Draw);
    Test.m_Store.dropHistory();
    Test.unlist("a");
    BOOST_TEST((Test.listedFor("a", 10s) < DrainTime));
  }
}

// An upstream leaves just after the instance's connections to the store were
// reset. The next call goes through at once: the store was there all the while.
BOOST_AUTO_TEST_CASE(AResetConnectionKeepsNoUpstream) {
  for (const double Draw : Draws) {
    Fixture Test(Draw);
    Test.m_Store.reset();
    Test.m_Timers.advance(1s);
    Test.unlist("a");
    BOOST_TEST((Test.listedFor("a", 10s) < DrainTime));
  }
}

// The instances call the store too often and some calls are turned away for
// this. Upstreams have no part in it: an entry that goes meanwhile is no entry
// that could not be renewed.
BOOST_AUTO_TEST_CASE(ThrottledCallsKeepNoUpstream) {
  for (const double Draw : Draws) {
    Fixture Test(Draw);
    Test.during(Mode::Throttling, 500ms);
    Test.m_Timers.advance(500ms);
    Test.unlist("a");
    BOOST_TEST((Test.listedFor("a", 10s) < DrainTime));
  }
}
