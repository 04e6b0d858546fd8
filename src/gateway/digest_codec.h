/// Digests as they go over links.
#ifndef CROWSTEP_GATEWAY_DIGEST_CODEC_H
#define CROWSTEP_GATEWAY_DIGEST_CODEC_H

#include "balance/peer_loads.h"
#include "wire/crowstep_generated.h"

#include <memory>

namespace crowstep::gateway {

/// Puts \p What where a frame's digest is assembled. Two digests of one loop
/// iteration go out as one: the loads are those of the later, the rest
/// adds up.
void pack(const balance::LoadDigest &What,
          std::unique_ptr<wire::GatewayDigestT> &Into);

/// Returns the digest; loads of an unknown urgency are left out.
balance::LoadDigest unpacked(const wire::GatewayDigest &From);

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_DIGEST_CODEC_H
