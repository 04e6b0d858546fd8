/// The platform client: its requests, and how it handles each kind of answer.
#define BOOST_TEST_MODULE platform_client
#include "platform/platform_client.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::platform;

namespace {

/// Records the last call; the test answers it.
class FakeCaller final : public HttpClientInterface {
public:
  void call(const HttpCall &Request, Done OnDone) override {
    m_Call = Request;
    m_Done = std::move(OnDone);
  }
  HttpCall m_Call; ///< The last call.
  Done m_Done;     ///< Callback of the last call.
};

struct Fixture {
  FakeCaller m_Http; ///< Used by the client.
  Metrics m_Stats;   ///< Of the client.
  PlatformClient m_Client{m_Http, {1, 2}, std::chrono::seconds(1), m_Stats};

  /// Returns the result of a write of one row that gets \p Result.
  WriteResult writeAnswered(const HttpResult &Result) {
    WriteResult Actual;
    m_Client.write("t", {{"k", RowVersion(3), "{}"}},
                   [&](WriteResult Value) { Actual = std::move(Value); });
    m_Http.m_Done(Result);
    return Actual;
  }
  bool writeIs(const HttpResult &Result, PlatformFailure Expected) {
    const WriteResult Actual = writeAnswered(Result);
    const auto *Failure = std::get_if<PlatformFailure>(&Actual);
    return Failure != nullptr && *Failure == Expected;
  }
};

} // namespace

/// Guards against reporting a write that may have taken effect as one that did
/// nothing. Only a 503, a 4xx and a call without a connection are certain to
/// have done nothing.
BOOST_FIXTURE_TEST_CASE(LostAnswersToWritesAreUncertain, Fixture) {
  for (const HttpResult &Result :
       {HttpResult(HttpFailure::NotSent), HttpResult(HttpAnswer{503, "", {}}),
        HttpResult(HttpAnswer{400, "", {}})})
    BOOST_TEST(writeIs(Result, PlatformFailure::Refused));
  for (const HttpResult &Result :
       {HttpResult(HttpFailure::NoAnswer), HttpResult(HttpFailure::TimedOut),
        HttpResult(HttpAnswer{502, "", {}}),
        HttpResult(HttpAnswer{200, "half", {}}),
        HttpResult(HttpAnswer{200, R"({"outcomes":[]})", {}})})
    BOOST_TEST(writeIs(Result, PlatformFailure::Uncertain));
}

BOOST_FIXTURE_TEST_CASE(WritesAreConditionalAndOutcomesRead, Fixture) {
  const WriteResult Actual = writeAnswered(HttpAnswer{
      200,
      R"({"outcomes":[{"written":false,"row":{"key":"k","version":9,)"
      R"("value":"[]"}}]})",
      {}});
  BOOST_TEST(m_Http.m_Call.m_Path == "/v1/tables/t/write");
  BOOST_TEST(m_Http.m_Call.m_Body ==
             R"({"writes":[{"expected":3,"key":"k","value":"{}"}]})");
  const RowOutcome &Outcome = std::get<0>(Actual).at(0);
  BOOST_TEST(!Outcome.m_Written);
  BOOST_TEST(Outcome.m_CurrentRow->m_Version.value() == 9U);
}

BOOST_FIXTURE_TEST_CASE(KeysAreEscapedAndReadsCounted, Fixture) {
  ReadResult Actual;
  const auto Keep = [&](ReadResult Value) { Actual = std::move(Value); };
  m_Client.list("t", "a/b&c", Keep);
  BOOST_TEST(m_Http.m_Call.m_Path == "/v1/tables/t/rows?prefix=a%2Fb%26c");
  m_Http.m_Done(HttpAnswer{200, R"({"rows":[]})", {}});
  BOOST_TEST(std::get<0>(Actual).empty());
  m_Client.read("t", "k", Keep);
  m_Http.m_Done(HttpFailure::TimedOut);
  BOOST_CHECK(std::get<1>(Actual) == PlatformFailure::Refused);
  BOOST_TEST(
      m_Stats.counter("crowstep_platform_calls_total", {{"kind", "table_read"}})
          .value() == 2U);
}

/// Guards against an unreadable entry of the list that hides all other
/// upstreams.
BOOST_FIXTURE_TEST_CASE(BadEntriesOfTheListAreLeftOut, Fixture) {
  InstanceList::Result Actual;
  m_Client.fetch(
      [&](InstanceList::Result Value) { Actual = std::move(Value); });
  m_Http.m_Done(HttpAnswer{
      200,
      R"({"instances":[{"name":"i","link":"127.0.0.1:9","zone":"z"},7],)"
      R"("upstreams":[{"name":"e","service":"s","address":"127.0.0.1:7",)"
      R"("zone":"z","kind":"engine","slots":4,"checks_fencing":false},)"
      R"({"name":"f","service":"s","address":"here","zone":"z",)"
      R"("kind":"service"},{"name":"g","service":"s",)"
      R"("address":"127.0.0.1:8","zone":"z","kind":"engine","slots":0}]})",
      {}});
  const auto &List = std::get<InstanceListing>(Actual);
  BOOST_TEST(List.m_Instances.size() == 1U);
  BOOST_REQUIRE(List.m_Upstreams.size() == 1U);
  const auto &Kind = std::get<Engine>(List.m_Upstreams[0].m_Kind);
  BOOST_TEST(Kind.m_Slots == 4U);
  BOOST_TEST(!Kind.m_ChecksFencing);
}
