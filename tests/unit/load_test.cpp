/// Tests of the load tool: the same seed gives the same requests, arrivals
/// follow the rates, an incomplete or foreign answer is detected, and the
/// measurements and the example experiments are right.
#define BOOST_TEST_MODULE load
#include "load/answer_check.h"
#include "load/arrivals.h"
#include "load/load_error.h"
#include "load/recorder.h"
#include "load/report.h"
#include "load/token_text.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <unistd.h>

using namespace crowstep;
using namespace crowstep::load;
using namespace std::chrono_literals;

namespace {

Experiment makePlan(double Rate) {
  Experiment Plan;
  Plan.m_Name = "plan";
  Plan.m_Measured = 100s;
  Plan.m_Workspaces = {{"large", 9}, {"small", 1}};
  Source Guide;
  Guide.m_Name = "guide";
  Guide.m_Rate = Rate;
  Guide.m_PromptSize = {100, 0.5, 1000};
  Guide.m_AnswerTokens = {10, 0.5, 100};
  Guide.m_FirstTokenTarget = 100ms;
  Guide.m_TokenTarget = 20ms;
  Plan.m_Sources = {Guide};
  return Plan;
}

std::vector<PlannedCall> allCalls(const Experiment &Plan) {
  std::vector<PlannedCall> Result;
  Arrivals Sequence(Plan);
  while (Sequence.nextTime())
    Result.push_back(Sequence.takeNext());
  return Result;
}

std::string event(std::uint64_t Index, const std::string &Prompt) {
  return R"(data: {"choices":[{"delta":{"content":")" +
         tokenText(Index, promptHashOf(Prompt)) + "\"}}]}\n\n";
}

std::string endEvents(int Tokens) {
  return R"(data: {"choices":[{"delta":{}}],"usage":{"completion_tokens":)" +
         std::to_string(Tokens) + "}}\n\ndata: [DONE]\n\n";
}

CallOutcome outcome(CallEnd End, Duration First, Duration Gap) {
  CallOutcome Result;
  Result.m_End = End;
  Result.m_TimeToFirstToken = First;
  Result.m_Tokens = 2;
  Result.m_TokenGaps = {Gap};
  return Result;
}

} // namespace

BOOST_AUTO_TEST_CASE(SameSeedGivesTheSameRequests) {
  const Experiment Plan = makePlan(20);
  const auto First = allCalls(Plan);
  const auto Second = allCalls(Plan);
  BOOST_TEST(First.size() == Second.size());
  for (std::size_t Index = 0; Index < First.size(); ++Index) {
    BOOST_TEST((First[Index].m_DueTime == Second[Index].m_DueTime));
    BOOST_TEST(First[Index].m_Body == Second[Index].m_Body);
  }
}

BOOST_AUTO_TEST_CASE(ArrivalsFollowRatesPhasesAndShares) {
  Experiment Plan = makePlan(20);
  Plan.m_Phases = {{0, 50s, 100s, 3}};
  double Before = 0;
  double During = 0;
  double Large = 0;
  for (const PlannedCall &Call : allCalls(Plan)) {
    (Call.m_DueTime < 50s ? Before : During) += 1;
    Large += Call.m_Workspace == 0 ? 1 : 0;
  }
  // 1,000 and 3,000 arrivals are expected; the bounds are five standard
  // deviations.
  BOOST_TEST(std::abs(Before - 1000) < 160);
  BOOST_TEST(std::abs(During - 3000) < 275);
  BOOST_TEST(std::abs(Large / (Before + During) - 0.9) < 0.03);
}

BOOST_AUTO_TEST_CASE(WholeAnswerMayComeInAnyPieces) {
  const std::string Text = event(0, "mine") + event(1, "mine") + endEvents(2);
  for (const std::size_t PieceSize : {1U, 7U, 1000U}) {
    AnswerCheck Check("mine", true);
    for (std::size_t At = 0; At < Text.size(); At += PieceSize)
      Check.feed(std::string_view(Text).substr(At, PieceSize));
    BOOST_TEST(Check.isComplete());
    BOOST_TEST(!Check.isWrong());
  }
}

BOOST_AUTO_TEST_CASE(ForeignDoubledMissingAndCutAnswersAreSeen) {
  AnswerCheck Foreign("mine", true);
  Foreign.feed(event(0, "other"));
  BOOST_TEST(Foreign.isWrong());
  AnswerCheck Doubled("mine", true);
  Doubled.feed(event(0, "mine") + event(0, "mine"));
  BOOST_TEST(Doubled.isWrong());
  AnswerCheck Missing("mine", true);
  Missing.feed(event(0, "mine") + event(2, "mine"));
  BOOST_TEST(Missing.isWrong());
  AnswerCheck Cut("mine", true);
  Cut.feed(event(0, "mine"));
  BOOST_TEST(!Cut.isComplete());
  AnswerCheck Short("mine", true);
  Short.feed(event(0, "mine") + endEvents(2));
  BOOST_TEST(!Short.isComplete());
  AnswerCheck Typed("mine", true);
  Typed.feed("data: {\"error\":{\"code\":\"upstream_failed\"}}\n\n");
  BOOST_TEST(Typed.errorCode() == "upstream_failed");
  BOOST_TEST(!Typed.isComplete());
}

BOOST_AUTO_TEST_CASE(AttainmentNeedsBothTargetsAndAWholeAnswer) {
  const Experiment Plan = makePlan(1);
  Recorder Sums(Plan);
  Sums.add(outcome(CallEnd::Whole, 100ms, 20ms));
  Sums.add(outcome(CallEnd::Whole, 101ms, 20ms));
  Sums.add(outcome(CallEnd::Whole, 100ms, 21ms));
  Sums.add(outcome(CallEnd::Cut, 1ms, 1ms));
  const RunResult Result = Sums.result("policy");
  const SourceResult &Guide = Result.m_Sources.at(0);
  BOOST_TEST(Guide.m_Sent == 4U);
  BOOST_TEST(Guide.m_FirstInTarget == 2U);
  BOOST_TEST(Guide.m_TokenInTarget == 2U);
  BOOST_TEST(Guide.m_Good == 1U);
  BOOST_TEST(Sums.deliveredTokens() == 8U);
  BOOST_TEST(toJson(resultFromJson(toJson(Result))) == toJson(Result));
  BOOST_TEST(markdownReport({Result}).find("| guide | policy | 4 |") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(ExamplesOfBothDeploymentsAreValid) {
  BOOST_CHECK_EQUAL(chdir(CROWSTEP_SOURCE_DIR), 0);
  int Count = 0;
  for (const auto &Example :
       std::filesystem::recursive_directory_iterator("examples/experiments")) {
    const std::filesystem::path Base =
        Example.path().parent_path() / "base.ini";
    if (Example.path().extension() != ".ini" || Example.path() == Base)
      continue;
    Settings File =
        readMergedSettings({Base.string(), Example.path().string()});
    BOOST_TEST(!readExperiment(File).m_Sources.empty());
    BOOST_CHECK_NO_THROW(File.rejectUnknown());
    ++Count;
  }
  BOOST_TEST(Count > 0);
  Settings Unknown = Settings::parse(
      "[experiment]\nname=x\nseed=1\nwarm_up_ms=0\nmeasured_ms=1\n"
      "table=examples/kilimanjaro/table.csv\n[workspaces]\nnames=a\n"
      "[source-nothing]\nrate=1\n",
      "x.ini");
  BOOST_CHECK_THROW(readExperiment(Unknown), ExperimentError);
}
