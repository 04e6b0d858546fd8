/// The safety rules of TableCore, one by one: a failure that a rule prevents is
/// too rare to be found by random schedules.
#define BOOST_TEST_MODULE table_safety
#include "contract/table_commit.h"
#include "table_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::contract;

namespace {

const Voters Three = {"x", "y", "z"};

TableDocument documentOf(std::uint64_t Version) {
  TableDocument Result = decodeDocument(SimFleet::firstTable());
  Result.m_Table.m_Version = Result.m_EditedVersion = TableVersion(Version);
  Result.m_Voters = Three;
  return Result;
}

/// A single core of instance x; the test sends its events.
struct SingleCore {
  SingleCore() {
    TableKeeperConfig Config;
    Config.m_Name = "x";
    Config.m_Incarnation = Incarnation(7);
    Config.m_RightDuration = milliseconds(1500);
    m_Core = std::make_unique<TableCore>(Config, "c", m_Now);
    send(PeerUp{link::LinkId(1), instanceIdOf("y"), false});
    send(DocumentReceived{link::LinkId(1), documentOf(3)});
  }
  TableActions send(const TableEvent &Event) {
    TableActions Out = m_Core->handle(m_Now, Event);
    for (const TableAction &Action : Out)
      if (const auto *Probe = std::get_if<SendProbe>(&Action))
        m_Probe = Probe->m_Sequence;
    return Out;
  }
  /// Answers the last probe with confirmations by \p Names, all of age \p Age.
  void answer(const Voters &Names, Duration Age, std::uint64_t Version = 3) {
    ProbeAnswer Answer{m_Probe, TableVersion(Version), {}, {}};
    for (const std::string &Name : Names)
      Answer.m_Confirmations.push_back(
          {instanceIdOf(Name), Incarnation(1), TableVersion(Version), Age});
    send(ProbeAnswerReceived{link::LinkId(1), Answer});
  }
  void pass(Duration Span) {
    m_Now += Span;
    send(Tick());
  }
  [[nodiscard]] bool serves() const { return m_Core->rightToServe(m_Now); }

  TimePoint m_Now{seconds(100)};     ///< Advanced by pass().
  std::unique_ptr<TableCore> m_Core; ///< Under test.
  std::uint64_t m_Probe = 0;         ///< Sequence number of the last one sent.
};

bool accepted(const SimFleet &Fleet, std::size_t Id) {
  const auto &Outcome = Fleet.m_Changes[Id].m_Outcome;
  return Outcome && std::holds_alternative<ChangeAccepted>(*Outcome);
}

} // namespace

/// An instance is cut off just before a change, and the others remove it from
/// the membership at once. If they accepted the change before its right to
/// serve expired, it would serve requests by the old table after the
/// acceptance.
BOOST_AUTO_TEST_CASE(AcceptanceWaitsForRightsToExpire) {
  SimFleet Fleet(4, 5);
  Fleet.run(seconds(12));
  Fleet.m_DeathTimeout = Duration::zero();
  Fleet.moveToPartition(0, 1);
  Fleet.m_Processes[0].m_ReachesStore = false;
  BOOST_TEST(Fleet.serves(0));
  const std::size_t Id = Fleet.change(1, std::nullopt);
  Fleet.run(seconds(6));
  BOOST_TEST(accepted(Fleet, Id));
  BOOST_TEST(Fleet.m_Violations.empty());
  BOOST_TEST(!Fleet.serves(0));
}

/// A majority of the fleet is cut off from the table service and the rest. It
/// continues to serve, so that the change must be reported as pending.
BOOST_AUTO_TEST_CASE(NoAcceptanceAgainstAMajorityThatServes) {
  SimFleet Fleet(5, 6);
  Fleet.m_SlowPercent = 0; // Stalled links may let rights expire.
  Fleet.run(seconds(12));
  for (const std::size_t Index : {0U, 1U, 2U}) {
    Fleet.moveToPartition(Index, 1);
    Fleet.m_Processes[Index].m_ReachesStore = false;
  }
  const std::size_t Id = Fleet.change(4, std::nullopt);
  for (int Second = 0; Second < 15; ++Second) {
    Fleet.run(seconds(1));
    for (const std::size_t Index : {0U, 1U, 2U})
      BOOST_TEST(Fleet.serves(Index));
  }
  BOOST_TEST(
      std::holds_alternative<ChangePending>(*Fleet.m_Changes[Id].m_Outcome));
  BOOST_TEST(Fleet.m_Violations.empty());
}

