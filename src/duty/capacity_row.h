/// The row of the table service that holds the orders for engines in force.
///
/// A new holder of the duties continues from it: engines that were ordered
/// shortly before are not listed yet.
#ifndef CROWSTEP_DUTY_CAPACITY_ROW_H
#define CROWSTEP_DUTY_CAPACITY_ROW_H

#include "duty/capacity_planner.h"

#include <map>
#include <string>

namespace crowstep::duty {

/// The orders in force, by service.
using CapacityRow = std::map<std::string, CapacityState>;

/// Returns the row's JSON text.
std::string encodeCapacityRow(const CapacityRow &Row);

/// Parses the row. \throws DutyRowError.
CapacityRow decodeCapacityRow(const std::string &Text);

} // namespace crowstep::duty

#endif // CROWSTEP_DUTY_CAPACITY_ROW_H
