/// One claim as it stands in the table service.
#ifndef CROWSTEP_CLAIM_CLAIM_ROW_H
#define CROWSTEP_CLAIM_CLAIM_ROW_H

#include "claim/claim_type.h"
#include "core/error.h"
#include "platform/platform_type.h"

#include <optional>
#include <string>
#include <variant>

namespace crowstep::claim {

/// A claim's row is of a format that this build can't read.
class ClaimRowError : public Error {
public:
  explicit ClaimRowError(const std::string &Reason)
      : Error("claim row: " + Reason) {}
};

/// How far the claimed call has come.
enum class ClaimState : std::uint8_t {
  Claimed, ///< An attempt holds it; the call may be running.
  NotRun,  ///< The last attempt gave it back: it provably never ran.
  Ran,     ///< The call ran and its answer is kept.
};

/// The content of a row.
struct ClaimRow {
  ClaimState m_State = ClaimState::Claimed; ///< See above.
  AttemptId m_Attempt;                      ///< Who wrote m_State.
  std::uint64_t m_BodyHash = 0;             ///< Of the first call's body.
  KeptAnswer m_Answer;                      ///< With state Ran.
};

/// Returns the row as JSON with a format number.
std::string writeRow(const ClaimRow &Row);

/// Reads JSON of this and all older formats. \throws ClaimRowError.
ClaimRow readRow(const std::string &Json);

// ---- What is asked of a row -------------------------------------------------

struct ClaimWanted {
  AttemptId m_Attempt;          ///< Who asks.
  std::uint64_t m_BodyHash = 0; ///< Of its call's body.
};
struct NotRunWanted {
  AttemptId m_Attempt; ///< Who gives the claim back.
};
struct RanWanted {
  AttemptId m_Attempt; ///< Whose call ran.
  KeptAnswer m_Answer; ///< To keep.
};
struct ReadWanted {
  std::uint64_t m_BodyHash = 0; ///< Of the reader's call's body.
};
using Wanted = std::variant<ClaimWanted, NotRunWanted, RanWanted, ReadWanted>;

/// The row must be replaced by this one for the request to be met.
struct RowChange {
  ClaimRow m_Row;           ///< New content.
  ClaimOutcome m_IfWritten; ///< What to tell once it is written.
};

/// Either a change to be made, or what to tell as the row stands.
using RowVerdict = std::variant<RowChange, ClaimOutcome>;

/// Returns what \p What needs of the row \p Present (nothing: no such row).
/// This is the whole rule of at most once: a row in state Claimed is changed
/// only by the attempt that wrote it.
RowVerdict judge(const Wanted &Operation, const std::optional<ClaimRow> &Row);

} // namespace crowstep::claim

#endif // CROWSTEP_CLAIM_CLAIM_ROW_H