/// y confirms version 4, restarts with 3 and confirms 3 for an instance that
/// serves 3; then z confirms 4. Two of three held 4, but never at the same
/// time, and 3 is still in use.
BOOST_AUTO_TEST_CASE(AMajorityMustHoldAtTheSameTime) {
  const TimePoint Start{seconds(10)};
  const auto At = [&](int Second) { return Start + seconds(Second); };
  SettleWatch Watch(TableVersion(4), {Three}, Start, seconds(2));
  ConfirmationTable Known;
  const auto Confirm = [&](const char *Name, std::uint64_t Incarnate,
                           std::uint64_t Version, int Second) {
    Known.add(instanceIdOf(Name),
              {Incarnation(Incarnate), TableVersion(Version), At(Second)});
    Watch.update(Known, {}, At(Second));
  };
  Confirm("y", 1, 4, 1);
  Confirm("y", 2, 3, 2);
  Confirm("z", 1, 4, 3);
  Confirm("z", 1, 4, 9);
  BOOST_TEST(!Watch.isSettled());
  Confirm("x", 1, 4, 10);
  Confirm("z", 1, 4, 11);
  BOOST_TEST(!Watch.isSettled()); // The expiry delay has not passed.
  Confirm("x", 1, 4, 13);
  BOOST_TEST(Watch.isSettled());
}

/// If removed voters counted, a fleet that is replaced under new names would
/// wait for its old voters for ever.
BOOST_AUTO_TEST_CASE(RemovedVotersDoNotCount) {
  SettleWatch Watch(TableVersion(4), {Three}, TimePoint(), seconds(2));
  Watch.update({}, {"x", "y"}, TimePoint(seconds(9)));
  BOOST_TEST(!Watch.isSettled());
  Watch.update({}, {"x", "y", "z"}, TimePoint(seconds(10)));
  Watch.update({}, {"x", "y", "z"}, TimePoint(seconds(13)));
  BOOST_TEST(Watch.isSettled());
}

/// Version 5 is committed while 3 may still be in use. An instance that uses 3
/// relies on the voters of 3: if they were not in the quorums of 5, it could be
/// settled by other voters.
BOOST_AUTO_TEST_CASE(VotersOfUnsettledVersionsAreKept) {
  const TableDocument Third = documentOf(3);
  const ChangeRequested Asked{ChangeId(), SimFleet::rows(9), TableVersion(3),
                              "", ""};
  const TableDocument Fourth =
      documentWithNewRows(Third, Asked, {"a", true, {"p", "q"}});
  BOOST_CHECK(Fourth.m_Quorums == std::vector<Voters>{Three});
  BOOST_CHECK(Fourth.m_Voters == (Voters{"p", "q"}));
  const TableDocument Fifth =
      documentWithNewRows(Fourth, Asked, {"b", false, {"r"}});
  BOOST_CHECK(Fifth.m_Quorums == (std::vector<Voters>{Three, {"p", "q"}}));
  BOOST_CHECK(Fifth.m_Voters == (Voters{"p", "q"}));
  const TableDocument Sixth = documentWithNewVoters(Fifth, {"c", true, {"r"}});
  BOOST_CHECK(Sixth.m_Quorums == (std::vector<Voters>{{"p", "q"}}));
  BOOST_TEST(Sixth.m_EditedVersion.value() == Fifth.version().value());
}

/// A process that was frozen reads old answers from its socket. If their age
/// did not count, they would renew a right to serve that expired meanwhile.
BOOST_AUTO_TEST_CASE(OldAnswersRenewNothing) {
  SingleCore Single;
  Single.answer({"y", "z"}, Duration::zero());
  BOOST_TEST(Single.serves());
  Single.pass(seconds(1));
  const std::uint64_t Old = Single.m_Probe;
  Single.m_Now += seconds(5);
  BOOST_TEST(!Single.serves());
  Single.m_Probe = Old;
  Single.answer({"y", "z"}, Duration::zero());
  BOOST_TEST(!Single.serves());
  Single.pass(seconds(1));
  Single.answer({"y"}, milliseconds(1400)); // x and y are two of three.
  BOOST_TEST(Single.serves());
  Single.m_Now += milliseconds(101);
  BOOST_TEST(!Single.serves());
}

