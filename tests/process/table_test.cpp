/// An accepted change of the table is in force everywhere and never reverts.
#define BOOST_TEST_MODULE table
#include "process/fleet.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

constexpr const char *OperatorKey = "operator-key";

/// Returns the table version in force at the dispatcher of \p Instance, or 0.
std::uint64_t tableVersionAt(Fleet &TestFleet, const TestInstance &Instance) {
  const nlohmann::json Status = TestFleet.caller().json(
      "GET", Instance.m_AdminAddress, "/v1/status", nullptr, OperatorKey);
  return Status.is_object() ? Status.value("table_version", 0U) : 0;
}

std::string tableCsvAt(Fleet &TestFleet, const TestInstance &Instance) {
  Call Request;
  Request.m_Method = "GET";
  Request.m_Address = Instance.m_AdminAddress;
  Request.m_Path = "/v1/table";
  Request.m_Headers["Authorization"] = std::string("Bearer ") + OperatorKey;
  return TestFleet.caller().call(Request).m_Body;
}

/// Returns whether the table in force at the dispatcher of \p Instance has a
/// max_tokens of \p Tokens. Comparing versions is not enough: they also grow
/// when the instances that confirm a version are replaced.
bool hasMaxTokens(Fleet &TestFleet, const TestInstance &Instance, int Tokens) {
  return tableCsvAt(TestFleet, Instance)
             .find("," + std::to_string(Tokens) + ",") != std::string::npos;
}

Call changeCall(const TestInstance &Instance, const std::string &Csv,
                std::uint64_t BaseVersion) {
  Call Change;
  Change.m_Method = "PUT";
  Change.m_Address = Instance.m_AdminAddress;
  Change.m_Path = "/v1/table";
  Change.m_Body = Csv;
  Change.m_Headers = {{"Authorization", std::string("Bearer ") + OperatorKey},
                      {"If-Match", std::to_string(BaseVersion)}};
  return Change;
}

/// Returns \p Csv with every max_tokens of 2000 set to \p Tokens.
std::string withMaxTokens(const std::string &Csv, int Tokens) {
  std::string Result = Csv;
  const std::string Old = ",2000,";
  for (std::size_t Position = Result.find(Old); Position != std::string::npos;
       Position = Result.find(Old, Position + 1))
    Result.replace(Position, Old.size(), "," + std::to_string(Tokens) + ",");
  return Result;
}

} // namespace

// An operator lowers max_tokens. Once the change is accepted, every entry
// applies the new limit; an instance that restarts while the table service is
// down has it too.
BOOST_AUTO_TEST_CASE(AcceptedIsInForceAtEveryEntryAndStays) {
  Fleet TestFleet({});
  TestFleet.start();
  const TestInstance &First = TestFleet.instances()[0];
  const std::uint64_t BaseVersion = tableVersionAt(TestFleet, First);
  const std::string Csv = withMaxTokens(tableCsvAt(TestFleet, First), 7);
  const CallResult Answer =
      TestFleet.caller().call(changeCall(First, Csv, BaseVersion));
  BOOST_REQUIRE(Answer.m_Status == 200U);
  for (std::size_t Index = 0; Index < 3; ++Index) {
    const CallResult Guide =
        TestFleet.caller().call(TestFleet.chatCall(Index, "guide", 30, false));
    BOOST_TEST(!isCompleteAnswer(Guide.completionText(), 30),
               "the old table is still in force");
  }
  TestFleet.setPlatformFault("tables", "refuse");
  TestFleet.instances()[1].m_Dispatcher->kill();
  TestFleet.instances()[1].m_Entry->kill();
  TestFleet.startInstance(1);
  BOOST_TEST(TestFleet.waitUntilReady(1, 15s),
             "did not learn the table from its peers");
  BOOST_TEST(hasMaxTokens(TestFleet, TestFleet.instances()[1], 7));
  TestFleet.setPlatformFault("tables", "none");
}

