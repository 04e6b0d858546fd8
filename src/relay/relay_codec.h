/// Encoding of relayed calls on links.
#ifndef CROWSTEP_RELAY_RELAY_CODEC_H
#define CROWSTEP_RELAY_RELAY_CODEC_H

#include "relay/relay_type.h"
#include "wire/crowstep_generated.h"

#include <memory>

namespace crowstep::relay {

std::vector<std::unique_ptr<wire::HeaderLineT>>
packHeaders(const HeaderList &Headers);

/// Leaves out lines without a name.
HeaderList unpackHeaders(
    const flatbuffers::Vector<flatbuffers::Offset<wire::HeaderLine>> *From);

/// \p Request is passed apart, so that its body is copied once.
std::unique_ptr<wire::RelayOpenT> packOpening(const RelayOpening &Opening,
                                              const IncomingRequest &Request);

/// Returns nullopt if the method or the target is missing, or the time left is
/// absurd.
std::optional<RelayOpening> unpack(const wire::RelayOpen &From);

std::unique_ptr<wire::PathReportT> packAnswer(const PathAnswer &Answer);
PathAnswer unpack(const wire::PathReport &From);

/// Returns Broken for a number that this version does not know: the call may
/// have been sent.
RelayOutcome outcomeOf(std::uint8_t Number);

} // namespace crowstep::relay

#endif // CROWSTEP_RELAY_RELAY_CODEC_H
