/// The platform's interfaces for duties and its store as a table service, with
/// answers of all kinds.
#define BOOST_TEST_MODULE duty_client
#include "duty_client.h"
#include "store_tables.h"

#include "core/base64.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace crowstep;
using namespace crowstep::adapter;
using namespace std::chrono_literals;
using duty::DutyOutcome;

namespace {

/// Records a call and gives the prepared answer.
class FakeHttp final : public HttpClientInterface {
public:
  struct State {
    HttpCall m_Call;                               ///< The last one.
    HttpResult m_Next = HttpAnswer{200, "{}", {}}; ///< Given to the next one.
  };
  explicit FakeHttp(State &Shared) : m_State(Shared) {}
  void call(const HttpCall &Call, Done OnDone) override {
    m_State.m_Call = Call;
    OnDone(m_State.m_Next);
  }

private:
  State &m_State; ///< Of the test.
};

std::string rowsText(const std::string &Key, const std::string &Value) {
  const nlohmann::json Row = {{"table", "t"},
                              {"part", ""},
                              {"key", Key},
                              {"value", base64Encoded(Value)},
                              {"schemaVersion", 7}};
  nlohmann::json Result = {{"schemaVersion", 9}};
  Result["rows"] = nlohmann::json::array();
  Result["rows"].push_back(Row);
  return Result.dump();
}

struct Fixture {
  FakeHttp::State m_Http;
  Metrics m_Stats;
  DutyClient m_Duties{std::make_unique<FakeHttp>(m_Http), {1, 2}, m_Stats};
  StoreTables m_Tables{std::make_unique<FakeHttp>(m_Http), {1, 2}, m_Stats};

