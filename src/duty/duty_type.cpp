/// Names of the outcomes of duty calls.
#include "duty/duty_type.h"

namespace crowstep::duty {

std::string_view nameOf(DutyOutcome Outcome) {
  switch (Outcome) {
  case DutyOutcome::Accepted:
    return "accepted";
  case DutyOutcome::Unavailable:
    return "unavailable";
  case DutyOutcome::Throttled:
    return "throttled";
  case DutyOutcome::Fenced:
    return "fenced";
  case DutyOutcome::Rejected:
    return "rejected";
  case DutyOutcome::Uncertain:
    return "uncertain";
  }
  return "";
}

} // namespace crowstep::duty
