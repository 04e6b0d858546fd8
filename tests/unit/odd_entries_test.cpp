/// Rows, lists and answers that another program wrote: nested deeply, with
/// numbers out of range or with fields of another type.
#define BOOST_TEST_MODULE odd_entries
#include "contract/contract_error.h"
#include "contract/contract_func.h"
#include "contract/table_document.h"
#include "dispatcher/load_monitor.h"
#include "duty/capacity_row.h"
#include "duty/duty_error.h"
#include "duty/usage_row.h"
#include "entry/event_stream.h"
#include "lease/lease_core.h"
#include "lease/lease_error.h"
#include "platform/platform_codec.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace std::chrono_literals;

namespace {

/// A list this deep overflows the stack where each level takes a call.
constexpr std::size_t Depth = 200'000;

std::string nested(std::size_t Levels = Depth) {
  return std::string(Levels, '[') + std::string(Levels, ']');
}

constexpr const char *GoodUpstream =
    R"({"name":"good","service":"s","kind":"service",)"
    R"("address":"10.0.0.9:80","zone":"z"})";

/// Answers each call with one body.
class FakeHttp final : public HttpClientInterface {
public:
  explicit FakeHttp(std::string Body) : m_Body(std::move(Body)) {}
  void call(const HttpCall &, Done OnDone) override {
    ++m_Calls;
    OnDone(HttpAnswer{200, m_Body, {}});
  }

  std::string m_Body; ///< Of each answer.
  int m_Calls = 0;    ///< So far.
};

} // namespace

// Guards against a listed entry whose name nests so deeply that logging it
// overflows the stack.
BOOST_AUTO_TEST_CASE(ADeepNameInAListHidesNoOther) {
  const std::string List = R"({"instances":[{"name":)" + nested() +
                           R"(}],"upstreams":[{"name":)" + nested() + "}," +
                           GoodUpstream + "]}";
  const platform::InstanceListing Read = platform::decodeInstances(List);
  BOOST_TEST(Read.m_Instances.empty());
  BOOST_REQUIRE(Read.m_Upstreams.size() == 1U);
  BOOST_TEST(Read.m_Upstreams.front().m_Name == "good");
}

// Guards against an engine whose cache events nest so deeply that copying them
// overflows the stack, and against polls that end with them.
BOOST_AUTO_TEST_CASE(DeepCacheEventsEndNoPolls) {
  ManualClock Time;
  ManualScheduler Timers(Time);
  FakeHttp Http(R"({"sequence":1,"running":2,"waiting":0,"cache_events":)" +
                nested() + "}");
  std::size_t Events = 0;
  dispatcher::LoadMonitor Monitor(Http, Timers, 1s,
                                  [&](const decision::Event &) { ++Events; });
  Monitor.watch({{upstreamIdOf("e"), "e", "writer", {1, 1}, {"a"}}});
  Http.m_Body = R"({"sequence":2,"running":2,"waiting":0})";
  const std::size_t Before = Events;
  Timers.advance(1s);
  BOOST_TEST(Http.m_Calls == 2);
  BOOST_TEST(Events == Before + 1);
}

// Guards against a row of the operators' table whose history nests so deeply
// that copying it overflows the stack.
BOOST_AUTO_TEST_CASE(ADeepHistoryIsRejected) {
  const std::string Text =
      R"({"format":1,"version":3,"contracts":[],"history":)" + nested() + "}";
  BOOST_CHECK_THROW(contract::decodeDocument(Text), contract::TableFormatError);
}

// Guards against a cell that nests so deeply that writing it into the error
// message overflows the stack.
BOOST_AUTO_TEST_CASE(ADeepCellIsRejected) {
  for (const char *Cell : {"no_column", "name"}) {
    const std::string Text = R"({"format":1,"version":3,"contracts":[{")" +
                             std::string(Cell) + "\":" + nested() + "}]}";
    BOOST_CHECK_THROW(contract::decodeDocument(Text), Error);
    BOOST_CHECK_THROW(contract::readJson(Text), Error);
  }
}

