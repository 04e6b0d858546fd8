/// Upstreams whose answers never end, a hundred at once, at a real gateway.
#define BOOST_TEST_MODULE endless_answer
#include "process/endless_server.h"
#include "process/gateway_fleet.h"
#include "process/raw_caller.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

constexpr int RequestCount = 100;

/// Resident memory that the gateway may use beyond that of its start.
constexpr std::size_t MaxGrowth = 80 << 20;

std::size_t residentBytes(pid_t Process) {
  std::ifstream File("/proc/" + std::to_string(Process) + "/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

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
      GatewayFleet Fleet(1);
      EndlessServer Upstream(Answer.m_Begin, Answer.m_Repeated);
      Fleet.m_Store.put(
          "servers", "u",
          upstreamRow(Upstream.address(), 2 * RequestCount, "ready"));
      BOOST_TEST(Fleet.startAll());
      runFor(1s);
      const pid_t Gateway = Fleet.process(0).pid();
      const std::size_t Before = residentBytes(Gateway);
      RawCaller Caller;
      std::vector<std::shared_ptr<const CallResult>> Results;
      Results.reserve(RequestCount);
      for (int I = 0; I < RequestCount; ++I)
        Results.push_back(Caller.start(Fleet.request(0, Answer.m_Path, "b")));
      std::size_t Most = Before;
      const bool HaveEnded = runUntil(
          [&] {
            Most = std::max(Most, residentBytes(Gateway));
            return std::ranges::all_of(
                Results, [](const auto &Result) { return Result->m_Ended; });
          },
          10s);
      BOOST_TEST_MESSAGE("grew by " << ((Most - Before) >> 10U) << " KiB");
      BOOST_TEST(HaveEnded);
      BOOST_TEST(Most - Before < MaxGrowth);
      BOOST_TEST(Fleet.process(0).isRunning());
      for (const auto &Result : Results)
        BOOST_TEST(Result->m_Status >= 500U);
    }
}
