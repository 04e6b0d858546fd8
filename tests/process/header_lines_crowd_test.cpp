/// Whole requests of very many header lines at a real gateway.
#define BOOST_TEST_MODULE header_lines_crowd
#include "process/crowded_gateway.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;

namespace {

constexpr std::size_t ClientCount = 400;

/// Lines of four bytes, beside the others of a request, within the limit on a
/// head of 16 KiB.
constexpr std::size_t LineCount = 4000;

std::string requestWith(const std::string &Path, const std::string &Line) {
  std::string Result = CrowdedGateway::headOf(Path, "client-{n}");
  for (std::size_t I = 0; I < LineCount; ++I)
    Result += Line;
  return Result + "Content-Length: 1\r\n\r\nb";
}

} // namespace

// Guards against requests that take many times their size while they wait for
// an answer.
BOOST_AUTO_TEST_CASE(WaitingRequestsOfManyLinesLeaveRoomForOthers) {
  CrowdedGateway Gateway;
  const Crowd Senders(Gateway.callerAddress(), ClientCount,
                      {requestWith("/held/x", "a:\r\n"), "", 0});
  Gateway.watchUntilSettled(Senders);
  BOOST_TEST(Gateway.isServed());
  Gateway.checkUsage();
}

// Guards against work that grows with the square of the number of lines.
BOOST_AUTO_TEST_CASE(RequestsOfManyLinesAreAnswered) {
  CrowdedGateway Gateway;
  const Crowd Senders(Gateway.callerAddress(), ClientCount,
                      {requestWith("/plain/x", "a:\r\n"), "", 0});
  Gateway.watchUntilSettled(Senders);
  BOOST_TEST(Gateway.isServed());
  Gateway.checkUsage();
}
