/// How the memory that a process may use is divided among its parts.
#ifndef CROWSTEP_CORE_MEMORY_PLAN_H
#define CROWSTEP_CORE_MEMORY_PLAN_H

#include "core/settings.h"

#include <cstddef>

namespace crowstep {

/// Bounds in bytes. The rest is for what isn't counted: the program and its
/// libraries, the directory of upstreams and instances, links, the copies that
/// a request has for a moment, and what the kernel holds.
struct MemoryPlan {
  std::size_t m_Requests = 0; ///< Of callers, until their answers end.
  std::size_t m_Answers = 0;  ///< Unfinished, and unread by callers.
  std::size_t m_Unread = 0;   ///< The part of m_Answers that callers may leave
                              ///< unread.
};

/// Bytes in a megabyte of the settings.
inline constexpr std::size_t Megabyte = 1'000'000;

/// Reads memory_mb of a section: the memory that the process may use, in bytes;
/// 0 if it isn't stated. \throws SettingError.
[[nodiscard]] std::size_t readMemory(Settings &File,
                                     const std::string &Section);

/// Returns the plan of a process that may use \p TotalBytes.
[[nodiscard]] MemoryPlan planMemory(std::size_t TotalBytes);

/// Returns what this process may use: the least of \p StatedBytes, the kernel's
/// limit on its data and the machine's memory. 0: nothing is stated.
[[nodiscard]] std::size_t usableMemory(std::size_t StatedBytes);

} // namespace crowstep

#endif // CROWSTEP_CORE_MEMORY_PLAN_H
