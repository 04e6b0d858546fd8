/// Plain types of back ends: model engines and plain services.
#ifndef CROWSTEP_UPSTREAM_TYPE_H
#define CROWSTEP_UPSTREAM_TYPE_H

#include "instance_type.h"

#include <string>
#include <variant>
#include <vector>

namespace crowstep {

/// Names an upstream; a hash of its name in the platform's instance list.
using UpstreamId = StrongId<struct UpstreamTag, std::uint64_t>;

/// Names the pool of upstreams that one dispatcher decides for: a service, or
/// a shard of one; a hash of "service/shard".
using PoolId = StrongId<struct PoolTag, std::uint64_t>;

/// Returns the id of the upstream called \p Name.
UpstreamId upstreamIdOf(const std::string &Name);

/// Returns the id of the pool of \p Service and \p Shard.
PoolId poolIdOf(const std::string &Service, std::uint32_t Shard);

/// A model engine: batches continuously, streams, resumes and cancels.
struct Engine {
  std::uint32_t m_Slots = 16;        ///< Sequences batched at once, >= 1.
  std::vector<std::string> m_Models; ///< Models and adapters loaded.
  bool m_CanResume = true;           ///< Continues from given tokens.
  bool m_ChecksFencing = true;       ///< Refuses orders with an old number.
};

/// A plain service: one short answer a call, some calls not repeatable.
struct PlainService {
  std::uint32_t m_Slots = 32; ///< Calls served at once, >= 1.
};

/// What kind of back end an upstream is.
using UpstreamKind = std::variant<Engine, PlainService>;

/// A back end as the platform's instance list describes it.
struct Upstream {
  UpstreamId m_Id;                      ///< From the name.
  std::string m_Name;                   ///< Unique in the instance list.
  std::string m_Service;                ///< The service that it belongs to.
  Address m_Address;                    ///< Where its HTTP server listens.
  AvailabilityZone m_Zone;              ///< For the distance to callers.
  UpstreamKind m_Kind = PlainService{}; ///< Engine or plain service.
  bool m_Leaving = false;               ///< Must get no new work.
};

/// Returns how many calls an upstream works on at once; at least 1.
std::uint32_t slotsOf(const Upstream &Target);

} // namespace crowstep

#endif // CROWSTEP_UPSTREAM_TYPE_H
