/// Numbers and times in header values.
#ifndef CROWSTEP_HTTP_HEADER_VALUE_H
#define CROWSTEP_HTTP_HEADER_VALUE_H

#include "core/clock.h"

#include <optional>
#include <string_view>

namespace crowstep {

/// Returns \p Text without the blanks around it.
std::string_view withoutBlanks(std::string_view Text);

/// Parses a decimal number without exponent that is not negative.
std::optional<double> parseDecimal(std::string_view Text);

/// Parses a number of seconds, whole or with a fraction, that is not negative.
/// Longer times than fit a Duration are shortened to one that fits.
std::optional<Duration> parseSeconds(std::string_view Text);

} // namespace crowstep

#endif // CROWSTEP_HTTP_HEADER_VALUE_H