// Guards against an engine's event that nests so deeply that keeping its head
// for the whole answer overflows the stack.
BOOST_AUTO_TEST_CASE(ADeepEventIsRejected) {
  entry::AnswerAssembler Assembler(true);
  BOOST_TEST(!Assembler.feed(
      "data: {\"choices\":[],\"usage\":{\"x\":" + nested() + "}}\n\n"));
}

namespace {

/// Texts that stand for no count.
const std::vector<std::string> NoCounts = {"-1",   "1.5",    "1e300", "1e400",
                                           "true", R"("1")", "null",  "{}"};

} // namespace

// Guards against a row of the duties whose numbers are reduced to others:
// windows that never come, or orders for billions of engines.
BOOST_AUTO_TEST_CASE(DutyRowsWithOddNumbersAreRejected) {
  const auto Usage = [](const std::string &Next, const std::string &Window,
                        const std::string &Count) {
    return R"({"format":1,"next":)" + Next + R"(,"pending":[{"window":)" +
           Window + R"(,"counts":{"w":)" + Count + "}}]}";
  };
  const auto Capacity = [](const std::string &Target,
                           const std::string &Count) {
    return R"({"format":1,"services":{"s":{"target":)" + Target +
           R"(,"zones":{"z":{"regular":)" + Count + "}}}}}";
  };
  BOOST_CHECK_NO_THROW(duty::decodeUsageRow(Usage("7", "6", "5")));
  BOOST_CHECK_NO_THROW(duty::decodeCapacityRow(Capacity("2", "2")));
  std::vector<std::string> Odd = NoCounts;
  Odd.emplace_back("18446744073709551616");
  Odd.push_back(nested());
  for (const std::string &Value : Odd)
    BOOST_TEST_CONTEXT(Value.substr(0, 20)) {
      for (const std::string &Text :
           {Usage(Value, "6", "5"), Usage("7", Value, "5"),
            Usage("7", "6", Value), Value})
        BOOST_CHECK_THROW(duty::decodeUsageRow(Text), duty::DutyRowError);
      for (const std::string &Text :
           {Capacity(Value, "2"), Capacity("2", Value), Value})
        BOOST_CHECK_THROW(duty::decodeCapacityRow(Text), duty::DutyRowError);
    }
  BOOST_CHECK_THROW(
      duty::decodeUsageRow(Usage("18446744073709551615", "6", "5")),
      duty::DutyRowError);
  BOOST_CHECK_THROW(duty::decodeCapacityRow(Capacity("4294967296", "2")),
                    duty::DutyRowError);
}

// Guards against a lease that counts as expired at once or never, and against
// fencing numbers that begin again at 0.
BOOST_AUTO_TEST_CASE(LeasesWithOddNumbersAreRejected) {
  const auto Lease = [](const std::string &Fencing, const std::string &Length) {
    return platform::Row{"duties", platform::RowVersion(1),
                         R"({"format":1,"holder":"h","fencing":)" + Fencing +
                             R"(,"length_ms":)" + Length + "}"};
  };
  BOOST_CHECK_NO_THROW(lease::decodeLease(Lease("7", "1000")));
  std::vector<std::string> Odd = NoCounts;
  Odd.emplace_back("18446744073709551615");
  Odd.push_back(nested());
  for (const std::string &Value : Odd)
    BOOST_TEST_CONTEXT(Value.substr(0, 20)) {
      BOOST_CHECK_THROW(lease::decodeLease(Lease(Value, "1000")),
                        lease::LeaseRowError);
      BOOST_CHECK_THROW(lease::decodeLease(Lease("7", Value)),
                        lease::LeaseRowError);
    }
  BOOST_CHECK_THROW(lease::decodeLease(Lease("7", "9223372036854775807")),
                    lease::LeaseRowError);
}
