/// TableCore in simulated fleets with random faults.
#define BOOST_TEST_MODULE table_core
#include "table_fleet.h"

#include <boost/test/unit_test.hpp>
#include <iostream>
#include <rapidcheck/boost_test.h>

using namespace crowstep;
using namespace crowstep::contract;
using namespace std::chrono_literals;

namespace {

template <typename Outcome> bool endedWith(const SimChange &Change) {
  return Change.m_Outcome && std::holds_alternative<Outcome>(*Change.m_Outcome);
}

void randomFault(SimFleet &Fleet) {
  const auto Index =
      static_cast<std::size_t>(Fleet.draw(int(Fleet.m_Processes.size())));
  SimProcess &Process = Fleet.m_Processes[Index];
  switch (Fleet.draw(9)) {
  case 0:
    Fleet.m_Store.m_IsUp = Fleet.draw(4) != 0;
    break;
  case 1:
    Process.m_ReachesStore = Fleet.draw(4) != 0;
    break;
  case 2:
  case 3:
    Fleet.moveToPartition(Index, Fleet.draw(3) == 0 ? 1 : 0);
    break;
  case 4:
    if (Process.m_Core)
      Fleet.kill(Index);
    break;
  case 5:
    if (Process.m_Core)
      Process.m_IsFrozen = true;
    break;
  case 6:
    Fleet.m_LossPercent = Fleet.draw(2) * 40;
    break;
  default:
    for (std::size_t Other = 0; Other < Fleet.m_Processes.size(); ++Other)
      Fleet.restore(Other);
  }
}

/// Requests a change at a random instance; often two are open at once.
void randomChange(SimFleet &Fleet) {
  const auto Index =
      static_cast<std::size_t>(Fleet.draw(int(Fleet.m_Processes.size())));
  if (Fleet.m_Processes[Index].m_Core && !Fleet.m_Processes[Index].m_IsFrozen)
    Fleet.change(Index, std::nullopt);
}

/// Checks that no two changes were committed on one base version, and that no
/// reported outcome contradicts the row.
void checkReports(SimFleet &Fleet) {
  std::map<TableVersion, std::size_t> Committed;
  for (const SimChange &Change : Fleet.m_Changes) {
    const bool InRow = Fleet.m_Store.m_Operators.contains(Change.m_Operator);
    if (endedWith<ChangeAccepted>(Change) || endedWith<ChangePending>(Change)) {
      RC_ASSERT(InRow);
      RC_ASSERT(++Committed[Change.m_BaseVersion] == 1U);
    }
    if (endedWith<ChangeConflict>(Change))
      RC_ASSERT(!InRow);
    if (endedWith<ChangeUnavailable>(Change) &&
        !std::get<ChangeUnavailable>(*Change.m_Outcome).m_MayHaveCommitted)
      RC_ASSERT(!InRow);
  }
}

} // namespace

/// Instances are killed, frozen and partitioned, and the table service goes
/// down and loses answers, while operators change the table. In any order of
/// these: no instance returns to a lower version, none serves a version below
/// an accepted one, no reported outcome is wrong; and after the faults end, all
/// instances serve the same table.
RC_BOOST_PROP(AcceptedChangesHoldEverywhere, (std::uint64_t Seed)) {
  std::mt19937_64 Sizes(Seed);
  SimFleet Fleet(2 + Sizes() % 4, Seed);
  // Safety must not depend on the membership, which may remove live members.
  Fleet.m_DeathTimeout = milliseconds(Fleet.draw(2700));
  Fleet.run(seconds(8));
  for (int Step = 0; Step < 60; ++Step) {
    randomFault(Fleet);
    for (int Remaining = Fleet.draw(3); Remaining > 0; --Remaining)
      randomChange(Fleet);
    Fleet.run(milliseconds(Fleet.draw(Fleet.draw(3) == 0 ? 3000 : 300)));
  }
  Fleet.heal();
  Fleet.run(seconds(20));
  RC_ASSERT(Fleet.m_Violations == std::vector<std::string>());
  const std::size_t LastChange = Fleet.change(0, std::nullopt);
  Fleet.run(seconds(10));
  RC_ASSERT(Fleet.m_Violations == std::vector<std::string>());
  checkReports(Fleet);
  RC_ASSERT(endedWith<ChangeAccepted>(Fleet.m_Changes[LastChange]));
  for (std::size_t Index = 0; Index < Fleet.m_Processes.size(); ++Index) {
    RC_ASSERT(Fleet.serves(Index));
    RC_ASSERT(Fleet.core(Index).document() == Fleet.core(0).document());
  }
}

namespace {

/// Returns the outcome of the change in \p Actions, if it has one.
std::optional<ChangeOutcome> outcomeIn(const TableActions &Actions) {
  for (const TableAction &Action : Actions)
    if (const auto *Finished = std::get_if<FinishChange>(&Action))
      return Finished->m_Outcome;
  return std::nullopt;
}

} // namespace

// Guards against a change that ends as unavailable because of a read that
// failed and was sent before the change was requested.
BOOST_AUTO_TEST_CASE(AnEarlierFailedReadEndsNoChange) {
  const TimePoint Start{100s};
  TableKeeperConfig Config;
  Config.m_Name = "a";
  TableCore Core(Config, "p", Start);
  Core.handle(Start + 1s, ChangeRequested{ChangeId(1), {}, {}, "op", ""});
  const TableActions Earlier =
      Core.handle(Start + 1100ms, StoreReadFailed{Start + 900ms});
  BOOST_TEST(!outcomeIn(Earlier).has_value());
  const TableActions Own =
      Core.handle(Start + 1200ms, StoreReadFailed{Start + 1s});
  BOOST_REQUIRE(outcomeIn(Own).has_value());
  BOOST_TEST(std::holds_alternative<ChangeUnavailable>(*outcomeIn(Own)));
}
