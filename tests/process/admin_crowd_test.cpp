/// Crowds at the administration port of a real dispatcher.
#define BOOST_TEST_MODULE admin_crowd
#include "process/crowd.h"
#include "process/fleet.h"
#include "process/process_usage.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

// Guards against a dispatcher whose memory or descriptors are used up by those
// who hold no operator's key.
BOOST_AUTO_TEST_CASE(ADispatcherBearsCrowds) {
  for (const CrowdCase &Sent : sidePortCrowds("/v1/table"))
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
      BOOST_TEST(Usage.watchUntil([&] { return Senders.hasSettled(); }, 60s));
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
