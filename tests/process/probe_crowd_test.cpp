/// Crowds at the port for probes of a real gateway.
#define BOOST_TEST_MODULE probe_crowd
#include "process/crowded_gateway.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;

namespace {

struct ProbeCrowd {
  const char *m_Name;
  std::size_t m_ClientCount;
  CrowdScript m_Script;
};

const std::string Head = "POST /metrics HTTP/1.1\r\nHost: h\r\n";
const std::string Chunk = "1000\r\n" + std::string(0x1000, 'b') + "\r\n";
constexpr std::size_t BodyBytes = 16 << 20;

const std::vector<ProbeCrowd> ProbeCrowds = {
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

// Guards against a process whose memory or descriptors are used up at a port
// that has little to do.
BOOST_AUTO_TEST_CASE(ProbesLeaveRoomForCallers) {
  for (const ProbeCrowd &Sent : ProbeCrowds)
    BOOST_TEST_CONTEXT(Sent.m_Name) {
      CrowdedGateway Gateway;
      const Crowd Senders(Gateway.probeAddress(), Sent.m_ClientCount,
                          Sent.m_Script);
      Gateway.watchUntilSettled(Senders);
      BOOST_TEST(Gateway.isServed());
      Gateway.checkUsage();
    }
}
