/// Names of call outcomes.
#include "balance/balance_type.h"

#include <array>

namespace crowstep::balance {

std::string_view nameOf(CallOutcome Outcome) {
  static constexpr std::array<std::string_view, 8> Names = {
      "served",  "failed",    "silent",  "refused",
      "leaving", "no_answer", "dropped", "broken"};
  return Names.at(static_cast<std::size_t>(Outcome));
}

} // namespace crowstep::balance
