/// Which new connections of callers are served.
///
/// A caller whose connection is closed before its request was read tries
/// another instance at once, whatever its request does. A request that was read
/// and then fails, or is late, is lost time at best. So an instance that can't
/// serve more closes new connections unread, and keeps its resources for those
/// that it has accepted. It needs no knowledge of others: balancers may hand
/// most connections to one instance, while all others have room.
#ifndef CROWSTEP_HTTP_CONNECTION_ADMISSION_H
#define CROWSTEP_HTTP_CONNECTION_ADMISSION_H

#include "core/loop_load.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace crowstep {

/// Why a new connection is closed unread.
enum class ShedReason : std::uint8_t {
  Overloaded,         ///< The loop is hardly ever idle.
  TooManyConnections, ///< Callers have as many connections as they may.
  Count,
};

[[nodiscard]] std::string_view nameOf(ShedReason Reason);

class ConnectionAdmission {
public:
  /// Load of the loop from which new connections are shed. Work that the
  /// accepted ones bring arrives at random times, and its delay grows beyond
  /// all bounds as the load approaches 1.
  static constexpr double MaxBusyShare = 0.85;

  /// Share of the process's file descriptors for callers' connections. Calls
  /// to upstreams may need as many, and links to other instances some more.
  static constexpr double DescriptorShare = 0.4;

  /// Admits connections while the load of \p Load allows it.
  explicit ConnectionAdmission(const LoopLoad &Load);

  /// Bounds the callers' connections by the share of \p Descriptors, or of the
  /// process's limit if that is lower.
  void setDescriptors(std::size_t Descriptors);

  /// Returns why a connection beside \p Open others is not to be served.
  [[nodiscard]] std::optional<ShedReason> reasonToShed(std::size_t Open) const;

private:
  const LoopLoad &m_Load;       ///< Outlives this object.
  std::size_t m_MaxConnections; ///< Of all callers.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_CONNECTION_ADMISSION_H
