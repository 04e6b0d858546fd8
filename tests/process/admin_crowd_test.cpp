/// Crowds at the administration port of a real dispatcher.
#define BOOST_TEST_MODULE admin_crowd
#include "process/crowd.h"
#include "process/fleet.h"
#include "process/process_usage.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

struct AdminCrowd {
  const char *m_Name;
  std::size_t m_ClientCount;
  CrowdScript m_Script;
};

const std::string Head = "POST /v1/table HTTP/1.1\r\nHost: h\r\n";
const std::string Chunk = "1000\r\n" + std::string(0x1000, 'b') + "\r\n";
constexpr std::size_t BodyBytes = 16 << 20;

const std::vector<AdminCrowd> AdminCrowds = {
    {"bodies",
     20,
     {Head + "Content-Length: 16777216\r\n\r\n", "b", BodyBytes - 1}},
    {"bodies in chunks",
     20,
     {Head + "Transfer-Encoding: chunked\r\n\r\n", Chunk, BodyBytes}},
    {"heads without end", 400, {Head, "a:\r\n", 200'000}},
    {"connections", 1100, {"", "", 0}},
};

} // namespace

// Guards against a dispatcher whose memory or descriptors are used up by those
// who hold no operator's key.
BOOST_AUTO_TEST_CASE(ADispatcherBearsCrowds) {
  for (const AdminCrowd &Sent : AdminCrowds)
    BOOST_TEST_CONTEXT(Sent.m_Name) {
      FleetPlan Plan;
      Plan.m_InstanceCount = 1;
      Plan.m_Limits = SmallMachine;
      Fleet Test(Plan);
      Test.start();
      TestInstance &Instance = Test.instances()[0];
      ProcessUsage Usage(Instance.m_Dispatcher->pid(),
                         {Instance.m_AdminAddress.m_Port});
      const Crowd Senders(Instance.m_AdminAddress, Sent.m_ClientCount,
                          Sent.m_Script);
      BOOST_TEST(runUntil(
          [&] {
            Usage.sample();
            return Senders.hasSettled();
          },
          60s));
      BOOST_TEST(
          Test.caller().call(Test.deskCall(0, "check", "", "{}")).m_Status ==
          200U);
      BOOST_TEST(Test.caller()
                     .json("GET", Instance.m_AdminAddress, "/v1/status",
                           nullptr, "operator-key")
                     .is_object());
      BOOST_TEST(Instance.m_Dispatcher->isRunning());
      Usage.check();
    }
}
