/// How the memory that a process may use is divided among its parts.
#include "core/memory_plan.h"

#include <algorithm>
#include <limits>
#include <sys/resource.h>
#include <unistd.h>

namespace crowstep {

namespace {

// A process with more memory keeps the rest free: no load needs it.
constexpr std::size_t MaxRequests = 32U << 20U;
constexpr std::size_t MaxAnswers = 32U << 20U;

// Divisors of the total.
constexpr std::size_t RequestShare = 4;
constexpr std::size_t AnswerShare = 4;
constexpr std::size_t UnreadShare = 2; // Of the answers.

std::size_t dataLimit() {
  rlimit Limit{};
  return getrlimit(RLIMIT_DATA, &Limit) != 0 || Limit.rlim_cur == RLIM_INFINITY
             ? std::numeric_limits<std::size_t>::max()
             : Limit.rlim_cur;
}

std::size_t machineMemory() {
  const long Pages = sysconf(_SC_PHYS_PAGES);
  const long PageSize = sysconf(_SC_PAGESIZE);
  return Pages <= 0 || PageSize <= 0 ? std::numeric_limits<std::size_t>::max()
                                     : static_cast<std::size_t>(Pages) *
                                           static_cast<std::size_t>(PageSize);
}

} // namespace

std::size_t readMemory(Settings &File, const std::string &Section) {
  // With less, the program itself has no room.
  constexpr std::int64_t MinMegabytes = 16;
  constexpr std::int64_t MaxMegabytes = 1'000'000;
  constexpr std::int64_t NotStated = 0;
  const std::int64_t Stated =
      File.integer(Section, "memory_mb", MinMegabytes, MaxMegabytes, NotStated);
  return static_cast<std::size_t>(Stated) * Megabyte;
}

MemoryPlan planMemory(std::size_t TotalBytes) {
  MemoryPlan Result;
  Result.m_Requests = std::min(MaxRequests, TotalBytes / RequestShare);
  Result.m_Answers = std::min(MaxAnswers, TotalBytes / AnswerShare);
  Result.m_Unread = Result.m_Answers / UnreadShare;
  return Result;
}

std::size_t usableMemory(std::size_t StatedBytes) {
  const std::size_t Allowed = std::min(dataLimit(), machineMemory());
  return StatedBytes == 0 ? Allowed : std::min(StatedBytes, Allowed);
}

} // namespace crowstep
