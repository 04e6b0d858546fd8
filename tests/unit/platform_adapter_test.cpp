/// The adapter to the users' platform: headers, manifests, entries and the
/// store, with input from faulty writers and a failing store.
#define BOOST_TEST_MODULE platform_adapter
#include "manifest.h"
#include "peer_registry.h"
#include "platform_headers.h"
#include "store_codec.h"
#include "table_follower.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace crowstep;
using namespace crowstep::adapter;
using namespace std::chrono_literals;

namespace {

const std::string GoodManifest = R"({"version":7,"routes":[
 {"name":"r1","host":"h","prefix":"/a/","routeKind":"streaming",
  "timeoutMs":6000,"targetLatencyMs":600,"priority":1,"service":"s1",
  "maxAttempts":1,"anonymous":false,"resumable":false,"gapAimMs":250},
 {"name":"r2","host":"h","prefix":"/b/","routeKind":"non_idempotent",
  "timeoutMs":800,"targetLatencyMs":100,"priority":2,
  "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
  "maxAttempts":2,"anonymous":true}],
 "services":[{"name":"s1","maxConnections":370,
  "engine":{"slots":64,"kvCapacityTokens":581322}},{"name":"s2"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
  "headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["k"],"priority":1},{"name":"u"}],
 "laterField":{"x":1}})";

const std::string GoodEntry =
    R"({"service":"s1","address":"10.0.0.9:8080","zone":"a","version":"v1",)"
    R"("slots":64,"state":"ready","models":[{"name":"m"}],"born":1700})";

/// A store whose calls are answered by the test.
class FakeStore final : public Store {
public:
  struct Call {
    std::string m_Kind;    ///< "read" or "follow".
    StoreVersion m_After;  ///< Of a follow.
    Duration m_Wait{};     ///< Of a follow.
    ResultCallback m_Done; ///< Callback of the answer.
  };
  void onEra(EraCallback) override {}
  void read(const std::string &, const std::string &,
            ResultCallback OnDone) override {
    m_Calls.push_back({"read", {}, {}, std::move(OnDone)});
  }
  void follow(const std::string &, StoreVersion After, Duration Wait,
              ResultCallback OnDone) override {
    m_Calls.push_back({"follow", After, Wait, std::move(OnDone)});
  }
  void write(const StoreWrite &Write,
             std::function<void(StoreWriteResult)> OnDone) override {
    m_Writes.push_back({Write, std::move(OnDone)});
  }
  void answer(StoreResult Result) {
    const Call Last = std::move(m_Calls.back());
    m_Calls.pop_back();
    Last.m_Done(std::move(Result));
  }
  std::deque<Call> m_Calls; ///< Unanswered calls.
  std::vector<std::pair<StoreWrite, std::function<void(StoreWriteResult)>>>
      m_Writes; ///< All writes.
};

StoreRow row(const std::string &Key, std::uint64_t Version, bool Gone = false) {
  return {Key, "v" + std::to_string(Version), StoreVersion(Version), Gone};
}

struct Fixture {
  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  FakeStore m_Store;
  std::vector<std::string> m_Reported;
  std::vector<gateway::DirectoryUpdate> m_Read; ///< To be forwarded.
  double m_Draw = 0.5; ///< Random number for the jitter of the back-off.
  TableFollower m_Table{m_Store,
                        m_Clock,
                        m_Timers,
                        "t",
                        [this] { return m_Draw; },
                        {[this](const StoreRow &Row) {
                           m_Reported.push_back(
                               (Row.m_Removed ? "-" : "+") + Row.m_Key +
                               std::to_string(Row.m_Version.value()));
                         },
                         [] {},
                         [this](const gateway::DirectoryUpdate &Update) {
                           m_Read.push_back(Update);
                         }}};

