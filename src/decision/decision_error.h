/// Errors thrown when the preconditions of Decider are violated.
#ifndef CROWSTEP_DECISION_DECISION_ERROR_H
#define CROWSTEP_DECISION_DECISION_ERROR_H

#include "core/error.h"

#include <cstdint>
#include <string>

namespace crowstep::decision {

/// Base class of the errors of src/decision.
class DecisionError : public Error {
public:
  using Error::Error;
};

/// An event's time lies before that of the previous event.
class NonMonotonicTimeError : public DecisionError {
public:
  NonMonotonicTimeError()
      : DecisionError("event time lies before that of the previous event") {}
};

/// A table is older than the one in force.
class TableVersionError : public DecisionError {
public:
  TableVersionError(std::uint64_t InForce, std::uint64_t Received)
      : DecisionError("table version " + std::to_string(Received) +
                      " is older than version " + std::to_string(InForce) +
                      " in force") {}
};

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_DECISION_ERROR_H