  DutyOutcome report(const HttpResult &Answer) {
    m_Http.m_Next = Answer;
    DutyOutcome Result{};
    m_Duties.reportUsage(call(), {duty::UsageWindow(5), {{"w", 3}}},
                         [&](DutyOutcome Outcome) { Result = Outcome; });
    return Result;
  }
  DutyOutcome order(const HttpResult &Answer) {
    m_Http.m_Next = Answer;
    DutyOutcome Result{};
    m_Duties.orderCapacity(call(), {"s", {"z"}, true, 4},
                           [&](DutyOutcome Outcome) { Result = Outcome; });
    return Result;
  }
  static duty::DutyCall call() {
    return {"edge-1", lease::FencingNumber(12), 800ms, [] { return true; }};
  }
  platform::WriteResult write(const HttpResult &Answer) {
    m_Http.m_Next = Answer;
    platform::WriteResult Result = platform::PlatformFailure::Refused;
    m_Tables.write("t", {{"k", platform::RowVersion(3), "v"}},
                   [&](const platform::WriteResult &Given) { Result = Given; });
    return Result;
  }
  platform::ReadResult read(const HttpResult &Answer) {
    m_Http.m_Next = Answer;
    platform::ReadResult Result = platform::PlatformFailure::Refused;
    m_Tables.read("t", "k",
                  [&](const platform::ReadResult &Given) { Result = Given; });
    return Result;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(CallsCarryTheHolderAndItsNumber, Fixture) {
  BOOST_TEST((report(HttpAnswer{200, "", {}}) == DutyOutcome::Accepted));
  BOOST_TEST(m_Http.m_Call.m_Path == "/usage");
  BOOST_TEST(*findHeader(m_Http.m_Call.m_Headers, "X-Duty-Holder") == "edge-1");
  BOOST_TEST(*findHeader(m_Http.m_Call.m_Headers, "X-Fencing-Token") == "12");
  BOOST_TEST(m_Http.m_Call.m_Body == R"({"counts":{"w":3},"windowNumber":5})");
  BOOST_TEST((order(HttpAnswer{200, "", {}}) == DutyOutcome::Accepted));
  BOOST_TEST(m_Http.m_Call.m_Path == "/scaling");
  BOOST_TEST(m_Http.m_Call.m_Body ==
             R"({"desiredCount":4,"service":"s","spot":true,"zone":"z"})");
}

// Guards against an answer that is taken for an acceptance or a rejection
// although it proves neither.
BOOST_FIXTURE_TEST_CASE(OnlyClearAnswersAreCertain, Fixture) {
  BOOST_TEST((report(HttpAnswer{429, "", {}}) == DutyOutcome::Throttled));
  BOOST_TEST((report(HttpAnswer{409, "", {}}) == DutyOutcome::Fenced));
  BOOST_TEST((order(HttpAnswer{409, "", {}}) == DutyOutcome::Unavailable));
  BOOST_TEST((report(HttpAnswer{400, "", {}}) == DutyOutcome::Rejected));
  for (const unsigned Status : {0U, 101U, 204U, 302U, 500U, 503U})
    BOOST_TEST((report(HttpAnswer{Status, "", {}}) == DutyOutcome::Uncertain));
  for (const HttpFailure Failure :
       {HttpFailure::NotSent, HttpFailure::NoAnswer, HttpFailure::TimedOut})
    BOOST_TEST((report(Failure) == DutyOutcome::Uncertain));
}

BOOST_FIXTURE_TEST_CASE(AWriteTellsTheRowsVersion, Fixture) {
  const auto Result = write(HttpAnswer{200, R"({"schemaVersion":8})", {}});
  const auto &Outcome =
      std::get<std::vector<platform::RowOutcome>>(Result).at(0);
  BOOST_TEST(Outcome.m_Written);
  BOOST_TEST(Outcome.m_CurrentRow->m_Version.value() == 8U);
  const auto Body = nlohmann::json::parse(m_Http.m_Call.m_Body);
  BOOST_TEST(Body["expectedRevision"][0]["schemaVersion"] == 3);
}

BOOST_FIXTURE_TEST_CASE(ARejectedWriteTellsThePresentRow, Fixture) {
  const auto Result = write(HttpAnswer{412, rowsText("k", "other"), {}});
  const auto &Outcome =
      std::get<std::vector<platform::RowOutcome>>(Result).at(0);
  BOOST_TEST(!Outcome.m_Written);
  BOOST_TEST(Outcome.m_CurrentRow->m_Value == "other");
  BOOST_TEST(Outcome.m_CurrentRow->m_Version.value() == 7U);
}

// Guards against a write of an earlier era that takes effect since its row has
// the expected version again.
BOOST_FIXTURE_TEST_CASE(AWriteDependsOnTheLackOfARow, Fixture) {
  const auto WriteUnless = [&](const HttpResult &Answer) {
    m_Http.m_Next = Answer;
    platform::WriteResult Result = platform::PlatformFailure::Uncertain;
    m_Tables.write(
        "t", {{"k", platform::RowVersion(3), "v", "k/after/2", {"k/after/1"}}},
        [&](const platform::WriteResult &Given) { Result = Given; });
    return Result;
  };
  WriteUnless(HttpAnswer{200, R"({"schemaVersion":8})", {}});
  const auto Body = nlohmann::json::parse(m_Http.m_Call.m_Body);
  BOOST_TEST(Body["expectedRevision"][1]["key"] == "k/after/2");
  BOOST_TEST(Body["expectedRevision"][1]["schemaVersion"] == 0);
  BOOST_TEST(Body["puts"].size() == 2U);
  BOOST_TEST(Body["puts"][0]["key"] == "k/after/1");
  // The answer need not hold the written row, which is as expected.
  const auto Prevented =
      WriteUnless(HttpAnswer{412, rowsText("k/after/2", "{}"), {}});
  BOOST_TEST((std::get<platform::PlatformFailure>(Prevented) ==
              platform::PlatformFailure::Refused));
}

// Guards against an insert that is repeated without a pause, since an answer
// that lacks the present row looks as if there were none.
BOOST_FIXTURE_TEST_CASE(AConflictWithoutARowSaysNothing, Fixture) {
  m_Http.m_Next = HttpAnswer{412, R"({"rows":[]})", {}};
  platform::WriteResult Result = std::vector<platform::RowOutcome>();
  m_Tables.write("t", {{"k", platform::RowVersion(), "v"}},
                 [&](const platform::WriteResult &Given) { Result = Given; });
  BOOST_TEST((std::get<platform::PlatformFailure>(Result) ==
              platform::PlatformFailure::Refused));
}

// Guards against a write that is taken for ineffective although its answer was
// only lost.
BOOST_FIXTURE_TEST_CASE(AnUnansweredWriteIsUncertain, Fixture) {
  const auto Failure = [](const platform::WriteResult &Result) {
    return std::get<platform::PlatformFailure>(Result);
  };
  BOOST_TEST((Failure(write(HttpFailure::TimedOut)) ==
              platform::PlatformFailure::Uncertain));
  BOOST_TEST((Failure(write(HttpAnswer{200, "{", {}})) ==
              platform::PlatformFailure::Uncertain));
  BOOST_TEST((Failure(write(HttpAnswer{500, "", {}})) ==
              platform::PlatformFailure::Uncertain));
  BOOST_TEST((Failure(write(HttpAnswer{503, "", {}})) ==
              platform::PlatformFailure::Refused));
  BOOST_TEST((Failure(write(HttpFailure::NotSent)) ==
              platform::PlatformFailure::Refused));
}

BOOST_FIXTURE_TEST_CASE(ARowIsReadByItsWholeKey, Fixture) {
  const auto Found = read(HttpAnswer{200, rowsText("k", "v"), {}});
  BOOST_TEST(std::get<std::vector<platform::Row>>(Found).size() == 1U);
  const auto Other = read(HttpAnswer{200, rowsText("kk", "v"), {}});
  BOOST_TEST(std::get<std::vector<platform::Row>>(Other).empty());
  const auto Bad = read(HttpAnswer{200, R"({"rows":[{"key":3}]})", {}});
  BOOST_TEST(std::holds_alternative<platform::PlatformFailure>(Bad));
}

// Guards against rows after the first page that are missed, and against pages
// without end.
BOOST_AUTO_TEST_CASE(AListHasTheRowsOfAllPages) {
  /// Answers each call with the next page; the last one repeats.
  class PagedHttp final : public HttpClientInterface {
  public:
    explicit PagedHttp(std::vector<std::string> &Paths) : m_Paths(Paths) {}
    void call(const HttpCall &Call, Done OnDone) override {
      m_Paths.push_back(Call.m_Path);
      const std::vector<std::vector<std::string>> Pages = {
          {"a/1", "a/2"}, {"a/2", "a/3"}, {"a/3"}};
      nlohmann::json Body = {{"hasMore", true}};
      Body["rows"] = nlohmann::json::array();
      for (const std::string &Key :
           Pages[std::min(m_Paths.size() - 1, Pages.size() - 1)])
        Body["rows"].push_back(
            {{"key", Key}, {"value", ""}, {"schemaVersion", 7}});
      OnDone(HttpAnswer{200, Body.dump(), {}});
    }

  private:
    std::vector<std::string> &m_Paths; ///< Called, in order.
  };
  std::vector<std::string> Paths;
  Metrics Stats;
  StoreTables Tables(std::make_unique<PagedHttp>(Paths), {1, 2}, Stats);
  std::vector<std::string> Keys;
  Tables.list("t", "a/", [&](const platform::ReadResult &Result) {
    for (const platform::Row &Row :
         std::get<std::vector<platform::Row>>(Result))
      Keys.push_back(Row.m_Key);
  });
  BOOST_TEST((Keys == std::vector<std::string>{"a/1", "a/2", "a/3"}));
  BOOST_TEST(Paths.size() == 3U);
  BOOST_TEST((Paths[1].find("from=a%2F2") != std::string::npos));
}