// Two operators change the same version at two instances: one change is
// accepted, the other is answered with a conflict and the difference.
BOOST_AUTO_TEST_CASE(RacingOperatorsGetOneWinner) {
  Fleet TestFleet({});
  TestFleet.start();
  const std::uint64_t BaseVersion =
      tableVersionAt(TestFleet, TestFleet.instances()[0]);
  const std::string Csv = tableCsvAt(TestFleet, TestFleet.instances()[0]);
  const auto FirstAnswer = TestFleet.caller().start(changeCall(
      TestFleet.instances()[0], withMaxTokens(Csv, 11), BaseVersion));
  const auto SecondAnswer = TestFleet.caller().start(changeCall(
      TestFleet.instances()[1], withMaxTokens(Csv, 12), BaseVersion));
  BOOST_TEST(runUntil(
      [&] { return FirstAnswer->m_Ended && SecondAnswer->m_Ended; }, 20s));
  const unsigned Statuses = FirstAnswer->m_Status + SecondAnswer->m_Status;
  BOOST_TEST(Statuses == 200U + 409U,
             FirstAnswer->m_Body << SecondAnswer->m_Body);
  const CallResult &Loser =
      FirstAnswer->m_Status == 409 ? *FirstAnswer : *SecondAnswer;
  const auto Outcome = nlohmann::json::parse(Loser.m_Body);
  BOOST_TEST(Outcome.at("outcome") == "conflict");
  BOOST_TEST(Outcome.at("version").get<std::uint64_t>() > BaseVersion);
  BOOST_TEST(Outcome.at("difference").dump().find("max_tokens") !=
             std::string::npos);
  const int WinningTokens = FirstAnswer->m_Status == 200 ? 11 : 12;
  for (const TestInstance &Instance : TestFleet.instances())
    BOOST_TEST(hasMaxTokens(TestFleet, Instance, WinningTokens));
}

// The commit takes effect but its answer is lost: the operator is answered
// that it succeeded or may have committed, and the version is in force.
BOOST_AUTO_TEST_CASE(LostAnswerToACommitIsResolved) {
  Fleet TestFleet({});
  TestFleet.start();
  const std::uint64_t BaseVersion =
      tableVersionAt(TestFleet, TestFleet.instances()[0]);
  const std::string Csv = tableCsvAt(TestFleet, TestFleet.instances()[0]);
  TestFleet.setPlatformFault("table_writes", "drop_answer", 0, 2);
  const CallResult Answer = TestFleet.caller().call(
      changeCall(TestFleet.instances()[0], withMaxTokens(Csv, 9), BaseVersion));
  TestFleet.setPlatformFault("table_writes", "none");
  BOOST_TEST(
      (Answer.m_Status == 200 ||
       Answer.m_Body.find("\"may_have_committed\": true") != std::string::npos),
      Answer.m_Body);
  BOOST_TEST(runUntil(
      [&] { return hasMaxTokens(TestFleet, TestFleet.instances()[2], 9); },
      10s));
}

// An invalid cell is refused with the name of its column, and the table in
// force does not change.
BOOST_AUTO_TEST_CASE(BadCellIsNamedAndNothingChanges) {
  Fleet TestFleet({});
  TestFleet.start();
  const std::uint64_t BaseVersion =
      tableVersionAt(TestFleet, TestFleet.instances()[0]);
  const std::string Csv =
      withMaxTokens(tableCsvAt(TestFleet, TestFleet.instances()[0]), -5);
  const CallResult Answer = TestFleet.caller().call(
      changeCall(TestFleet.instances()[0], Csv, BaseVersion));
  BOOST_TEST(Answer.m_Status == 422U);
  BOOST_TEST(Answer.m_Body.find("max_tokens") != std::string::npos);
  BOOST_TEST(hasMaxTokens(TestFleet, TestFleet.instances()[0], 2000));
}
