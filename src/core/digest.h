/// SHA-256 digests.
#ifndef CROWSTEP_CORE_DIGEST_H
#define CROWSTEP_CORE_DIGEST_H

#include <string>

namespace crowstep {

/// Returns the SHA-256 of \p Text in lower-case hex.
std::string sha256Hex(const std::string &Text);

} // namespace crowstep

#endif // CROWSTEP_CORE_DIGEST_H
