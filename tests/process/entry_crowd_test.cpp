/// Crowds at a real entry.
#define BOOST_TEST_MODULE entry_crowd
#include "process/crowd.h"
#include "process/fleet.h"
#include "process/process_usage.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

const std::string Head = "POST /v1/services/desk/check HTTP/1.1\r\nHost: h\r\n"
                         "Authorization: Bearer workspace-key\r\n"
                         "Crowstep-Class: check\r\n"
                         "Content-Type: application/json\r\n";
constexpr std::size_t BodyBytes = 4 << 20;

const std::vector<CrowdCase> EntryCrowds = {
    {"heads without end", 200, {Head, "a:\r\n", 60'000}},
    {"a target without end", 200, {"POST /", "b", 1 << 20}},
    {"bodies that stop short",
     60,
     {Head + "Content-Length: 4194304\r\n\r\n", "b", BodyBytes - 1}},
    {"chunks that stop short",
     60,
     {Head + "Transfer-Encoding: chunked\r\n\r\n", bodyChunk(), BodyBytes}},
    {"nested values",
     60,
     {Head + "Content-Length: 4194304\r\n\r\n", "[1],", BodyBytes}},
    {"connections", 1100, {"", "", 0}},
};

} // namespace

// Guards against an entry whose memory or descriptors are used up by callers.
BOOST_AUTO_TEST_CASE(AnEntryBearsCrowds) {
  for (const CrowdCase &Sent : EntryCrowds)
    BOOST_TEST_CONTEXT(Sent.m_Name) {
      FleetPlan Plan;
      Plan.m_InstanceCount = 1;
      Plan.m_Limits = SmallMachine;
      Fleet Test(Plan);
      Test.start();
      TestInstance &Instance = Test.instances()[0];
      ProcessUsage Usage(Instance.m_Entry->pid(),
                         {Instance.m_CallerAddress.m_Port});
      const Crowd Senders(Instance.m_CallerAddress, Sent.m_ClientCount,
                          Sent.m_Script);
      BOOST_TEST(Usage.watchUntil([&] { return Senders.hasSettled(); }, 60s));
      constexpr int MaxTries = 3;
      unsigned Status = 0;
      for (int Try = 0; Try < MaxTries && Status != 200; ++Try)
        Status =
            Test.caller().call(Test.deskCall(0, "check", "", "{}")).m_Status;
      BOOST_TEST(Status == 200U);
      BOOST_TEST(Instance.m_Entry->isRunning());
      Usage.check();
    }
}
