/// The division of a process's memory.
#define BOOST_TEST_MODULE memory_plan
#include "core/memory_plan.h"

#include <boost/test/unit_test.hpp>
#include <sys/resource.h>

using namespace crowstep;

// Guards against parts that together need more than the process has, beside
// what isn't counted.
BOOST_AUTO_TEST_CASE(ThePartsLeaveHalfOfTheMemory) {
  for (const std::size_t Megabytes : {48, 88, 110, 260, 512, 24'000}) {
    const std::size_t Total = Megabytes * Megabyte;
    const MemoryPlan Plan = planMemory(Total);
    BOOST_TEST(Plan.m_Requests + Plan.m_Answers <= Total / 2);
    BOOST_TEST(Plan.m_Unread < Plan.m_Answers);
  }
}

// Guards against a bound that a single request within the usual limits meets.
BOOST_AUTO_TEST_CASE(TheSmallestMachineHoldsTheLongestBodies) {
  constexpr std::size_t LongestBody = 4U << 20U;
  constexpr std::size_t Copies = 2;
  const MemoryPlan Plan = planMemory(88 * Megabyte);
  BOOST_TEST(Plan.m_Requests > 2 * Copies * LongestBody);
  BOOST_TEST(Plan.m_Answers > 2 * LongestBody);
}

// Guards against a process that fills the machine, or is ended by the kernel's
// limit, because the settings state no memory or too much.
BOOST_AUTO_TEST_CASE(TheKernelsLimitBoundsWhatIsStated) {
  rlimit Before{};
  BOOST_REQUIRE(getrlimit(RLIMIT_DATA, &Before) == 0);
  constexpr std::size_t LimitBytes = 1U << 30U;
  const rlimit Limit = {LimitBytes, Before.rlim_max};
  BOOST_REQUIRE(setrlimit(RLIMIT_DATA, &Limit) == 0);
  BOOST_TEST(usableMemory(0) == LimitBytes);
  BOOST_TEST(usableMemory(2 * LimitBytes) == LimitBytes);
  BOOST_TEST(usableMemory(LimitBytes / 2) == LimitBytes / 2);
  setrlimit(RLIMIT_DATA, &Before);
}
