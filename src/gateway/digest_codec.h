/// Encoding of load digests on links.
#ifndef CROWSTEP_GATEWAY_DIGEST_CODEC_H
#define CROWSTEP_GATEWAY_DIGEST_CODEC_H

#include "balance/peer_loads.h"
#include "wire/crowstep_generated.h"

#include <memory>

namespace crowstep::gateway {

/// Merges \p Digest into \p Into, the digest of a frame that is being filled.
/// Two digests of one loop iteration are sent as one: the later one's loads
/// replace the earlier ones, everything else is appended.
void packDigest(const balance::LoadDigest &Digest,
                std::unique_ptr<wire::GatewayDigestT> &Into);

/// Returns the digest without loads of an unknown urgency or without calls:
/// sums of loads are forgotten when their last call ends.
balance::LoadDigest unpack(const wire::GatewayDigest &From);

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_DIGEST_CODEC_H
