/// Bodies of "POST /placement" on the probe listener.
#ifndef CROWSTEP_GATEWAY_PLACEMENT_REPORT_H
#define CROWSTEP_GATEWAY_PLACEMENT_REPORT_H

#include "gateway/placement_explainer.h"

namespace crowstep::gateway {

/// Path of the query.
inline constexpr const char *PlacementPath = "/placement";

/// Limit on the body of a query. The body of the request in it has to fit.
inline constexpr std::size_t MaxPlacementQueryBytes = 1 << 20;

/// Returns the request in \p Body, or a text that says what is wrong: \p Body
/// must be a JSON object of "method", "path", "headers" (a list of pairs of
/// name and value) and "body".
std::variant<IncomingRequest, std::string>
readPlacementQuery(const std::string &Body);

/// Returns the response as JSON. \p ListAge is the age of the list of
/// upstreams; none: not known.
std::string writePlacementReport(const RequestExplanation &Explained,
                                 std::optional<Duration> ListAge);

/// Returns the body of a response that says what is wrong with a query.
std::string writePlacementError(const std::string &Text);

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_PLACEMENT_REPORT_H
