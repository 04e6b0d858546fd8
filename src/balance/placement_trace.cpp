/// Names of verdicts.
#include "balance/placement_trace.h"

namespace crowstep::balance {

std::string_view nameOf(Verdict Found) {
  switch (Found) {
  case Verdict::Chosen:
    return "chosen";
  case Verdict::CouldTake:
    return "could_take";
  case Verdict::WaitTooLong:
    return "wait_too_long";
  case Verdict::NoSlot:
    return "no_slot";
  case Verdict::NoMemory:
    return "no_memory";
  case Verdict::OtherRole:
    return "other_role";
  case Verdict::PathLost:
    return "path_lost";
  case Verdict::Ejected:
    return "ejected";
  case Verdict::NoRoom:
    return "no_room";
  case Verdict::Brittle:
    return "brittle";
  case Verdict::RateLimited:
    return "rate_limited";
  case Verdict::PauseRequested:
    return "pause_requested";
  case Verdict::Draining:
    return "draining";
  case Verdict::HeldBack:
    return "held_back";
  case Verdict::AlreadyTried:
    return "already_tried";
  case Verdict::OtherVersion:
    return "other_version";
  case Verdict::NotConsidered:
    return "not_considered";
  }
  return "not_considered";
}

} // namespace crowstep::balance