/// A confirmation of a higher version must not support the right to serve by a
/// lower one.
BOOST_AUTO_TEST_CASE(ConfirmationsOfHigherVersionsDoNotCount) {
  SingleCore Single;
  Single.answer({"y", "z"}, Duration::zero());
  Single.pass(seconds(2));
  Single.answer({"y", "z"}, Duration::zero(), 4);
  BOOST_TEST(!Single.serves());
}

/// An instance that restarts during an outage of the table service gets the
/// table from a peer, which may be cut off with an old version. Only
/// confirmations by a majority of the voters show that nothing newer was
/// accepted.
BOOST_AUTO_TEST_CASE(ARestartedInstanceCatchesUpFirst) {
  SingleCore Single;
  BOOST_TEST(!Single.m_Core->hasCaughtUp());
  Single.answer({"y"}, Duration::zero());
  BOOST_TEST(!Single.m_Core->hasCaughtUp());
  BOOST_TEST(!Single.serves());
  Single.pass(seconds(1));
  Single.answer({"y", "z"}, seconds(2)); // Older than the process.
  BOOST_TEST(!Single.m_Core->hasCaughtUp());
  Single.pass(seconds(1));
  Single.answer({"y", "z"}, Duration::zero());
  BOOST_TEST(Single.m_Core->hasCaughtUp());
  BOOST_TEST(Single.serves());
}

/// The table service is down for a minute. All instances continue to serve; one
/// that is restarted gets the table from the others and serves again.
BOOST_AUTO_TEST_CASE(AnOutageStopsNeitherServiceNorRestarts) {
  SimFleet Fleet(5, 8);
  Fleet.m_SlowPercent = 0; // Stalled links may let rights expire.
  Fleet.run(seconds(12));
  Fleet.m_Store.m_IsUp = false;
  const std::size_t Before = Fleet.m_Reads;
  for (int Second = 0; Second < 60; ++Second) {
    Fleet.run(seconds(1));
    if (Second == 20)
      Fleet.kill(2);
    if (Second == 25)
      Fleet.start(2);
    for (const std::size_t Index : {0U, 1U, 3U, 4U})
      BOOST_TEST(Fleet.serves(Index));
  }
  BOOST_TEST(Fleet.serves(2));
  // After failures, each instance reads only about once in 4 s.
  BOOST_TEST(Fleet.m_Reads - Before < 5U * 60U / 3U);
}

/// The platform restores its table service to an older state. The version in
/// force stays and is written to the row again, and changes become possible.
BOOST_AUTO_TEST_CASE(ARestoredTableServiceRevertsNothing) {
  SimFleet Fleet(3, 9);
  Fleet.run(seconds(12));
  const std::size_t First = Fleet.change(0, std::nullopt);
  Fleet.run(seconds(6));
  BOOST_TEST(accepted(Fleet, First));
  const TableVersion Held = Fleet.core(0).document().version();
  Fleet.m_Store.m_Row = {"current", platform::RowVersion(1),
                         SimFleet::firstTable()};
  const std::size_t Refused = Fleet.change(1, std::nullopt);
  Fleet.run(milliseconds(700));
  BOOST_CHECK(std::holds_alternative<ChangeUnavailable>(
      *Fleet.m_Changes[Refused].m_Outcome));
  Fleet.run(seconds(5));
  BOOST_CHECK(Fleet.core(0).document().version() >= Held);
  BOOST_CHECK(decodeDocument(Fleet.m_Store.m_Row->m_Value).version() >= Held);
  const std::size_t Second = Fleet.change(1, std::nullopt);
  Fleet.run(seconds(6));
  BOOST_TEST(accepted(Fleet, Second));
  BOOST_TEST(Fleet.m_Violations.empty());
}

/// Instances that start at the same time must not all read at the same time.
BOOST_AUTO_TEST_CASE(ReadsAreSpreadAndBounded) {
  SimFleet Fleet(9, 10);
  Fleet.run(seconds(1));
  BOOST_TEST(Fleet.m_Reads <= 18U);
  const std::size_t Before = Fleet.m_Reads;
  Fleet.run(seconds(20));
  BOOST_TEST_MESSAGE("reads in 20 s by 9 instances: " << Fleet.m_Reads -
                                                             Before);
  BOOST_TEST(Fleet.m_Reads - Before <= 9U * 20U);
}
