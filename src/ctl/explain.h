/// Extracts one request's log lines from saved logs of several instances.
#ifndef CROWSTEP_CTL_EXPLAIN_H
#define CROWSTEP_CTL_EXPLAIN_H

#include <string>
#include <vector>

namespace crowstep::ctl {

/// Returns the lines of \p Logs about the request, with those that name no
/// request but an upstream that it was sent to, its content or a segment that
/// it was refused for (which say why these were quarantined), sorted by time,
/// each as "time name field=value ...". Lines that are not JSON objects are
/// skipped, as logs may contain the output of other programs. Times are in
/// milliseconds, by the instances' own clocks.
std::string explain(const std::string &Request,
                    const std::vector<std::string> &Logs);

} // namespace crowstep::ctl

#endif // CROWSTEP_CTL_EXPLAIN_H
