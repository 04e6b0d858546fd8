/// Usage counters, their rows, and calendar time by the majority of clocks.
#define BOOST_TEST_MODULE usage
#include "duty/duty_error.h"
#include "duty/usage_reporter.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck.h>
#include <set>

using namespace crowstep;
using namespace crowstep::duty;
using namespace std::chrono_literals;

namespace {

constexpr UsageWindow Current(1000);

UsageCount count(std::uint64_t Source, std::uint64_t Window,
                 const std::string &Workspace, std::uint64_t Value) {
  return {{InstanceId(Source), Incarnation(1)},
          UsageWindow(Window),
          Workspace,
          Value};
}

class FakeWallClock final : public WallClock {
public:
  explicit FakeWallClock(const Clock &Time) : m_Clock(Time) {}
  [[nodiscard]] WallTime now() const override {
    return WallTime(1000h + m_Clock.now().time_since_epoch() + m_Error);
  }
  Duration m_Error{}; ///< Of this clock.

private:
  const Clock &m_Clock; ///< Outlives it.
};

/// A table service with one row, whose calls end at once.
class OneRow final : public platform::TableService {
public:
  void write(const std::string &, std::vector<platform::RowWrite> Writes,
             std::function<void(platform::WriteResult)> Done) override {
    ++m_Writes;
    m_Row = platform::Row{Writes[0].m_Key, platform::RowVersion(++m_Version),
                          Writes[0].m_Value};
    Done(std::vector<platform::RowOutcome>{{true, m_Row}});
  }
  void read(const std::string &, const std::string &,
            std::function<void(platform::ReadResult)> Done) override {
    std::vector<platform::Row> Rows;
    if (m_Row)
      Rows.push_back(*m_Row);
    Done(Rows);
  }
  void list(const std::string &, const std::string &,
            std::function<void(platform::ReadResult)>) override {}

  [[nodiscard]] std::optional<platform::TableEra> era() const override {
    return m_Era;
  }

  std::optional<platform::TableEra> m_Era; ///< Stated; none: it states none.
  std::optional<platform::Row> m_Row;      ///< None: there is no row.
  int m_Writes = 0;                        ///< Calls so far.
  std::uint64_t m_Version = 1;             ///< Of the row.
};

/// A table service with a free lease.
class LeaseTable final : public platform::TableService {
public:
  void write(const std::string &, std::vector<platform::RowWrite> Writes,
             std::function<void(platform::WriteResult)> Done) override {
    m_Writes.push_back({std::move(Writes[0]), std::move(Done)});
  }
  void read(const std::string &, const std::string &,
            std::function<void(platform::ReadResult)> Done) override {
    m_Reads.push_back(std::move(Done));
  }
  void list(const std::string &, const std::string &,
            std::function<void(platform::ReadResult)>) override {}

  /// Answers the calls in flight; every write succeeds.
  void answer() {
    for (const auto &Done : std::exchange(m_Reads, {}))
      Done(m_Row ? std::vector<platform::Row>{*m_Row}
                 : std::vector<platform::Row>());
    for (const auto &[Write, Done] : std::exchange(m_Writes, {})) {
      m_Row = platform::Row{Write.m_Key, platform::RowVersion(++m_Version),
                            Write.m_Value};
      Done(std::vector<platform::RowOutcome>{{true, m_Row}});
    }
  }

  [[nodiscard]] std::optional<platform::TableEra> era() const override {
    return m_Era;
  }

