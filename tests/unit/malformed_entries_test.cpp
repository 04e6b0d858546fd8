/// Entries of upstreams from another writer: fields that are missing or of
/// another type, and bytes that can't be read.
#define BOOST_TEST_MODULE malformed_entries
#include "core/base64.h"
#include "manifest.h"
#include "store_directory.h"
#include "store_tables.h"
#include "table_follower.h"
#include "unit/simulated_store.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace crowstep;
using namespace crowstep::adapter;
using namespace crowstep::test;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

const char *const GoodEntry =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",)"
    R"("slots":4,"state":"ready","coldRemainingMs":0,"sequence":3,)"
    R"("born":1700000000000})";

/// Returns the good entry with \p Field set to the JSON text \p Value; empty:
/// without the field.
std::string entryWith(const std::string &Field, const std::string &Value) {
  Json Entry = Json::parse(GoodEntry);
  Entry.erase(Field);
  std::string Text = Entry.dump();
  if (!Value.empty())
    Text.insert(1, "\"" + Field + "\":" + Value + ",");
  return Text;
}

std::string nested(std::size_t Depth, char Open, char Close) {
  return std::string(Depth, Open) + std::string(Depth, Close);
}

/// Values of entries that name no upstream to use.
std::vector<std::string> malformedValues() {
  std::vector<std::string> Result = {
      "",
      "null",
      "7",
      "\"ready\"",
      "[]",
      "{}",
      "{",
      std::string("\xff\x00\x01", 3),
      std::string(GoodEntry) + "x",
      std::string(GoodEntry).substr(0, 40),
      "\xef\xbb\xbf" + std::string("{"),
      nested(30'000, '[', ']'),
      std::string(60'000, '['),
      entryWith("service", nested(30'000, '[', ']')),
      entryWith("zone", "\"a\xff\""),
  };
  for (const char *Field : {"service", "address", "zone", "slots", "state"})
    Result.push_back(entryWith(Field, ""));
  for (const char *Field : {"service", "address", "zone", "state"})
    for (const char *Value : {"1", "1.5", "true", "null", "[]", "{}"})
      Result.push_back(entryWith(Field, Value));
  for (const char *Value :
       {R"("here")", R"("10.0.0.9")", R"("10.0.0.9:0")", R"("10.0.0.9:70000")",
        R"("10.0.0.9:-1")", R"("10.0.0.9:80 ")", R"("300.0.0.9:80")", R"("")"})
    Result.push_back(entryWith("address", Value));
  for (const char *Value : {R"("asleep")", R"("")", R"("READY")"})
    Result.push_back(entryWith("state", Value));
  for (const char *Value :
       {R"("4")", "true", "false", "null", "4.5", "4.0", "-1", "0",
        "4294967296", "18446744073709551616", "1e300", "[4]", "{}"})
    Result.push_back(entryWith("slots", Value));
  for (const char *Value :
       {R"("1700000000000")", "true", "null", "1700000000000.5", "1.7e12", "-1",
        "18446744073709551615", "1e300", "[1]", "{}"})
    Result.push_back(entryWith("born", Value));
  for (const char *Field : {"coldRemainingMs", "sequence"})
    for (const char *Value : {R"("3")", "true", "null", "[]"})
      Result.push_back(entryWith(Field, Value));
  Result.push_back(entryWith("spot", "1"));
  return Result;
}

class Listener final : public gateway::DirectoryListener {
public:
  void tableChanged(gateway::RouteTablePtr) override {}
  void peersChanged(const gateway::PeerList &) override {}
  void quarantineChanged(const std::set<ContentHash> &) override {}
  void softwareRegistered(const gateway::ServiceVersions &) override {}
  void updateRead(const gateway::DirectoryUpdate &) override {}
  void upstreamsChanged(const std::vector<Upstream> &List) override {
    m_Names.clear();
    for (const Upstream &Item : List)
      m_Names.insert(Item.m_Name);
  }

  std::set<std::string> m_Names; ///< Listed now.
};

/// Answers calls with one body.
class FakeHttp final : public HttpClientInterface {
public:
  explicit FakeHttp(std::string Body) : m_Body(std::move(Body)) {}
  void call(const HttpCall &, Done OnDone) override {
    OnDone(HttpAnswer{200, m_Body, {}});
  }

private:
  std::string m_Body; ///< Of each answer.
};

std::string rowText(const std::string &Key, const std::string &Value) {
  return Json{
      {"key", Key}, {"schemaVersion", 5}, {"value", base64Encoded(Value)}}
      .dump();
}

std::string pageText(const std::string &Row) {
  return R"({"rows":[)" + rowText("a", GoodEntry) + "," + Row + "," +
         rowText("z", GoodEntry) + R"(],"schemaVersion":9})";
}

/// Returns the rows that a client reads from \p Body.
StoreResult readPage(const std::string &Body, Metrics &Stats) {
  StoreClient Client(std::make_unique<FakeHttp>(Body), {1, 2}, Stats);
  StoreResult Result = StoreFailure::Rejected;
  Client.read("servers", "",
              [&](StoreResult Read) { Result = std::move(Read); });
  return Result;
}

} // namespace

// Guards against a number, bool or fraction that is converted where another
// type belongs, and against an exception of a kind that callers don't catch.
BOOST_AUTO_TEST_CASE(MalformedValuesAreRejected) {
  BOOST_CHECK_NO_THROW(readUpstreamEntry("e", GoodEntry));
  for (const std::string &Value : malformedValues())
    BOOST_TEST_CONTEXT(Value.substr(0, 200))
  BOOST_CHECK_THROW(readUpstreamEntry("e", Value), StoreValueError);
}

// Guards against a name that would start another header, so that the call goes
// out without the name of the upstream that is meant.
BOOST_AUTO_TEST_CASE(NamesThatFitNoHeaderAreRejected) {
  for (const char *Name : {"", "e\r\nX: 1", "e\n", "e\x7f", "\x01"})
    BOOST_CHECK_THROW(readUpstreamEntry(Name, GoodEntry), StoreValueError);
}

// Guards against an entry that hides others, and against an upstream that is
// used by its earlier entry.
BOOST_AUTO_TEST_CASE(OtherEntriesStayValid) {
  for (const std::string &Value : malformedValues())
    BOOST_TEST_CONTEXT(Value.substr(0, 200)) {
      ManualClock Time;
      ManualScheduler Timers(Time);
      SimulatedStore Store(Time, Timers);
      Metrics Stats;
      Listener Seen;
      StoreDirectory Directory(Store.client(), {2s, 2s, 3s}, Time, Timers,
                               Stats, [] { return 0.5; });
      for (const char *Name : {"a", "changed", "z"})
        Store.put("servers", Name, GoodEntry);
      Store.put("servers", "bad", Value);
      Directory.start(Seen, {"edge-1", {0x0a000001, 7340}, {"z"}, 1});
      Timers.advance(5s);
      BOOST_TEST((Seen.m_Names == std::set<std::string>{"a", "changed", "z"}));
      Store.put("servers", "changed", Value);
      Store.put("servers", "later", GoodEntry);
      Timers.advance(5s);
      BOOST_TEST((Seen.m_Names == std::set<std::string>{"a", "later", "z"}));
    }
}

// Guards against a row that spoils the page it is read with: no upstream of
// the page would be known.
BOOST_AUTO_TEST_CASE(ABadRowSpoilsNoOther) {
  const std::string Good = base64Encoded(GoodEntry);
  // The key is readable, so the entry is one that can't be read.
  for (const std::string &Row :
       {std::string(R"({"key":"m","schemaVersion":5})"),
        std::string(R"({"key":"m","schemaVersion":5,"value":7})"),
        std::string(R"({"key":"m","schemaVersion":5,"value":null})"),
        std::string(R"({"key":"m","schemaVersion":5,"value":"no base64!"})"),
        std::string(R"({"key":"m","schemaVersion":5,"value":"abc"})"),
        std::string(R"({"key":"m","schemaVersion":5,"value":"ab=c"})"),
        R"({"key":"m","schemaVersion":5,"value":")" + Good + R"(\u0000"})",
        R"({"key":"m","schemaVersion":5,"deleted":1,"value":")" + Good + "\"}",
        R"({"key":"m","schemaVersion":5,"value":"ab)" + std::string("\xff") +
            "c\"}"})
    BOOST_TEST_CONTEXT(Row) {
      Metrics Stats;
      const StoreResult Read = readPage(pageText(Row), Stats);
      const auto *Rows = std::get_if<StoreRows>(&Read);
      BOOST_REQUIRE(Rows != nullptr);
      BOOST_REQUIRE(Rows->m_Rows.size() == 3U);
      BOOST_TEST(Rows->m_Rows[0].m_Value == GoodEntry);
      BOOST_TEST(Rows->m_Rows[1].m_Key == "m");
      BOOST_TEST(!Rows->m_Rows[1].m_Removed);
      BOOST_CHECK_THROW(readUpstreamEntry("m", Rows->m_Rows[1].m_Value),
                        StoreValueError);
      BOOST_TEST(Rows->m_Rows[2].m_Value == GoodEntry);
      BOOST_TEST(
          Stats.counter("crowstep_store_rows_unreadable_total").value() == 1U);
    }
  // Whose row it is, or which change, can't be told.
  for (const std::string &Row :
       {std::string("7"), std::string("null"), std::string("[]"),
        std::string("{}"), nested(30'000, '[', ']'),
        R"({"schemaVersion":5,"value":")" + Good + "\"}",
        R"({"key":7,"schemaVersion":5,"value":")" + Good + "\"}",
        R"({"key":"m","value":")" + Good + "\"}",
        R"({"key":"m","schemaVersion":"5","value":")" + Good + "\"}",
        R"({"key":"m","schemaVersion":true,"value":")" + Good + "\"}",
        R"({"key":"m","schemaVersion":-5,"value":")" + Good + "\"}",
        R"({"key":"m","schemaVersion":5.5,"value":")" + Good + "\"}",
        R"({"key":"m)" + std::string("\xff") +
            R"(","schemaVersion":5,"value":")" + Good + "\"}"})
    BOOST_TEST_CONTEXT(Row.substr(0, 200)) {
      Metrics Stats;
      const StoreResult Read = readPage(pageText(Row), Stats);
      const auto *Rows = std::get_if<StoreRows>(&Read);
      BOOST_REQUIRE(Rows != nullptr);
      BOOST_REQUIRE(Rows->m_Rows.size() == 2U);
      BOOST_TEST(Rows->m_Rows[0].m_Key == "a");
      BOOST_TEST(Rows->m_Rows[1].m_Key == "z");
      BOOST_TEST(
          Stats.counter("crowstep_store_rows_unreadable_total").value() == 1U);
    }
}

