/// One request's story from the saved logs of several instances.
#ifndef CROWSTEP_CTL_EXPLAIN_H
#define CROWSTEP_CTL_EXPLAIN_H

#include <string>
#include <vector>

namespace crowstep::ctl {

/// Returns the lines of \p Logs that belong to the request, in the order of
/// their times, each as "time name field=value ...", what was believed of the
/// upstreams that it was sent to, and why its content was quarantined. Lines
/// that are no JSON are passed over, so output of other programs in a log does
/// no harm. Times are of the instances' own clocks.
std::string explain(const std::string &Request,
                    const std::vector<std::string> &Logs);

} // namespace crowstep::ctl

#endif // CROWSTEP_CTL_EXPLAIN_H