  std::optional<platform::Row> m_Row;      ///< The lease.
  std::optional<platform::TableEra> m_Era; ///< Stated; none: it states none.

private:
  std::vector<std::function<void(platform::ReadResult)>> m_Reads;
  std::vector<
      std::pair<platform::RowWrite, std::function<void(platform::WriteResult)>>>
      m_Writes;
  std::uint64_t m_Version = 1;
};

class FakePlatform final : public DutyPlatform {
public:
  void reportUsage(const DutyCall &, const UsageReport &Report,
                   Done OnDone) override {
    m_Reports.push_back(Report);
    m_Done = std::move(OnDone);
  }
  void orderCapacity(const DutyCall &, const CapacityOrder &, Done) override {}
  std::vector<UsageReport> m_Reports; ///< Received.
  Done m_Done;                        ///< Of the last one.
};

/// A reporter that holds the lease.
struct Holder {
  explicit Holder(const std::optional<platform::Row> &UsageRow = {}) {
    m_UsageRow.m_Row = UsageRow;
    m_Lease.setWanted(true);
    advance(1s);
  }
  void advance(Duration Span) {
    for (Duration Left = Span; Left > Duration::zero(); Left -= 50ms) {
      m_Timers.advance(50ms);
      m_LeaseRow.answer();
      m_Reporter.run(m_Caller.fencing());
    }
  }

  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  FakeWallClock m_Wall{m_Clock};
  MajorityClock m_Time{m_Wall, m_Clock};
  UsageMeter m_Meter{{InstanceId(1), Incarnation(1)}, 5s, m_Time};
  Metrics m_Stats;
  LeaseTable m_LeaseRow;
  OneRow m_UsageRow;
  FakePlatform m_Platform;
  lease::LeaseClient m_Lease{{"duties", "me", 3s, 300ms, 1s, false},
                             m_Clock,
                             m_Timers,
                             m_LeaseRow,
                             m_Stats,
                             [] {}};
  DutyCaller m_Caller{"me", 3s, 50, m_Clock, m_Lease, m_Platform};
  UsageReporter m_Reporter{{5s, 3s}, m_Clock, m_UsageRow,
                           m_Caller, m_Meter, m_Stats};
};

} // namespace

// Guards against requests that count twice, or not, when counters arrive in
// another order, repeatedly, or over several instances.
BOOST_AUTO_TEST_CASE(CountersMergeTheSameInAnyOrder) {
  rc::check("usage counters merge", [](std::uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    std::vector<UsageCount> Sent;
    std::map<std::string, std::uint64_t> Truth;
    for (std::uint64_t Source = 1; Source <= 3; ++Source)
      for (const char *Workspace : {"a", "b"}) {
        std::uint64_t Value = 0;
        for (int Step = 0; Step < 4; ++Step)
          Sent.push_back(count(Source, Current.value(), Workspace,
                               Value += 1 + Random() % 5));
        Truth[Workspace] += Value;
      }
    std::vector<UsageCount> Repeated = Sent;
    Repeated.insert(Repeated.end(), Sent.begin(), Sent.end());
    std::shuffle(Repeated.begin(), Repeated.end(), Random);
    UsageCounts Direct;
    UsageCounts Relayed;
    Direct.setCurrentWindow(Current);
    Relayed.setCurrentWindow(Current);
    for (const UsageCount &Count : Repeated) {
      Direct.merge(Count);
      if (Random() % 4 == 0)
        for (const UsageCount &Changed : Direct.takeChanges())
          Relayed.merge(Changed);
    }
    for (const UsageCount &Changed : Direct.takeChanges())
      Relayed.merge(Changed);
    RC_ASSERT(Direct.total(Current) == Truth);
    RC_ASSERT(Relayed.total(Current) == Truth);
  });
}

// Guards against memory that grows with windows that were never reported, and
// against counters from a sender with a wrong clock.
BOOST_AUTO_TEST_CASE(OnlyRecentWindowsAreKept) {
  UsageCounts Counts;
  Counts.setCurrentWindow(Current);
  BOOST_TEST(Counts.merge(count(1, Current.value() + 1, "a", 1)));
  BOOST_TEST(!Counts.merge(count(1, Current.value() + 2, "a", 1)));
  BOOST_TEST(!Counts.merge(
      count(1, Current.value() - UsageCounts::KeptWindows - 1, "a", 1)));
  Counts.add({InstanceId(1), Incarnation(1)}, "a");
  Counts.setCurrentWindow(
      UsageWindow(Current.value() + UsageCounts::KeptWindows + 2));
  BOOST_TEST(Counts.all().empty());
  BOOST_TEST(Counts.takeChanges().empty());
}

BOOST_AUTO_TEST_CASE(ARestartedProcessCountsAnew) {
  UsageCounts Counts;
  Counts.setCurrentWindow(Current);
  Counts.merge({{InstanceId(1), Incarnation(1)}, Current, "a", 7});
  Counts.merge({{InstanceId(1), Incarnation(2)}, Current, "a", 2});
  BOOST_TEST(Counts.total(Current).at("a") == 9U);
}