// Guards against a whole page of rows without keys, which would be read again
// and again without a pause.
BOOST_AUTO_TEST_CASE(APageWithoutAFurtherKeyIsNotReadAtOnceAgain) {
  class EndlessStore final : public Store {
  public:
    void onEra(EraCallback) override {}
    void read(const std::string &, const std::string &,
              ResultCallback OnDone) override {
      BOOST_REQUIRE(++m_Reads < 100);
      StoreRows Page;
      Page.m_Version = StoreVersion(3);
      Page.m_HasMore = true;
      OnDone(Page);
    }
    void follow(const std::string &, StoreVersion, Duration,
                ResultCallback) override {}
    void write(const StoreWrite &,
               std::function<void(StoreWriteResult)>) override {}
    int m_Reads = 0; ///< So far.
  };
  ManualClock Time;
  ManualScheduler Timers(Time);
  EndlessStore Source;
  TableFollower Table(Source, Time, Timers, "servers", [] { return 0.5; },
                      {[](const StoreRow &) {}, [] {},
                       [](const gateway::DirectoryUpdate &) {}});
  Table.start();
  BOOST_TEST(Source.m_Reads == 1);
  Timers.advance(2s);
  BOOST_TEST(Source.m_Reads > 1);
}

// Guards against rows of another writer that hide those of the duties.
BOOST_AUTO_TEST_CASE(ABadRowSpoilsNoTable) {
  Metrics Stats;
  for (const char *Row :
       {"7", R"({"key":7})", R"({"key":"m","schemaVersion":"x"})",
        R"({"key":"m","schemaVersion":5,"value":7})"}) {
    StoreTables Tables(std::make_unique<FakeHttp>(pageText(Row)), {1, 2},
                       Stats);
    platform::ReadResult Result;
    Tables.list("t", "",
                [&](platform::ReadResult Read) { Result = std::move(Read); });
    const auto *Rows = std::get_if<std::vector<platform::Row>>(&Result);
    BOOST_REQUIRE(Rows != nullptr);
    BOOST_TEST(std::ranges::count_if(*Rows, [](const platform::Row &Read) {
                 return Read.m_Value == GoodEntry;
               }) == 2);
  }
}

