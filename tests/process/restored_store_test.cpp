/// A store that comes back from an older copy and gives out its versions again.
/// Real gateways run between a store stand-in and upstreams in the test's own
/// main loop.
#define BOOST_TEST_MODULE restored_store
#include "process/gateway_fleet.h"
#include "process/restarting_upstream.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;
using Json = nlohmann::json;
using standin::StoreServer;

namespace {

/// A table must be in force everywhere this long after it was acknowledged.
constexpr Duration ApplyTime = 2s;

class RestoredFleet : public GatewayFleet {
public:
  RestoredFleet() : GatewayFleet(4) {
    m_Upstream = std::make_unique<RestartingUpstream>(
        0, *this, [](SoupServerMessage *) { return false; });
    m_Table = Json::parse(m_Store.value("op", "config"));
    BOOST_TEST(startAll());
    runFor(4s);
  }

  /// The operator writes the next version of the table, with these keys.
  void writeTable(const std::vector<std::string> &Keys) {
    m_Table["version"] = m_Table.at("version").get<int>() + 1;
    m_Table["tenants"] = {{{"name", "w"}, {"apiKeys", Keys}}};
    m_Store.put("op", "config", m_Table.dump());
  }

  /// Writes rows that the copy doesn't have.
  void writeOthers(int Count) {
    for (int I = 0; I < Count; ++I)
      m_Store.put("elsewhere", "row", std::to_string(I));
  }

  /// Lets the store be away for \p Away and come back from its copy.
  void restore(Duration Away) {
    m_Store.setMode(StoreServer::Mode::Busy);
    runFor(Away);
    m_Store.restoreCopy();
    m_Store.setMode(StoreServer::Mode::Up);
  }

  /// Returns the statuses of a request with \p Key at each gateway.
  std::vector<unsigned> statuses(const std::string &Key) {
    std::vector<unsigned> Result;
    for (std::size_t I = 0; I < size(); ++I) {
      Call Request = request(I, "/idempotent/x", "body");
      Request.m_Headers["X-Key"] = Key;
      Result.push_back(m_Caller.call(Request).m_Status);
    }
    return Result;
  }

  [[nodiscard]] std::vector<unsigned> all(unsigned Status) const {
    return std::vector<unsigned>(size(), Status);
  }

  std::unique_ptr<RestartingUpstream> m_Upstream; ///< Of all calls.

private:
  Json m_Table; ///< As last written by the operator.
};

} // namespace

// Guards against a table that comes into force late, or never, since the store
// gives out versions again that instances have seen before.
BOOST_AUTO_TEST_CASE(ATableWrittenAfterARestoreIsInForceInTime) {
  for (const Duration Away : {0ms, 700ms, 2500ms}) {
    RestoredFleet Fleet;
    Fleet.m_Store.takeCopy();
    Fleet.writeOthers(10);
    Fleet.writeTable({"key-1", "key-2"});
    runFor(ApplyTime);
    BOOST_TEST(Fleet.statuses("key-2") == Fleet.all(200));
    Fleet.restore(Away);
    // The operator finds out what is gone and writes it again.
    runFor(300ms);
    Fleet.writeTable({"key-1", "key-3"});
    runFor(ApplyTime);
    BOOST_TEST_CONTEXT("away for " << Away.count() << " us") {
      BOOST_TEST(Fleet.statuses("key-2") == Fleet.all(401));
      BOOST_TEST(Fleet.statuses("key-3") == Fleet.all(200));
      BOOST_TEST(Fleet.statuses("key-1") == Fleet.all(200));
    }
  }
}

// Guards against a table that is older than the one in force, and against a
// second restore that is missed amid the first one's repair.
BOOST_AUTO_TEST_CASE(NoOlderTableComesIntoForceByRestores) {
  RestoredFleet Fleet;
  Fleet.m_Store.takeCopy();
  Fleet.writeOthers(5);
  Fleet.writeTable({"key-2"});
  runFor(ApplyTime);
  for (int Round = 0; Round < 2; ++Round) {
    Fleet.restore(100ms);
    for (int Check = 0; Check < 6; ++Check) {
      runFor(100ms);
      BOOST_TEST(Fleet.statuses("key-2") == Fleet.all(200));
      BOOST_TEST(Fleet.statuses("key-1") == Fleet.all(401));
    }
  }
  Fleet.writeTable({"key-3"});
  runFor(ApplyTime);
  BOOST_TEST(Fleet.statuses("key-3") == Fleet.all(200));
  BOOST_TEST(Fleet.statuses("key-2") == Fleet.all(401));
}

// Guards against rows of the system itself that are gone for good with what the
// store has forgotten.
BOOST_AUTO_TEST_CASE(RowsOfTheSystemAreWrittenAgain) {
  constexpr const char *Instances = "crowstep_instances";
  RestoredFleet Fleet;
  Fleet.killAll();
  const std::string Key = Fleet.m_Store.value(Instances, "#link-key");
  for (const char *Row : {"#link-key", "edge-0", "edge-1", "edge-2", "edge-3"})
    Fleet.m_Store.put(Instances, Row, "");
  Fleet.m_Store.takeCopy();
  BOOST_TEST(Fleet.startAll());
  runFor(4s);
  const std::string NewKey = Fleet.m_Store.value(Instances, "#link-key");
  BOOST_TEST(!NewKey.empty());
  BOOST_TEST(NewKey != Key);
  Fleet.restore(200ms);
  BOOST_TEST(Fleet.m_Store.value(Instances, "#link-key") == "");
  BOOST_TEST(runUntil(
      [&] { return !Fleet.m_Store.value(Instances, "#link-key").empty(); },
      10s));
  BOOST_TEST(Fleet.m_Store.value(Instances, "#link-key") == NewKey);
  for (const char *Row : {"edge-0", "edge-1", "edge-2", "edge-3"})
    BOOST_TEST(runUntil(
        [&] { return !Fleet.m_Store.value(Instances, Row).empty(); }, 10s));
}
