/// Plain types for back ends: model engines and plain services.
#ifndef CROWSTEP_UPSTREAM_TYPE_H
#define CROWSTEP_UPSTREAM_TYPE_H

#include "core/clock.h"
#include "instance_type.h"
#include "software_version.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crowstep {

/// Identifies an upstream; a hash of its name in the platform's instance list.
using UpstreamId = StrongId<struct UpstreamTag, std::uint64_t>;

/// Identifies a process of an upstream: upstreams may start again under their
/// name.
using IncarnationId = StrongId<struct IncarnationTag, std::uint64_t>;

/// Identifies the pool of upstreams that one dispatcher decides for: a service,
/// or a shard of one; a hash of "service/shard".
using PoolId = StrongId<struct PoolTag, std::uint64_t>;

/// Returns the id of the upstream called \p Name.
UpstreamId upstreamIdOf(const std::string &Name);

/// Returns the id of the pool of \p Service and \p Shard.
PoolId poolIdOf(const std::string &Service, std::uint32_t Shard);

/// A model engine, with continuous batching, streaming, resumption and
/// cancellation.
struct Engine {
  std::uint32_t m_Slots = 16;        ///< Sequences in a batch, >= 1.
  std::vector<std::string> m_Models; ///< Loaded models and adapters.
  bool m_CanResume = true;           ///< Can continue from given tokens.
  bool m_ChecksFencing = true;       ///< Refuses old fencing numbers.

  bool operator==(const Engine &) const = default;
};

/// A plain service: one short answer for each call; some calls must not be
/// retried.
struct PlainService {
  std::uint32_t m_Slots = 32; ///< Concurrent calls, >= 1.

  bool operator==(const PlainService &) const = default;
};

using UpstreamKind = std::variant<Engine, PlainService>;

/// A back end as the platform's instance list describes it.
struct Upstream {
  UpstreamId m_Id;                      ///< Derived from the name.
  std::string m_Name;                   ///< Unique in the instance list.
  std::string m_Service;                ///< Service that it belongs to.
  Address m_Address;                    ///< Where its HTTP server listens.
  AvailabilityZone m_Zone;              ///< For the distance to callers.
  UpstreamKind m_Kind = PlainService{}; ///< Engine or plain service.
  bool m_Draining = false;              ///< Must get no new work.
  bool m_Spot = false;        ///< May be reclaimed with all others of its zone.
  TimePoint m_UnlistedAt{};   ///< When its entry was removed; not set: listed.
  SoftwareVersion m_Software; ///< Of its process.

  /// When its process started, as stated by it; none: a process that starts
  /// gets another name.
  std::optional<std::chrono::milliseconds> m_StartTime;

  bool operator==(const Upstream &) const = default;
};

/// Returns the id of an upstream's process. One that doesn't state when it
/// started is the only one of its name.
IncarnationId
incarnationOf(UpstreamId Id,
              const std::optional<std::chrono::milliseconds> &StartTime);

/// Returns how many calls an upstream can run at once; at least 1.
std::uint32_t slotsOf(const Upstream &Target);

} // namespace crowstep

#endif // CROWSTEP_UPSTREAM_TYPE_H