namespace {

const char *const GoodManifest =
    R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
    R"("routeKind":"streaming","gapAimMs":50,"timeoutMs":2000,)"
    R"("targetLatencyMs":100,"priority":1,"maxAttempts":2,"service":"s",)"
    R"("split":[{"service":"s","weight":1}]}],"services":[{"name":"s",)"
    R"("engine":{"kvCapacityTokens":9},"scaling":{"min":1,"max":2,"bootS":3,)"
    R"("zonePrices":{"z":1.5}}}],"tenants":[{"name":"w","apiKeys":["k"],)"
    R"("priority":1}],"limits":{"maxHeaderBytes":100,"maxBodyBytes":100,)"
    R"("headerTimeoutMs":100,"idleTimeoutMs":100}})";

/// Returns the good manifest with the value at \p Path set to the JSON text
/// \p Value.
std::string manifestWith(const std::string &Path, const std::string &Value) {
  Json Manifest = Json::parse(GoodManifest);
  Manifest[Json::json_pointer(Path)] = "@";
  std::string Text = Manifest.dump();
  return Text.replace(Text.find("\"@\""), 3, Value);
}

/// Values of manifests that can't be put in force.
std::vector<std::string> malformedManifests() {
  std::vector<std::string> Result = {"", "null", "[]", "{}",
                                     nested(60'000, '[', ']')};
  const std::vector<std::string> NoNumbers = {
      R"("1")", "true", "null", "[1]", "{}", "-1", "1e300", "1e400", "-1e300"};
  for (const char *Path :
       {"/version", "/routes/0/gapAimMs", "/routes/0/timeoutMs",
        "/routes/0/targetLatencyMs", "/routes/0/priority",
        "/routes/0/maxAttempts", "/services/0/engine/kvCapacityTokens",
        "/services/0/scaling/min", "/services/0/scaling/max",
        "/services/0/scaling/bootS", "/tenants/0/priority",
        "/limits/maxHeaderBytes", "/limits/maxBodyBytes",
        "/limits/headerTimeoutMs", "/limits/idleTimeoutMs"})
    for (const std::string &Value : NoNumbers)
      Result.push_back(manifestWith(Path, Value));
  for (const char *Path : {"/routes", "/routes/0/split", "/services",
                           "/tenants", "/tenants/0/apiKeys"})
    for (const char *Value : {"null", "{}", "7", "true", R"("x")"})
      Result.push_back(manifestWith(Path, Value));
  for (const char *Path :
       {"/services/0/engine", "/services/0/scaling", "/limits"})
    for (const char *Value : {"null", "7", "[]", R"("x")"})
      Result.push_back(manifestWith(Path, Value));
  for (const char *Value : {"7", "[1]", R"({"z":true})", R"({"z":-1})"})
    Result.push_back(manifestWith("/services/0/scaling/zonePrices", Value));
  for (const char *Path : {"/routes/0/priority", "/routes/0/maxAttempts",
                           "/services/0/scaling/max", "/tenants/0/priority"})
    Result.push_back(manifestWith(Path, "4294967296"));
  Result.push_back(manifestWith("/version", "18446744073709551616"));
  return Result;
}

} // namespace

// Guards against numbers that are reduced to others, and against a list that is
// taken for an empty one: keys would not be checked, or no route be known.
BOOST_AUTO_TEST_CASE(MalformedManifestsAreRejected) {
  BOOST_CHECK_NO_THROW(readManifest(GoodManifest));
  for (const std::string &Value : malformedManifests())
    BOOST_TEST_CONTEXT(Value.substr(0, 700))
  BOOST_CHECK_THROW(readManifest(Value), StoreValueError);
}

// Guards against a manifest whose version is reduced to a high one, after which
// no other would come into force.
BOOST_AUTO_TEST_CASE(AMalformedManifestHidesNoLaterOne) {
  class TableListener final : public gateway::DirectoryListener {
  public:
    void tableChanged(gateway::RouteTablePtr Table) override {
      m_Version = Table->version().value();
    }
    void peersChanged(const gateway::PeerList &) override {}
    void quarantineChanged(const std::set<ContentHash> &) override {}
    void softwareRegistered(const gateway::ServiceVersions &) override {}
    void updateRead(const gateway::DirectoryUpdate &) override {}
    void upstreamsChanged(const std::vector<Upstream> &) override {}
    std::uint64_t m_Version = 0; ///< In force.
  };
  ManualClock Time;
  ManualScheduler Timers(Time);
  SimulatedStore Store(Time, Timers);
  Metrics Stats;
  TableListener Seen;
  StoreDirectory Directory(Store.client(), {2s, 2s, 3s}, Time, Timers, Stats,
                           [] { return 0.5; });
  Store.put("op", "config", GoodManifest);
  Directory.start(Seen, {"edge-1", {0x0a000001, 7340}, {"z"}, 1});
  Timers.advance(5s);
  BOOST_TEST(Seen.m_Version == 1U);
  for (const std::string &Value : malformedManifests()) {
    Store.put("op", "config", Value);
    Timers.advance(5s);
    BOOST_TEST(Seen.m_Version == 1U);
  }
  Store.put("op", "config", manifestWith("/version", "2"));
  Timers.advance(5s);
  BOOST_TEST(Seen.m_Version == 2U);
}

// Guards against a text near a proper one at which a reader throws an error
// that its callers don't catch.
BOOST_AUTO_TEST_CASE(MutatedTextsAreReadOrRejected) {
  const auto Mutated = [](std::string Text) {
    static const std::vector<std::string> Pieces = {
        "-1",     "1e400", "99999999999999999999",
        "1.5",    "null",  "[",
        "]",      "{",     "}",
        "\"",     "\\",    ",",
        ":",      "\xff",  "\xc3",
        "\\ud800"};
    const int Edits = *rc::gen::inRange(1, 5);
    for (int I = 0; I < Edits; ++I) {
      const std::size_t At = *rc::gen::inRange<std::size_t>(0, Text.size());
      const std::size_t Cut = *rc::gen::inRange<std::size_t>(0, 8);
      Text.replace(At, Cut, *rc::gen::elementOf(Pieces));
    }
    return Text;
  };
  BOOST_TEST(rc::check("mutated texts", [&] {
    try {
      readUpstreamEntry("e", Mutated(GoodEntry));
    } catch (const StoreValueError &) {
    }
    try {
      readManifest(Mutated(GoodManifest));
    } catch (const StoreValueError &) {
    }
    readReport(Mutated(GoodEntry), 1ms);
    Metrics Stats;
    const std::string Odd = Mutated(rowText("m", GoodEntry));
    readPage(pageText(Odd), Stats);
  }));
}