BOOST_AUTO_TEST_CASE(TheMajorityOfClocksIsRight) {
  ManualClock Steady;
  FakeWallClock Wall(Steady);
  MajorityClock Time(Wall, Steady);
  const auto Reading = [&](Duration Error) {
    return WallTime(1000h + Steady.now().time_since_epoch() + Error);
  };
  for (std::uint64_t Peer = 1; Peer <= 6; ++Peer)
    Time.recordPeer(InstanceId(Peer), Reading(Peer <= 2 ? 2s : 0s));
  BOOST_TEST((Time.now() == Reading(0s)));
  Wall.m_Error = -2s;
  BOOST_TEST((Time.now() == Reading(0s)));
  // Small differences are the age of readings: the own clock is used.
  Wall.m_Error = 100ms;
  BOOST_TEST((Time.now() == Reading(100ms)));
  // Old readings count no more.
  Wall.m_Error = -2s;
  Steady.advance(MajorityClock::ReadingLifetime);
  BOOST_TEST((Time.now() == Reading(-2s)));
}

BOOST_AUTO_TEST_CASE(RowsAreReadAsTheyWereWritten) {
  const UsageRow Row = {
      UsageWindow(9),
      {{UsageWindow(7), {{"a", 3}, {"b c", 4}}}, {UsageWindow(8), {}}}};
  BOOST_TEST((decodeUsageRow(encodeUsageRow(Row)) == Row));
}

BOOST_AUTO_TEST_CASE(UnreadableRowsAreErrors) {
  for (const char *Text :
       {"", "{", "[]", R"({"format":2,"next":1,"pending":[]})",
        R"({"format":1,"pending":[]})", R"({"format":1,"next":-1})",
        R"({"format":1,"next":"x","pending":[]})",
        R"({"format":1,"next":5,"pending":[{"window":5,"counts":{}}]})",
        R"({"format":1,"next":5,"pending":[{"window":4,"counts":{"a":"b"}}]})"})
    BOOST_CHECK_THROW(decodeUsageRow(Text), DutyRowError);
}

// Guards against a report that replaces the one of a row that this version
// can't read.
BOOST_AUTO_TEST_CASE(NothingIsReportedOnAnUnreadableRow) {
  Holder Holding(
      platform::Row{"usage", platform::RowVersion(1), R"({"format":9})"});
  Holding.advance(20s);
  BOOST_TEST(Holding.m_Platform.m_Reports.empty());
  BOOST_TEST(Holding.m_UsageRow.m_Writes == 0);
  BOOST_TEST(
      Holding.m_Stats
          .counter("crowstep_duty_rows_unreadable_total", {{"row", "usage"}})
          .value() > 0U);
}

BOOST_AUTO_TEST_CASE(AReportIsRepeatedUntilItsOutcomeIsCertain) {
  Holder Holding;
  Holding.m_Meter.recordBegun("a");
  Holding.advance(7s);
  const std::vector<UsageReport> &Reports = Holding.m_Platform.m_Reports;
  BOOST_REQUIRE(Reports.size() == 1U);
  for (const DutyOutcome Outcome :
       {DutyOutcome::Uncertain, DutyOutcome::Throttled,
        DutyOutcome::Unavailable}) {
    const std::size_t Before = Reports.size();
    Holding.m_Platform.m_Done(Outcome);
    Holding.advance(1500ms);
    BOOST_TEST(Reports.size() == Before + 1);
    BOOST_TEST((Reports.back() == Reports.front()));
  }
  Holding.m_Platform.m_Done(DutyOutcome::Accepted);
  Holding.advance(10s);
  BOOST_TEST((Reports.back().m_Window > Reports.front().m_Window));
}

// Guards against a holder whose calls are all rejected after the platform has
// seen a higher number from a store that was restored since.
BOOST_AUTO_TEST_CASE(ARejectedNumberIsRaised) {
  Holder Holding;
  const auto Before = Holding.m_Caller.fencing();
  Holding.advance(7s);
  BOOST_REQUIRE(Holding.m_Platform.m_Done);
  Holding.m_Platform.m_Done(DutyOutcome::Fenced);
  BOOST_TEST(!Holding.m_Caller.fencing().has_value());
  Holding.advance(2s);
  BOOST_TEST((Holding.m_Caller.fencing() > Before));
  BOOST_TEST(Holding.m_Platform.m_Reports.size() == 2U);
}

