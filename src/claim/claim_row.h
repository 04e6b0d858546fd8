/// The row of a claim in the table service, and the rule that changes it.
#ifndef CROWSTEP_CLAIM_CLAIM_ROW_H
#define CROWSTEP_CLAIM_CLAIM_ROW_H

#include "claim/claim_type.h"
#include "core/error.h"
#include "platform/platform_type.h"

#include <optional>
#include <string>
#include <variant>

namespace crowstep::claim {

/// A claim's row is malformed, or in a newer format than this build reads.
class ClaimRowError : public Error {
public:
  explicit ClaimRowError(const std::string &Reason)
      : Error("cannot read claim row: " + Reason) {}
};

/// Progress of the claimed call.
enum class ClaimState : std::uint8_t {
  Claimed, ///< An attempt holds the claim; its call may run.
  NotRun,  ///< The last attempt released it: its call never ran.
  Ran,     ///< The call ran; its answer is in the row.
};

/// The content of a row.
struct ClaimRow {
  ClaimState m_State = ClaimState::Claimed;
  AttemptId m_Attempt;          ///< Attempt that wrote m_State.
  std::uint64_t m_BodyHash = 0; ///< Of the call's body; 0: not known.
  KeptAnswer m_Answer;          ///< In state Ran only.
};

/// Returns the row as JSON with a format number.
std::string encodeRow(const ClaimRow &Row);

/// Reads JSON of this and all older formats. \throws ClaimRowError.
ClaimRow decodeRow(const std::string &Json);

// ---- Operations on a row ----

struct ClaimOperation {
  AttemptId m_Attempt;          ///< Attempt that requests the claim.
  std::uint64_t m_BodyHash = 0; ///< Of its call's body.
};
struct NotRunOperation {
  AttemptId m_Attempt; ///< Attempt that releases the claim.
};
struct RanOperation {
  AttemptId m_Attempt; ///< Attempt whose call ran.
  KeptAnswer m_Answer; ///< To store.
};
struct ReadOperation {
  std::uint64_t m_BodyHash = 0; ///< Of the reader's call's body.
};
using RowOperation =
    std::variant<ClaimOperation, NotRunOperation, RanOperation, ReadOperation>;

/// New content of the row; the operation is done once it is written.
struct RowChange {
  ClaimRow m_Row;                  ///< Replaces the current row.
  ClaimOutcome m_OutcomeIfWritten; ///< Reply once the row is written.
};

/// Either a change to write, or the reply where nothing is to be written.
using RowDecision = std::variant<RowChange, ClaimOutcome>;

/// Decides \p Operation on the current row \p Row (none: there is no row).
/// A row in state Claimed is changed only by the attempt that wrote it; this
/// rule alone makes a call run at most once.
RowDecision decideRow(const RowOperation &Operation,
                      const std::optional<ClaimRow> &Row);

} // namespace crowstep::claim

#endif // CROWSTEP_CLAIM_CLAIM_ROW_H
