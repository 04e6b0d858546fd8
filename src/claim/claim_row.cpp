/// Encoding of claim rows, and the rule that changes them.
#include "claim/claim_row.h"

#include <nlohmann/json.hpp>

namespace crowstep::claim {

using nlohmann::json;

namespace {

constexpr int RowFormat = 1;

/// Body hash of a row that was written before the call's body was known; it
/// matches every body.
constexpr std::uint64_t AnyBody = 0;

bool bodyMatches(const ClaimRow &Row, std::uint64_t BodyHash) {
  return Row.m_BodyHash == AnyBody || Row.m_BodyHash == BodyHash;
}

const char *nameOf(ClaimState State) {
  switch (State) {
  case ClaimState::Claimed:
    return "claimed";
  case ClaimState::NotRun:
    return "not_run";
  case ClaimState::Ran:
    return "ran";
  }
  return "claimed";
}

ClaimState stateOf(const std::string &Name) {
  if (Name == "claimed")
    return ClaimState::Claimed;
  if (Name == "not_run")
    return ClaimState::NotRun;
  if (Name == "ran")
    return ClaimState::Ran;
  throw ClaimRowError("unknown state " + Name);
}

ClaimOutcome outcome(ClaimStatus Status) { return {Status, {}}; }

/// Returns the outcome for an attempt that does not hold the claim.
ClaimOutcome outcomeForOther(std::uint64_t BodyHash, const ClaimRow &Row) {
  if (!bodyMatches(Row, BodyHash))
    return outcome(ClaimStatus::OtherBody);
  if (Row.m_State == ClaimState::Ran)
    return {ClaimStatus::Ran, Row.m_Answer};
  return outcome(ClaimStatus::InProgress);
}

/// Decides one operation on the current row.
class RowDecider {
public:
  explicit RowDecider(const std::optional<ClaimRow> &Row) : m_Row(Row) {}

  RowDecision operator()(const ClaimOperation &Operation) const {
    const RowChange TakeClaim{
        {ClaimState::Claimed, Operation.m_Attempt, Operation.m_BodyHash, {}},
        outcome(ClaimStatus::Owned)};
    if (!m_Row)
      return TakeClaim;
    const bool SameAttempt = m_Row->m_Attempt == Operation.m_Attempt;
    // The answer to the first insert was lost, or the request is a duplicate.
    if (SameAttempt && m_Row->m_State == ClaimState::Claimed)
      return outcome(ClaimStatus::Owned);
    // A late duplicate of a request whose attempt has released the claim. If it
    // took the claim again, nobody would run the call or release the claim.
    if (SameAttempt && m_Row->m_State == ClaimState::NotRun)
      return outcome(ClaimStatus::InProgress);
    const bool IsFree = m_Row->m_State == ClaimState::NotRun &&
                        bodyMatches(*m_Row, Operation.m_BodyHash);
    if (IsFree)
      return TakeClaim;
    return outcomeForOther(Operation.m_BodyHash, *m_Row);
  }

  RowDecision operator()(const NotRunOperation &Operation) const {
    // The attempt's insert may still be in flight to the table service. This
    // row makes it fail; otherwise it would claim the key for an attempt that
    // has ended, and nobody would release it.
    if (!m_Row)
      return RowChange{{ClaimState::NotRun, Operation.m_Attempt, AnyBody, {}},
                       outcome(ClaimStatus::Done)};
    const bool Holds = m_Row->m_Attempt == Operation.m_Attempt &&
                       m_Row->m_State == ClaimState::Claimed;
    if (!Holds)
      return outcome(ClaimStatus::Done);
    return RowChange{
        {ClaimState::NotRun, Operation.m_Attempt, m_Row->m_BodyHash, {}},
        outcome(ClaimStatus::Done)};
  }

  RowDecision operator()(const RanOperation &Operation) const {
    const bool SameAttempt = m_Row && m_Row->m_Attempt == Operation.m_Attempt;
    if (SameAttempt && m_Row->m_State == ClaimState::Ran)
      return outcome(ClaimStatus::Done);
    // A claim is never taken from its holder: the row was deleted by hand or
    // has expired, or this attempt released the claim. There is no row left
    // to record the answer in.
    if (!SameAttempt || m_Row->m_State == ClaimState::NotRun)
      return outcome(ClaimStatus::InProgress);
    return RowChange{{ClaimState::Ran, Operation.m_Attempt, m_Row->m_BodyHash,
                      Operation.m_Answer},
                     outcome(ClaimStatus::Done)};
  }

  RowDecision operator()(const ReadOperation &Operation) const {
    const bool IsFree = !m_Row || m_Row->m_State == ClaimState::NotRun;
    if (IsFree && (!m_Row || bodyMatches(*m_Row, Operation.m_BodyHash)))
      return outcome(ClaimStatus::Done);
    return outcomeForOther(Operation.m_BodyHash, *m_Row);
  }

private:
  const std::optional<ClaimRow> &m_Row; ///< Outlives this object.
};

} // namespace

std::string encodeRow(const ClaimRow &Row) {
  json Value = {{"format", RowFormat},
                {"state", nameOf(Row.m_State)},
                {"attempt", Row.m_Attempt},
                {"body", Row.m_BodyHash}};
  if (Row.m_State == ClaimState::Ran)
    Value["answer"] = {{"status", Row.m_Answer.m_Status},
                       {"type", Row.m_Answer.m_ContentType},
                       {"body", Row.m_Answer.m_Body}};
  // The answer of a service may be invalid UTF-8, which JSON can't hold. The
  // row must still be written, so invalid bytes are replaced.
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

ClaimRow decodeRow(const std::string &Json) {
  try {
    const json Value = json::parse(Json);
    if (Value.at("format").get<int>() > RowFormat)
      throw ClaimRowError("format is newer than this build reads");
    ClaimRow Row;
    Row.m_State = stateOf(Value.at("state").get<std::string>());
    Row.m_Attempt = Value.at("attempt").get<std::string>();
    Row.m_BodyHash = Value.at("body").get<std::uint64_t>();
    if (Row.m_State == ClaimState::Ran) {
      const json &Answer = Value.at("answer");
      Row.m_Answer.m_Status = Answer.at("status").get<std::uint16_t>();
      Row.m_Answer.m_ContentType = Answer.at("type").get<std::string>();
      Row.m_Answer.m_Body = Answer.at("body").get<std::string>();
    }
    return Row;
  } catch (const json::exception &Failure) {
    throw ClaimRowError(Failure.what());
  }
}

RowDecision decideRow(const RowOperation &Operation,
                      const std::optional<ClaimRow> &Row) {
  return std::visit(RowDecider(Row), Operation);
}

} // namespace crowstep::claim