  Fixture() { m_Table.start(); }
  std::string takeReported() {
    std::string Result;
    for (const std::string &Entry : m_Reported)
      Result += Entry + " ";
    m_Reported.clear();
    return Result;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(AManifestIsRead) {
  const gateway::RouteTableData Data = readManifest(GoodManifest);
  BOOST_TEST(Data.m_Version.value() == 7U);
  BOOST_REQUIRE(Data.m_Routes.size() == 2U);
  const auto &Stream = std::get<gateway::EventStream>(Data.m_Routes[0].m_Kind);
  BOOST_TEST(!Stream.m_Resumable);
  BOOST_TEST((Stream.m_MaxPause == 250ms));
  BOOST_TEST((Data.m_Routes[0].m_Timeout == 6s));
  BOOST_TEST(Data.m_Routes[1].m_Services.size() == 2U);
  BOOST_TEST(!Data.m_Routes[1].m_NeedsKey);
  BOOST_TEST(Data.m_Services[0].m_CacheTokens == 581322U);
  BOOST_TEST((Data.m_Limits.m_IdleTimeout == 15s));
  BOOST_TEST(Data.m_Workspaces[0].m_Priority.value() == 1U);
  BOOST_TEST(!Data.m_Workspaces[1].m_Priority.has_value());
}

/// Guards against an unreadable manifest that replaces the last good one with
/// part of a table: it is rejected as a whole.
BOOST_AUTO_TEST_CASE(AnUnreadableManifestIsAnError) {
  for (
      const char *Text :
      {"", "{", "[]", "7", R"({"version":"x","routes":[],"services":[]})",
       R"({"routes":[],"services":[]})",
       R"({"version":1,"routes":[{"host":"h"}],"services":[]})",
       R"({"version":1,"routes":[{"host":"h","prefix":"/","service":"s","routeKind":"other"}],"services":[]})"})
    BOOST_CHECK_THROW(readManifest(Text), StoreValueError);
}

/// Entries with missing fields, fields of another type, unknown states or bytes
/// that are not text are rejected by an exception that the callers catch.
BOOST_AUTO_TEST_CASE(AnUnreadableEntryIsAnError) {
  const auto Without = [](const std::string &Name) {
    std::string Text = GoodEntry;
    Text.replace(Text.find("\"" + Name + "\""), Name.size() + 2, "\"x\"");
    return Text;
  };
  for (const char *Name : {"service", "address", "zone", "state", "slots"})
    BOOST_CHECK_THROW(readUpstreamEntry("e", Without(Name)), StoreValueError);
  for (const std::string &Text :
       {std::string("\xff\x00\x01", 3), std::string("null"),
        std::string(R"({"service":1,"address":"10.0.0.9:1","zone":"a",)"
                    R"("slots":1,"state":"ready"})"),
        std::string(R"({"service":"s","address":"here","zone":"a",)"
                    R"("slots":1,"state":"ready"})"),
        std::string(R"({"service":"s","address":"10.0.0.9:1","zone":"a",)"
                    R"("slots":"many","state":"ready"})"),
        std::string(R"({"service":"s","address":"10.0.0.9:1","zone":"a",)"
                    R"("slots":1,"state":"asleep"})")})
    BOOST_CHECK_THROW(readUpstreamEntry("e", Text), StoreValueError);
}

/// An engine that restarts under its name has an empty cache: its start time
/// gives it another id, while its name on the wire stays the same.
BOOST_AUTO_TEST_CASE(ARestartIsAnotherUpstream) {
  const Upstream First = readUpstreamEntry("e", GoodEntry);
  std::string Later = GoodEntry;
  Later.replace(Later.find("1700"), 4, "1800");
  const Upstream Second = readUpstreamEntry("e", Later);
  BOOST_TEST((First.m_Id != Second.m_Id));
  BOOST_TEST(First.m_Name == Second.m_Name);
  BOOST_TEST(!First.m_Draining);
}

// Guards against a version that is guessed from what is no text.
BOOST_AUTO_TEST_CASE(AnEntryWithoutAVersionHasAnUnknownOne) {
  BOOST_TEST(readUpstreamEntry("e", GoodEntry).m_Software.text() == "v1");
  for (const char *Bad : {"1", "null", "[\"v1\"]", "\"\""}) {
    std::string Entry = GoodEntry;
    Entry.replace(Entry.find("\"v1\""), 4, Bad);
    BOOST_TEST(!readUpstreamEntry("e", Entry).m_Software.isKnown());
  }
}

// Guards against a process that is taken for the one before it.
BOOST_AUTO_TEST_CASE(AReportNamesItsProcess) {
  BOOST_TEST((readReport(R"({"born":1700,"active":1})", 1700ms) ==
              ProcessStatement::Expected));
  BOOST_TEST(
      (readReport(R"({"born":1800})", 1700ms) == ProcessStatement::Other));
  for (const char *Bad : {"", "{}", "[]", R"({"born":"1700"})"})
    BOOST_TEST((readReport(Bad, 1700ms) == ProcessStatement::Unreadable));
}

BOOST_AUTO_TEST_CASE(HeadersOfRequestsAreRead) {
  const PlatformHeaders Codec;
  const auto Read = Codec.readRequest({{"x-attempt-id", "a"},
                                       {"X-Deadline-Ms", "1500"},
                                       {"X-Token-Usage", "1460,80"},
                                       {"X-Length-Hint", "70"},
                                       {"X-Prefix-Hash", "5c:800,zz:1,e4:250"},
                                       {"Last-Event-Id", "12"},
                                       {"Resumes", "first"}});
  const auto &Facts = std::get<gateway::RequestFacts>(Read);
  BOOST_TEST((*Facts.m_Deadline == 1500ms));
  BOOST_TEST(Facts.m_Prompt.m_PromptTokens == 1460U);
  BOOST_TEST(Facts.m_Prompt.m_MaxOutputTokens == 80U);
  BOOST_TEST(Facts.m_Prompt.m_ExpectedOutputTokens == 70U);
  const std::vector<PrefixSegment> Parts = {{0x5c, 800}, {0xe4, 250}};
  BOOST_TEST((Facts.m_Prompt.m_Segments == Parts));
  BOOST_TEST(*Facts.m_LastEventId == 12U);
  BOOST_TEST(Facts.m_Resumes == "first");
}

/// Values that can't be parsed, and headers that occur twice, might be read
/// differently by the gateway and an engine.
BOOST_AUTO_TEST_CASE(UnreadableHeadersOfRequestsAreNamed) {
  const PlatformHeaders Codec;
  for (const HeaderField &Bad :
       {HeaderField{"X-Deadline-Ms", "soon"},
        HeaderField{"X-Deadline-Ms", "-1"}, HeaderField{"X-Attempt-Id", "b"},
        HeaderField{"Last-Event-Id", "x"}}) {
    const auto Read = Codec.readRequest({{"X-Attempt-Id", "a"}, Bad});
    const auto *Why = std::get_if<gateway::UnreadableHeader>(&Read);
    BOOST_REQUIRE(Why != nullptr);
    BOOST_TEST(Why->m_Name == Bad.m_Name);
  }
  BOOST_TEST(std::holds_alternative<gateway::UnreadableHeader>(
      Codec.readRequest({{"Host", "h"}})));
  const auto Twice = Codec.readRequest(
      {{"X-Attempt-Id", "a"}, {"Resumes", "b"}, {"Resumes", "c"}});
  BOOST_TEST(std::get<gateway::UnreadableHeader>(Twice).m_Name == "Resumes");
}

/// Guards against forged headers of a caller that reach an engine: they could
/// name the workspace, reservation or cache of another customer.
BOOST_AUTO_TEST_CASE(TheGatewaysHeadersAreItsOwn) {
  const PlatformHeaders Codec;
  HeaderList FromCaller = {{"X-Attempt-Id", "a"}, {"X-Model", "m"}};
  for (const char *Name :
       {"X-Tenant", "X-Key", "X-Retention", "X-Pin-Ms", "X-Kv-Backup",
        "Kv-From", "Kv-Fetch", "X-Request-Priority", "X-Expect-Instance"})
    FromCaller.push_back({Name, "forged"});
  const HeaderList Sent = Codec.writeRequest(
      FromCaller, {1500ms, "e-1", "workspace", 12, std::nullopt});
  for (const HeaderField &Field : Sent)
    BOOST_TEST(Field.m_Value != "forged");
  BOOST_TEST(*findHeader(Sent, "X-Model") == "m");
  BOOST_TEST(*findHeader(Sent, "X-Deadline-Ms") == "1500");
  BOOST_TEST(*findHeader(Sent, "X-Expect-Instance") == "e-1");
  BOOST_TEST(*findHeader(Sent, "X-Tenant") == "workspace");
  BOOST_TEST(*findHeader(Sent, "X-Request-Priority") == "9");
  BOOST_TEST(findHeader(Sent, "X-Key") == nullptr);
}

/// Only a header of the upstream or a 421 means "not run"; a bare 503 does not.
BOOST_AUTO_TEST_CASE(HeadersOfAnswersAreRead) {
  const PlatformHeaders Codec;
  BOOST_TEST(!Codec.readAnswer(503, {}).m_NotRun);
  BOOST_TEST(Codec.readAnswer(503, {{"X-Not-Executed", "1"}}).m_NotRun);
  BOOST_TEST(Codec.readAnswer(421, {}).m_NotRun);
  const auto LimitOf = [&](const char *Text) {
    return Codec.readAnswer(200, {{"Server-Limit", Text}});
  };
  BOOST_TEST(*LimitOf("1.8").m_Limit == 1.8);
  BOOST_TEST(*LimitOf("0").m_Limit == 0);
  BOOST_TEST(*LimitOf("40 ").m_Limit == 40);
  for (const char *Bad :
       {"", "-1", "nan", "inf", "1e400", "0x10", "1,5", "x"}) {
    BOOST_TEST(!LimitOf(Bad).m_Limit);
    BOOST_TEST(LimitOf(Bad).m_LimitUnreadable);
  }
  BOOST_TEST(!Codec.readAnswer(200, {}).m_LimitUnreadable);
  const auto BrittleOf = [&](const char *Text) {
    return Codec.readAnswer(503, {{"Server-Brittle", Text}});
  };
  BOOST_TEST(*BrittleOf("6").m_RejectionLimit == 6);
  BOOST_TEST(*BrittleOf("0.5").m_RejectionLimit == 0.5);
  for (const char *Bad : {"", "-1", "nan", "x"}) {
    BOOST_TEST(!BrittleOf(Bad).m_RejectionLimit);
    BOOST_TEST(BrittleOf(Bad).m_RejectionLimitUnreadable);
  }
  BOOST_TEST(!Codec.readAnswer(200, {}).m_RejectionLimit);
  for (const char *Text : {"1", " 1 "})
    BOOST_TEST(Codec.readAnswer(200, {{"Server-Leaving", Text}}).m_Leaving);
  for (const char *Text : {"0", "", "yes", "1,1"})
    BOOST_TEST(!Codec.readAnswer(200, {{"Server-Leaving", Text}}).m_Leaving);
  BOOST_TEST(!Codec.readAnswer(200, {}).m_Leaving);
  const auto PauseOf = [&](const char *Text) {
    return Codec.readAnswer(503, {{"Retry-After", Text}});
  };
  BOOST_TEST((PauseOf("3").m_RequestedPause == 3s));
  BOOST_TEST((PauseOf(" 0.25 ").m_RequestedPause == 250ms));
  BOOST_TEST((PauseOf("0").m_RequestedPause == 0s));
  BOOST_TEST((PauseOf("3600").m_RequestedPause == 1h));
  BOOST_TEST((PauseOf("1e300").m_PauseUnreadable));
  BOOST_TEST((PauseOf("99999999999999999999").m_RequestedPause > 24h));
  for (const char *Bad : {"", "soon", "-3", "3 s", "nan", "inf",
                          "Fri, 04 Dec 2026 10:00:00 GMT"}) {
    BOOST_TEST(!PauseOf(Bad).m_RequestedPause);
    BOOST_TEST(PauseOf(Bad).m_PauseUnreadable);
  }
  BOOST_TEST(!Codec.readAnswer(503, {}).m_PauseUnreadable);
  BOOST_TEST(!Codec.readAnswer(200, {{"Retry-After", "3"}}).m_RequestedPause);
  const auto Load = Codec.readAnswer(200, {{"X-Server-Load", "3,1,8"}}).m_Load;
  BOOST_REQUIRE(Load.has_value());
  BOOST_TEST(Load->m_Running == 3U);
  BOOST_TEST(Load->m_Slots == 8U);
  BOOST_TEST(!Codec.readAnswer(200, {{"X-Server-Load", "3,x,8"}}).m_Load);
  BOOST_TEST(!Load->m_MachinePace.has_value());
  const auto LoadOf = [&](const char *Text) {
    return Codec.readAnswer(200, {{"X-Server-Load", Text}}).m_Load;
  };
  // Guards against a report that is lost for a figure that was added to it.
  BOOST_TEST(LoadOf("3,1,8,250")->m_MachinePace.value() == 250U);
  BOOST_TEST(LoadOf("3,1,8,x")->m_Slots == 8U);
  BOOST_TEST(!LoadOf("3,1,8,x")->m_MachinePace.has_value());
  BOOST_TEST(!LoadOf("3,1,8,250,1").has_value());
}

BOOST_AUTO_TEST_CASE(ATableIsReadAndFollowed) {
  Fixture Test;
  Test.m_Store.answer(
      StoreRows{{row("a", 3), row("b", 5)}, StoreVersion(9), false});
  BOOST_TEST(Test.takeReported() == "+a3 +b5 ");
  BOOST_TEST(Test.m_Store.m_Calls.back().m_Kind == "follow");
  BOOST_TEST(Test.m_Store.m_Calls.back().m_After.value() == 9U);
  Test.m_Store.answer(
      StoreRows{{row("a", 10), row("b", 11, true)}, StoreVersion(11), false});
  BOOST_TEST(Test.takeReported() == "+a10 -b11 ");
  BOOST_TEST(Test.m_Store.m_Calls.back().m_After.value() == 11U);
}

/// Guards against one call of each instance per change, as when 90 engines
/// start within a second. The first change is read at once; those after it, or
/// after the rows that an instance reads at its start, are read with one call.
BOOST_AUTO_TEST_CASE(ManyChangesComeWithOneCall) {
  Fixture Test;
  Test.m_Table.setPause(400ms);
  Test.m_Store.answer(StoreRows{{row("a", 3)}, StoreVersion(9), false});
  BOOST_TEST(Test.m_Store.m_Calls.empty());
  Test.m_Timers.advance(400ms);
  Test.m_Store.answer(StoreRows{{}, StoreVersion(9), false});
  Test.m_Store.answer(StoreRows{{row("b", 10)}, StoreVersion(10), false});
  BOOST_TEST(Test.takeReported() == "+a3 +b10 ");
  BOOST_TEST(Test.m_Store.m_Calls.empty());
  Test.m_Timers.advance(400ms);
  BOOST_REQUIRE(Test.m_Store.m_Calls.size() == 1U);
  BOOST_TEST(Test.m_Store.m_Calls.back().m_After.value() == 10U);
}

/// The store dropped its history, so the table is read again. Guards against an
/// answer from a copy that is seconds old: it would bring back removed rows.
BOOST_AUTO_TEST_CASE(AStaleCopyTakesNothingBack) {
  Fixture Test;
  Test.m_Store.answer(StoreRows{{row("a", 3)}, StoreVersion(9), false});
  Test.m_Store.answer(StoreRows{{row("a", 12)}, StoreVersion(12), false});
  Test.takeReported();
  Test.m_Store.answer(StoreFailure::HistoryDropped);
  Test.m_Timers.advance(1s);
  BOOST_TEST(Test.m_Store.m_Calls.back().m_Kind == "read");
  Test.m_Store.answer(
      StoreRows{{row("a", 3), row("old", 2)}, StoreVersion(9), false});
  BOOST_TEST(Test.takeReported().empty());
  Test.m_Timers.advance(1s);
  Test.m_Store.answer(StoreRows{{row("b", 14)}, StoreVersion(15), false});
  BOOST_TEST(Test.takeReported() == "+b14 -a15 ");
}

/// While the store is unreachable, calls are retried with a growing back-off,
/// and none of them waits for changes, so that the first one that gets through
/// returns at once.
BOOST_AUTO_TEST_CASE(AnOutageEndsWithAShortCall) {
  Fixture Test;
  Test.m_Store.answer(StoreRows{{row("a", 3)}, StoreVersion(9), false});
  BOOST_TEST((Test.m_Store.m_Calls.back().m_Wait == 1s));
  for (int I = 0; I < 6; ++I) {
    Test.m_Store.answer(StoreFailure::Unreachable);
    BOOST_TEST(Test.m_Store.m_Calls.empty());
    Test.m_Timers.advance(600ms);
    BOOST_REQUIRE(Test.m_Store.m_Calls.size() == 1U);
    BOOST_TEST((Test.m_Store.m_Calls.back().m_Wait == 0ms));
  }
  Test.m_Store.answer(StoreRows{{}, StoreVersion(9), false});
  BOOST_TEST((Test.m_Store.m_Calls.back().m_Wait == 1s));
  BOOST_TEST(Test.takeReported() == "+a3 ");
}

/// The store is silent or rejects all calls. What an instance knows of its
/// upstreams gets stale meanwhile, so it must notice the end of the outage
/// soon: the next call begins less than 0.9 s after the one before, however
/// long that one hung and whatever the jitter.
BOOST_AUTO_TEST_CASE(CallsGoOnThroughAnOutage) {
  for (const double Draw : {0.0, 0.5, 0.999})
    for (const Duration Hangs : {Duration(4ms), StoreClient::Timeout}) {
      Fixture Test;
      Test.m_Draw = Draw;
      Test.m_Store.answer(StoreRows{{row("a", 3)}, StoreVersion(9), false});
      Test.m_Store.answer(StoreFailure::Unreachable);
      Test.m_Timers.advance(120ms);
      for (int I = 0; I < 8; ++I) {
        BOOST_REQUIRE(Test.m_Store.m_Calls.size() == 1U);
        const TimePoint Begin = Test.m_Clock.now();
        Test.m_Timers.advance(Hangs);
        Test.m_Store.answer(StoreFailure::Unreachable);
        while (Test.m_Store.m_Calls.empty())
          Test.m_Timers.advance(1ms);
        BOOST_TEST((Test.m_Clock.now() - Begin < 900ms));
      }
    }
}

/// Many instances start at once. Only the first write creates the shared
/// secret, as it requires that there is none, and all use the one in the table.
BOOST_AUTO_TEST_CASE(TheFirstInstanceMakesTheLinkKey) {
  ManualClock Clock;
  ManualScheduler Timers(Clock);
  FakeStore Rows;
  std::vector<gateway::PeerList> Reported;
  PeerRegistry Registry(
      Rows, Clock, Timers, [] { return 0.5; },
      [&](const gateway::PeerList &List) { Reported.push_back(List); },
      [](const std::set<ContentHash> &) {},
      [](const gateway::DirectoryUpdate &) {});
  Registry.start({"edge-1", {0x0a000001, 7340}, {"a"}, 0.5});
  Rows.answer(StoreRows{{}, StoreVersion(1), false});
  BOOST_REQUIRE(Rows.m_Writes.size() == 2U);
  const std::string Own = *Rows.m_Writes.at(0).first.m_Value;
  BOOST_TEST(Own == R"({"address":"10.0.0.1:7340","weight":0.5,"zone":"a"})");
  BOOST_TEST(Rows.m_Writes[1].first.m_Expected->value() == 0U);
  BOOST_TEST(Reported.empty());
  Rows.answer(StoreRows{{{"#link-key", "secret", StoreVersion(2), false},
                         {"edge-1", Own, StoreVersion(3), false},
                         {"bad", "no address", StoreVersion(4), false},
                         {"odd", R"({"address":7})", StoreVersion(4), false}},
                        StoreVersion(4),
                        false});
  BOOST_REQUIRE(Reported.size() == 1U);
  BOOST_TEST(Reported[0].m_Key == "secret");
  BOOST_REQUIRE(Reported[0].m_Instances.size() == 1U);
  BOOST_TEST(Reported[0].m_Instances[0].m_Zone.m_Name == "a");
  BOOST_TEST(Reported[0].m_Instances[0].m_Weight == 0.5);
}

/// All instances are killed and restart at once. Each finds its row unchanged
/// and writes nothing, so that the others are not woken. A row that is removed
/// late, by the stop of the process before, is written again.
BOOST_AUTO_TEST_CASE(ARestartedInstanceFindsItsRow) {
  ManualClock Clock;
  ManualScheduler Timers(Clock);
  FakeStore Rows;
  PeerRegistry Registry(
      Rows, Clock, Timers, [] { return 0.5; }, [](const gateway::PeerList &) {},
      [](const std::set<ContentHash> &) {},
      [](const gateway::DirectoryUpdate &) {});
  Registry.start({"edge-1", {0x0a000001, 7340}, {"a"}, 0.5});
  const std::string Own =
      R"({"address":"10.0.0.1:7340","weight":0.5,"zone":"a"})";
  Rows.answer(StoreRows{{{"#link-key", "secret", StoreVersion(2), false},
                         {"edge-1", Own, StoreVersion(3), false}},
                        StoreVersion(4),
                        false});
  BOOST_TEST(Rows.m_Writes.empty());
  Timers.advance(3s);
  Rows.answer(StoreRows{
      {{"edge-1", "", StoreVersion(5), true}}, StoreVersion(5), false});
  BOOST_REQUIRE(Rows.m_Writes.size() == 1U);
  BOOST_TEST(*Rows.m_Writes[0].first.m_Value == Own);
}

// Guards against a list of quarantined requests that loses a row, takes another
// row for one or grows without end.
BOOST_AUTO_TEST_CASE(QuarantinedRequestsAreRows) {
  ManualClock Clock;
  ManualScheduler Timers(Clock);
  FakeStore Rows;
  std::set<ContentHash> Listed;
  PeerRegistry Registry(
      Rows, Clock, Timers, [] { return 0.5; }, [](const gateway::PeerList &) {},
      [&](const std::set<ContentHash> &All) { Listed = All; },
      [](const gateway::DirectoryUpdate &) {});
  Registry.start({"edge-1", {0x0a000001, 7340}, {"a"}, 0.5});
  const ContentHash One{1, 1};
  const std::string Key = "#quarantine/" + toString(One);
  Rows.answer(StoreRows{{{Key, "{}", StoreVersion(2), false},
                         {"#quarantine/odd", "{}", StoreVersion(3), false}},
                        StoreVersion(4),
                        false});
  BOOST_TEST((Listed == std::set{One}));
  Timers.advance(3s);
  Rows.answer(
      StoreRows{{{Key, "", StoreVersion(5), true}}, StoreVersion(5), false});
  BOOST_TEST(Listed.empty());
  Rows.m_Writes.clear();
  Registry.listQuarantined(One);
  BOOST_REQUIRE(Rows.m_Writes.size() == 1U);
  BOOST_TEST(Rows.m_Writes[0].first.m_Key == Key);
  BOOST_TEST(Rows.m_Writes[0].first.m_Expected->value() == 0U);
  std::vector<StoreRow> Many;
  for (std::uint64_t I = 0; I < PeerRegistry::MaxQuarantined; ++I)
    Many.push_back({"#quarantine/" + toString(ContentHash{9, I}), "{}",
                    StoreVersion(10 + I), false});
  Timers.advance(3s);
  Rows.answer(StoreRows{Many, StoreVersion(1000), false});
  Rows.m_Writes.clear();
  Registry.listQuarantined(One);
  BOOST_REQUIRE(Rows.m_Writes.size() == 2U);
  BOOST_TEST(Rows.m_Writes[0].first.m_Key ==
             "#quarantine/" + toString(ContentHash{9, 0}));
  BOOST_TEST(!Rows.m_Writes[0].first.m_Value);
}

// ---- Eras -------------------------------------------------------------------

namespace {

StoreRows rowsOf(std::vector<StoreRow> Rows, std::uint64_t Version,
                 std::optional<std::uint64_t> Era) {
  StoreRows Result;
  Result.m_Rows = std::move(Rows);
  Result.m_Version = StoreVersion(Version);
  if (Era)
    Result.m_Era = StoreEra(*Era);
  return Result;
}

gateway::DirectoryUpdate updateOf(StoreRow Row, std::uint64_t After,
                                  std::optional<std::uint64_t> Era) {
  gateway::DirectoryUpdate Result;
  Result.m_Table = "t";
  Result.m_After = StoreVersion(After);
  Result.m_Version = Row.m_Version;
  Result.m_Rows = {std::move(Row)};
  if (Era)
    Result.m_Era = StoreEra(*Era);
  return Result;
}

} // namespace

// Guards against a long poll that was lost with the old store and delays what
// another call has found out, and against its late answer.
BOOST_AUTO_TEST_CASE(AnyAnswerOfALaterEraReadsTheTableAnew) {
  Fixture Test;
  Test.m_Store.answer(rowsOf({row("a", 5)}, 9, 1));
  BOOST_TEST(Test.takeReported() == "+a5 ");
  const auto LongPoll = Test.m_Store.m_Calls.back();
  BOOST_TEST(LongPoll.m_Kind == "follow");
  Test.m_Table.recordEra(StoreEra(1));
  Test.m_Timers.advance(0s);
  BOOST_TEST(Test.m_Store.m_Calls.size() == 1U);
  Test.m_Table.recordEra(StoreEra(2));
  Test.m_Timers.advance(0s);
  BOOST_REQUIRE(Test.m_Store.m_Calls.size() == 2U);
  BOOST_TEST(Test.m_Store.m_Calls.back().m_Kind == "read");
  LongPoll.m_Done(rowsOf({row("a", 10)}, 10, 1));
  BOOST_TEST(Test.takeReported().empty());
  Test.m_Store.answer(rowsOf({row("a", 4)}, 7, 2));
  BOOST_TEST(Test.takeReported() == "+a4 ");
  BOOST_TEST(Test.m_Store.m_Calls.back().m_After.value() == 7U);
}

// Guards against rows of two eras in one table, and against an answer of an
// earlier era that undoes a later one.
BOOST_AUTO_TEST_CASE(PagesOfTwoErasAreNotMixed) {
  Fixture Test;
  StoreRows FirstPage = rowsOf({row("a", 5)}, 9, 1);
  FirstPage.m_HasMore = true;
  Test.m_Store.answer(FirstPage);
  Test.m_Store.answer(rowsOf({row("b", 4)}, 7, 2));
  BOOST_TEST(Test.takeReported().empty());
  Test.m_Timers.advance(5s);
  Test.m_Store.answer(rowsOf({row("a", 4), row("b", 3)}, 7, 2));
  BOOST_TEST(Test.takeReported() == "+a4 +b3 ");
  Test.m_Store.answer(StoreFailure::HistoryDropped);
  Test.m_Timers.advance(5s);
  BOOST_TEST(Test.m_Store.m_Calls.back().m_Kind == "read");
  Test.m_Store.answer(rowsOf({row("a", 50)}, 99, 1));
  BOOST_TEST(Test.takeReported().empty());
}

// Guards against updates between instances that are in different eras.
BOOST_AUTO_TEST_CASE(UpdatesCountInTheirEraOnly) {
  Fixture Test;
  Test.m_Store.answer(rowsOf({row("a", 5)}, 9, 2));
  Test.takeReported();
  Test.m_Table.receiveUpdate(updateOf(row("a", 10), 9, 1));
  BOOST_TEST(Test.takeReported().empty());
  Test.m_Table.receiveUpdate(updateOf(row("a", 10), 9, 2));
  BOOST_TEST(Test.takeReported() == "+a10 ");
  // Of an instance of a version that knows no eras.
  Test.m_Table.receiveUpdate(updateOf(row("a", 11), 10, std::nullopt));
  BOOST_TEST(Test.takeReported() == "+a11 ");
  Test.m_Table.receiveUpdate(updateOf(row("a", 3), 2, 3));
  BOOST_TEST(Test.takeReported().empty());
  Test.m_Timers.advance(0s);
  BOOST_TEST(Test.m_Store.m_Calls.back().m_Kind == "read");
  Test.m_Store.answer(rowsOf({row("a", 3)}, 3, 3));
  BOOST_TEST(Test.takeReported() == "+a3 ");
  Test.m_Table.receiveUpdate(updateOf(row("a", 12), 3, std::nullopt));
  BOOST_TEST(Test.takeReported().empty());
  // Other instances learn of the era at once.
  BOOST_TEST((Test.m_Read.back().m_Era == StoreEra(3)));
  BOOST_TEST(Test.m_Read.back().m_Rows.empty());
}

// Guards against an era that is taken from something else, and against one that
// is not seen in an error.
BOOST_AUTO_TEST_CASE(ErasAreReadFromAnyAnswer) {
  const auto Read = [](const char *Text) {
    HttpAnswer Answer;
    Answer.m_Headers = {{"store-era", Text}};
    return eraOf(Answer);
  };
  BOOST_TEST((Read("7") == StoreEra(7)));
  BOOST_TEST((Read(" 7 ") == StoreEra(7)));
  for (const char *Bad : {"", "x", "-1", "7x", "99999999999999999999999"})
    BOOST_TEST(!Read(Bad));
  BOOST_TEST(!eraOf(HttpAnswer()));
}
