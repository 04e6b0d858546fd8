/// Calls to the store over real sockets.
#define BOOST_TEST_MODULE store_client
#include "store_client.h"
#include "unit/loopback_peer.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::adapter;
using namespace crowstep::test;
using namespace std::chrono_literals;

// Callers get answers of an upstream seconds after it left. Its instance is cut
// off from the store, and the call that is to wait for changes needs a new
// connection just then. The kernel repeats the opening packet after 1, 3, 7 and
// 15 s: the way has long been back, and the instance hears nothing yet. Cause:
// the limit of such a call is its wait, 30 s, and none was set for connecting;
// the log had the loss of two tables and nothing of the third for 12.4 s.
BOOST_AUTO_TEST_CASE(AWaitingCallThatGetsNoConnectionEndsSoon) {
  DeafListener Store;
  LoopClock Time;
  Metrics Stats;
  StoreClient Client(std::make_unique<HttpClient>(), Store.m_Address, Stats);
  std::optional<StoreResult> Result;
  const TimePoint Begin = Time.fresh();
  Client.follow("servers", StoreVersion(1), 5s,
                [&](const StoreResult &Told) { Result = Told; });
  BOOST_TEST(pumpUntil([&] { return Result.has_value(); }));
  BOOST_TEST((Time.fresh() - Begin < 1s));
  BOOST_TEST((std::get<StoreFailure>(*Result) == StoreFailure::Unreachable));
}
