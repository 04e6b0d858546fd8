/// Failures of driving a Decider against its stated preconditions.
#ifndef CROWSTEP_DECISION_DECISION_ERROR_H
#define CROWSTEP_DECISION_DECISION_ERROR_H

#include "core/error.h"

#include <cstdint>
#include <string>

namespace crowstep::decision {

/// Base of the deciding library's failures.
class DecisionError : public Error {
public:
  using Error::Error;
};

/// The time handed in lies before the last one.
class TimeWentBackError : public DecisionError {
public:
  TimeWentBackError() : DecisionError("the time handed in went back") {}
};

/// A table older than the one in force was handed in.
class TableVersionError : public DecisionError {
public:
  TableVersionError(std::uint64_t InForce, std::uint64_t Received)
      : DecisionError("table version " + std::to_string(Received) +
                      " is lower than " + std::to_string(InForce)) {}
};

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_DECISION_ERROR_H
