/// Bodies in chunks that stop before their end at a real gateway.
#define BOOST_TEST_MODULE stalled_chunks_crowd
#include "process/crowded_gateway.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;

namespace {

constexpr std::size_t ClientCount = 60;
constexpr std::size_t OrdinaryBytes = 100 << 10;

} // namespace

// Guards against bodies that never arrive whole and keep the room of those that
// do.
BOOST_AUTO_TEST_CASE(BodiesInChunksThatStopLeaveRoomForOthers) {
  const CrowdLimits Limits;
  CrowdedGateway Gateway(Limits);
  const std::string Chunk = bodyChunk();
  const std::string Head = CrowdedGateway::headOf("/plain/x", "client-{n}") +
                           "Transfer-Encoding: chunked\r\n\r\n";
  const std::size_t Chunks = Limits.m_MaxBodyBytes / 0x1000;
  const Crowd Senders(Gateway.callerAddress(), ClientCount,
                      {Head, Chunk, Chunks * Chunk.size()});
  Gateway.watchUntilSettled(Senders);
  BOOST_TEST(Gateway.isServed(OrdinaryBytes));
  Gateway.checkUsage();
}
