/// Rows of the register of software versions in the store.
#define BOOST_TEST_MODULE software_rows
#include "peer_registry.h"
#include "unit/simulated_store.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::adapter;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

using gateway::ServiceVersions;

const std::string Table = PeerRegistry::TableName;

/// Longer than the pause between two reads.
constexpr Duration ReadTime = 4s;

struct Env {
  /// One instance, which reads on its own.
  struct Instance {
    explicit Instance(Env &Owner)
        : m_Client(Owner.m_Store.client()),
          m_Registry(
              *m_Client, Owner.m_Clock, Owner.m_Timers, [] { return 0.5; },
              [](const gateway::PeerList &) {},
              [](const std::set<ContentHash> &) {},
              [](const gateway::DirectoryUpdate &) {}) {
      m_Registry.onSoftware(
          [this](const ServiceVersions &All) { m_Registered = All; });
      m_Registry.start({"edge-1", {0x0a000001, 7340}, {"a"}, 1});
    }
    std::unique_ptr<Store> m_Client;
    std::optional<ServiceVersions> m_Registered; ///< None: not read.
    PeerRegistry m_Registry;
  };

  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  SimulatedStore m_Store{m_Clock, m_Timers};
};

} // namespace

// Guards against a register that nobody else can read.
BOOST_AUTO_TEST_CASE(RowsAreWrittenAndRead) {
  Env World;
  Env::Instance First(World);
  BOOST_TEST(!First.m_Registered.has_value());
  World.m_Timers.advance(ReadTime);
  BOOST_TEST((First.m_Registered == ServiceVersions()));
  First.m_Registry.registerSoftware("s", "v1");
  First.m_Registry.registerSoftware("s", "");
  World.m_Timers.advance(100ms);
  const ServiceVersions Both = {{"s", {"", "v1"}}};
  BOOST_TEST((First.m_Registered == Both));
  Env::Instance Second(World);
  World.m_Timers.advance(ReadTime);
  BOOST_TEST((Second.m_Registered == Both));
  const std::uint64_t Calls = World.m_Store.calls();
  Second.m_Registry.registerSoftware("s", "v1");
  BOOST_TEST(World.m_Store.calls() == Calls);
  Second.m_Registry.unregisterSoftware("s", "");
  World.m_Timers.advance(ReadTime);
  BOOST_TEST((First.m_Registered == ServiceVersions{{"s", {"v1"}}}));
}

// Guards against one malformed row that hides the others, and against rows that
// could never be removed.
BOOST_AUTO_TEST_CASE(MalformedRowsAreIgnored) {
  Env World;
  World.m_Store.put(Table, "#software/1", "{");
  World.m_Store.put(Table, "#software/2", R"({"service":"s"})");
  World.m_Store.put(Table, "#software/3", R"({"service":1,"version":"v"})");
  World.m_Store.put(Table, "#software/4", R"({"service":"s","version":"v"})");
  Env::Instance Reader(World);
  World.m_Timers.advance(ReadTime);
  Reader.m_Registry.registerSoftware("s", "v1");
  World.m_Timers.advance(ReadTime);
  BOOST_TEST((Reader.m_Registered == ServiceVersions{{"s", {"v1"}}}));
}

// Guards against versions that are forgotten with rows which the store loses.
BOOST_AUTO_TEST_CASE(LostRowsCountAndAreWrittenAgain) {
  Env World;
  Env::Instance Kept(World);
  World.m_Timers.advance(ReadTime);
  World.m_Store.takeCopy();
  Kept.m_Registry.registerSoftware("s", "v1");
  World.m_Timers.advance(ReadTime);
  const ServiceVersions Expected = {{"s", {"v1"}}};
  World.m_Store.restoreCopy();
  for (int I = 0; I < 100; ++I) {
    World.m_Timers.advance(100ms);
    BOOST_TEST((Kept.m_Registered == Expected));
  }
  Env::Instance Later(World);
  World.m_Timers.advance(ReadTime);
  BOOST_TEST((Later.m_Registered == Expected));
}

// Guards against a version that counts as registered although its row is gone.
BOOST_AUTO_TEST_CASE(AnUnconfirmedRowIsForgotten) {
  Env World;
  World.m_Store.takeCopy();
  Env::Instance Writer(World);
  World.m_Timers.advance(ReadTime);
  World.m_Store.put(Table, "edge-2", "{}");
  World.m_Timers.advance(10ms); // The pause before the next read has begun.
  Writer.m_Registry.registerSoftware("s", "v1");
  World.m_Timers.advance(6ms);
  BOOST_TEST((Writer.m_Registered == ServiceVersions{{"s", {"v1"}}}));
  World.m_Store.restoreCopy();
  World.m_Store.setMode(SimulatedStore::Mode::Cut);
  World.m_Timers.advance(PeerRegistry::UnconfirmedMemory);
  BOOST_TEST((Writer.m_Registered == ServiceVersions()));
}
