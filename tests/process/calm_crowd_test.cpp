/// Single requests at the limits at a real gateway that serves nobody else.
#define BOOST_TEST_MODULE calm_crowd
#include "process/crowded_gateway.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;

namespace {

std::string repeat(const std::string &Text, std::size_t Count) {
  std::string Result;
  for (std::size_t I = 0; I < Count; ++I)
    Result += Text;
  return Result;
}

} // namespace

// Guards against a bound for crowds that a caller within the limits meets.
BOOST_AUTO_TEST_CASE(SingleRequestsWithinTheLimitsAreServed) {
  constexpr std::size_t MaxHead = 16384;
  constexpr std::size_t MaxBody = 4 << 20;
  CrowdedGateway Gateway({MaxHead, MaxBody});
  const std::string End = "Content-Length: 1\r\n\r\nb";
  const std::string Head = CrowdedGateway::headOf("/plain/x", "calm");
  const std::size_t Left = MaxHead - Head.size() - End.size();
  BOOST_TEST(Gateway.isServed(Head + repeat("a:\r\n", Left / 4) + End));
  BOOST_TEST(Gateway.isServed(Head + "x-long: " + std::string(Left - 10, 'v') +
                              "\r\n" + End));
  BOOST_TEST(
      Gateway.isServed(Head + std::string(Left - 3, 'n') + ":\r\n" + End));
  BOOST_TEST(Gateway.isServed(CrowdedGateway::requestText(
      "/plain/" + std::string(Left, 't'), "calm", 1)));
  BOOST_TEST(Gateway.isServed(
      CrowdedGateway::requestText("/plain/x", std::string(Left, 'i'), 1)));
  BOOST_TEST(Gateway.isServed(
      CrowdedGateway::requestText("/plain/x", "calm", MaxBody)));
  constexpr std::size_t ChunkBytes = 0x1000;
  const std::string Chunk = "1000\r\n" + std::string(ChunkBytes, 'b') + "\r\n";
  BOOST_TEST(Gateway.isServed(Head + "Transfer-Encoding: chunked\r\n\r\n" +
                              repeat(Chunk, MaxBody / ChunkBytes) +
                              "0\r\n\r\n"));
  Gateway.checkUsage();
}
