/// Upstreams whose answers never end, a hundred at once, at a real gateway.
#define BOOST_TEST_MODULE endless_answer
#include "process/endless_server.h"
#include "process/raw_caller.h"
#include "process/watched_gateway.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

constexpr int RequestCount = 100;

struct EndlessAnswer {
  const char *m_Name;
  const char *m_Path;     ///< Of the requests.
  const char *m_Begin;    ///< See EndlessServer.
  const char *m_Repeated; ///< See EndlessServer.
};

constexpr const char *GoodHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n"
                                 "X-Server-Signature: s\r\n\r\n";

constexpr std::array EndlessAnswers = {
    EndlessAnswer{"interim heads", "/idempotent/x", "",
                  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
    EndlessAnswer{"a header", "/idempotent/x",
                  "HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaa"},
    EndlessAnswer{"a body", "/non_idempotent/x", GoodHead, "aaaaaaaa"},
    EndlessAnswer{"an event", "/streaming/x", GoodHead, "data: aaaaaaaa\n"},
};

} // namespace

// Guards against a gateway whose memory is used up by answers that never end.
BOOST_AUTO_TEST_CASE(AHundredAnswersWithoutEndLeaveTheMemoryFlat) {
  for (const EndlessAnswer &Answer : EndlessAnswers)
    BOOST_TEST_CONTEXT(Answer.m_Name) {
      const EndlessServer Upstream(Answer.m_Begin, Answer.m_Repeated);
      WatchedGateway Gateway(Upstream.address(), 2 * RequestCount);
      RawCaller Caller;
      std::vector<std::shared_ptr<const CallResult>> Results;
      Results.reserve(RequestCount);
      for (int I = 0; I < RequestCount; ++I)
        Results.push_back(
            Caller.start(Gateway.m_Fleet.request(0, Answer.m_Path, "b")));
      const bool HaveEnded = Gateway.watchUntil(
          [&] {
            return std::ranges::all_of(
                Results, [](const auto &Result) { return Result->m_Ended; });
          },
          10s);
      BOOST_TEST(HaveEnded);
      BOOST_TEST(Gateway.growth() < WatchedGateway::MaxGrowth);
      BOOST_TEST(Gateway.isRunning());
      for (const auto &Result : Results)
        BOOST_TEST(Result->m_Status >= 500U);
    }
}
