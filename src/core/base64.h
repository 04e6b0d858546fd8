/// Base64 of bytes.
#ifndef CROWSTEP_CORE_BASE64_H
#define CROWSTEP_CORE_BASE64_H

#include <string>

namespace crowstep {

/// Returns \p Bytes in Base64.
std::string base64Encoded(const std::string &Bytes);

/// Decodes \p Text; characters that are not Base64 are skipped.
std::string base64Decoded(const std::string &Text);

} // namespace crowstep

#endif // CROWSTEP_CORE_BASE64_H
