/// Plain types for the machines that crowstep runs on and their zones.
#ifndef CROWSTEP_INSTANCE_TYPE_H
#define CROWSTEP_INSTANCE_TYPE_H

#include "core/strong_id.h"

#include <string>

namespace crowstep {

/// Identifies an instance (a machine that runs crowstep); a hash of its name,
/// so that all processes derive the same id.
using InstanceId = StrongId<struct InstanceTag, std::uint64_t>;

/// One start of a process on an instance. A later start has a higher number, so
/// that updates about an earlier one can't be taken for updates about it.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;

/// Returns the id of the instance called \p Name.
InstanceId instanceIdOf(const std::string &Name);

/// Where a process listens: a literal IPv4 address and a port.
struct Address {
  std::uint32_t m_Ip = 0;   ///< Host byte order.
  std::uint16_t m_Port = 0; ///< 0: none.

  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const Address &) const = default;
};

/// Returns \p Text ("127.0.0.1:8080") as an address.
/// \throws AddressError if it is not a literal IPv4 address with a port.
Address parseAddress(const std::string &Text);

/// Returns \p Value as "a.b.c.d:port".
std::string toString(const Address &Value);

/// An availability zone.
struct AvailabilityZone {
  std::string m_Name; ///< As in the settings and the instance list.

  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const AvailabilityZone &) const = default;
};

} // namespace crowstep

#endif // CROWSTEP_INSTANCE_TYPE_H
