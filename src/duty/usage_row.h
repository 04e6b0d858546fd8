/// The row of the table service that holds the usage reports under way.
///
/// A report that may have reached the platform must be repeated exactly, also
/// by another instance, as the platform accepts one report for a window. So a
/// report is written to this row before it is first sent, and never changes
/// afterwards.
#ifndef CROWSTEP_DUTY_USAGE_ROW_H
#define CROWSTEP_DUTY_USAGE_ROW_H

#include "duty/duty_type.h"

#include <vector>

namespace crowstep::duty {

struct UsageRow {
  /// Reports of earlier windows have been written; none may be added.
  UsageWindow m_Next;

  /// Reports that may not have been accepted yet, oldest first.
  std::vector<UsageReport> m_Pending;

  bool operator==(const UsageRow &) const = default;
};

/// Returns the row's JSON text.
std::string encodeUsageRow(const UsageRow &Row);

/// Parses the row. \throws DutyRowError.
UsageRow decodeUsageRow(const std::string &Text);

} // namespace crowstep::duty

#endif // CROWSTEP_DUTY_USAGE_ROW_H