// Guards against a lease that is acquired although its row can't be read: the
// number could be one that was used.
BOOST_AUTO_TEST_CASE(AnUnreadableLeaseIsLeftAlone) {
  ManualClock Time;
  ManualScheduler Timers(Time);
  Metrics Stats;
  LeaseTable Table;
  Table.m_Row =
      platform::Row{"duties", platform::RowVersion(1), R"({"format":7})"};
  lease::LeaseClient Lease({"duties", "me", 3s, 300ms, 1s, false}, Time, Timers,
                           Table, Stats, [] {});
  Lease.setWanted(true);
  for (int I = 0; I < 200; ++I) {
    Timers.advance(50ms);
    Table.answer();
  }
  BOOST_TEST(!Lease.fencingFor(Duration::zero()).has_value());
  BOOST_TEST(Table.m_Row->m_Value == R"({"format":7})");
  BOOST_TEST(Stats.counter("crowstep_lease_rows_unreadable_total").value() ==
             1U);
}

// Guards against a window that is reported again, or never, since the store has
// forgotten the row that was written before the report.
BOOST_AUTO_TEST_CASE(ARestoreReportsEachWindowOnce) {
  Holder Test;
  Test.m_UsageRow.m_Era = platform::TableEra(1);
  std::optional<platform::Row> Copy;
  for (int Report = 0; Report < 4; ++Report) {
    Test.advance(Report == 0 ? 10s : 5s);
    BOOST_REQUIRE(Test.m_Platform.m_Done);
    std::exchange(Test.m_Platform.m_Done, {})(DutyOutcome::Accepted);
    if (Report == 0)
      Copy = Test.m_UsageRow.m_Row;
  }
  Test.m_UsageRow.m_Row = Copy;
  Test.m_UsageRow.m_Era = platform::TableEra(2);
  for (int Report = 0; Report < 3; ++Report) {
    Test.advance(5s);
    if (Test.m_Platform.m_Done)
      std::exchange(Test.m_Platform.m_Done, {})(DutyOutcome::Accepted);
  }
  std::set<UsageWindow> Windows;
  for (const UsageReport &Report : Test.m_Platform.m_Reports)
    BOOST_TEST(Windows.insert(Report.m_Window).second);
  BOOST_REQUIRE(Windows.size() >= 5U);
  BOOST_TEST(Windows.rbegin()->value() - Windows.begin()->value() + 1 ==
             Windows.size());
}

// Guards against an answer that was under way during a restore or a take-over
// and is taken for the present row.
BOOST_AUTO_TEST_CASE(AnswersOfAnEarlierEraOrTermAreNoState) {
  const ManualClock Time;
  Metrics Stats;
  LeaseTable Table;
  Table.m_Era = platform::TableEra(1);
  int States = 0;
  DutyRow Row("r", Time, Table, Stats,
              [&](const std::optional<std::string> &, RowUse) { ++States; });
  Row.setTerm(lease::FencingNumber(1));
  Row.load();
  Table.m_Era = platform::TableEra(2);
  Table.answer();
  BOOST_TEST(!Row.isKnown());
  Row.load();
  Row.setTerm(lease::FencingNumber(2));
  Table.answer();
  BOOST_TEST(!Row.isKnown());
  BOOST_TEST(States == 0);
  Row.load();
  Table.answer();
  BOOST_TEST(Row.isKnown());
  BOOST_TEST(States == 1);
  Row.write("{}");
  Table.m_Era = platform::TableEra(3);
  Table.answer();
  BOOST_TEST(!Row.isKnown());
  BOOST_TEST(States == 1);
}

// Guards against a window of a stored row whose end overflows, so that it
// counts as over.
BOOST_AUTO_TEST_CASE(AWindowFarAheadIsNotOver) {
  const ManualClock Steady;
  const FakeWallClock Wall{Steady};
  const MajorityClock Time{Wall, Steady};
  const UsageMeter Meter{{InstanceId(1), Incarnation(1)}, 5s, Time};
  for (const unsigned Bit : {42U, 50U, 62U})
    BOOST_TEST((Meter.timeSinceEnd(UsageWindow(std::uint64_t{1} << Bit)) <
                Duration::zero()));
}
