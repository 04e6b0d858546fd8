/// Bounds on the connections of callers.
#include "http/connection_admission.h"

#include <algorithm>
#include <limits>
#include <sys/resource.h>

namespace crowstep {

namespace {

std::size_t processDescriptorLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0 || Limit.rlim_cur == RLIM_INFINITY)
    return std::numeric_limits<std::int32_t>::max();
  return Limit.rlim_cur;
}

} // namespace

std::string_view nameOf(ShedReason Reason) {
  switch (Reason) {
  case ShedReason::Overloaded:
    return "overloaded";
  case ShedReason::TooManyConnections:
    return "too_many_connections";
  case ShedReason::Count:
    break;
  }
  return "unknown";
}

ConnectionAdmission::ConnectionAdmission(const LoopLoad &Load) : m_Load(Load) {
  setDescriptors(std::numeric_limits<std::int32_t>::max());
}

void ConnectionAdmission::setDescriptors(std::size_t Descriptors) {
  m_MaxConnections = static_cast<std::size_t>(
      DescriptorShare *
      static_cast<double>(std::min(Descriptors, processDescriptorLimit())));
}

std::optional<ShedReason>
ConnectionAdmission::reasonToShed(std::size_t Open) const {
  if (Open >= m_MaxConnections)
    return ShedReason::TooManyConnections;
  if (m_Load.busyShare() > MaxBusyShare)
    return ShedReason::Overloaded;
  return std::nullopt;
}

} // namespace crowstep
