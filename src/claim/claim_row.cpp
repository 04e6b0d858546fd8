/// Claim rows and the rule that changes them.
#include "claim/claim_row.h"

#include <nlohmann/json.hpp>

namespace crowstep::claim {

using nlohmann::json;

namespace {

constexpr int RowFormat = 1;

/// Body hash of a row that was written before the call's body was known.
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
  throw ClaimRowError("no such state: " + Name);
}

ClaimOutcome outcome(ClaimStatus Status) { return {Status, {}}; }

/// What an attempt that does not hold the claim is told of it.
ClaimOutcome outcomeForOther(std::uint64_t BodyHash, const ClaimRow &Row) {
  if (!bodyMatches(Row, BodyHash))
    return outcome(ClaimStatus::OtherBody);
  if (Row.m_State == ClaimState::Ran)
    return {ClaimStatus::Ran, Row.m_Answer};
  return outcome(ClaimStatus::InProgress);
}

/// Judges one request against the row as it stands.
class RowDecider {
public:
  explicit RowDecider(const std::optional<ClaimRow> &Row) : m_Row(Row) {}

  RowVerdict operator()(const ClaimWanted &Operation) const {
    const RowChange TakeClaim{
        {ClaimState::Claimed, Operation.m_Attempt, Operation.m_BodyHash, {}},
        outcome(ClaimStatus::Owned)};
    if (!m_Row)
      return TakeClaim;
    const bool SameAttempt = m_Row->m_Attempt == Operation.m_Attempt;
    // The answer to the first insert was lost, or the request came twice.
    if (SameAttempt && m_Row->m_State == ClaimState::Claimed)
      return outcome(ClaimStatus::Owned);
    // A duplicate of a request whose attempt has given the claim back: were it
    // to take the claim again, nobody would run the call or give it back.
    if (SameAttempt && m_Row->m_State == ClaimState::NotRun)
      return outcome(ClaimStatus::InProgress);
    const bool IsFree = m_Row->m_State == ClaimState::NotRun &&
                        bodyMatches(*m_Row, Operation.m_BodyHash);
    if (IsFree)
      return TakeClaim;
    return outcomeForOther(Operation.m_BodyHash, *m_Row);
  }

  RowVerdict operator()(const NotRunWanted &Operation) const {
    // Without a row the first insert may still be on its way to the table
    // service; this row makes it fail, so that the key is not held for ever.
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

  RowVerdict operator()(const RanWanted &Operation) const {
    const bool SameAttempt = m_Row && m_Row->m_Attempt == Operation.m_Attempt;
    if (SameAttempt && m_Row->m_State == ClaimState::Ran)
      return outcome(ClaimStatus::Done);
    // Nobody takes a claim from its holder, so this is a row that was removed
    // by hand or outlived; there is nothing to record it in.
    if (!SameAttempt || m_Row->m_State == ClaimState::NotRun)
      return outcome(ClaimStatus::InProgress);
    return RowChange{{ClaimState::Ran, Operation.m_Attempt, m_Row->m_BodyHash,
                      Operation.m_Answer},
                     outcome(ClaimStatus::Done)};
  }

  RowVerdict operator()(const ReadWanted &Operation) const {
    const bool IsFree = !m_Row || m_Row->m_State == ClaimState::NotRun;
    if (IsFree && (!m_Row || bodyMatches(*m_Row, Operation.m_BodyHash)))
      return outcome(ClaimStatus::Done);
    return outcomeForOther(Operation.m_BodyHash, *m_Row);
  }

private:
  const std::optional<ClaimRow> &m_Row; ///< Outlives the judge.
};

} // namespace

std::string writeRow(const ClaimRow &Row) {
  json Value = {{"format", RowFormat},
                {"state", nameOf(Row.m_State)},
                {"attempt", Row.m_Attempt},
                {"body", Row.m_BodyHash}};
  if (Row.m_State == ClaimState::Ran)
    Value["answer"] = {{"status", Row.m_Answer.m_Status},
                       {"type", Row.m_Answer.m_ContentType},
                       {"body", Row.m_Answer.m_Body}};
  // A service's answer may be no UTF-8; the row must be written all the same.
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

ClaimRow readRow(const std::string &Json) {
  try {
    const json Value = json::parse(Json);
    if (Value.at("format").get<int>() > RowFormat)
      throw ClaimRowError("of a newer format");
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

RowVerdict judge(const Wanted &Operation, const std::optional<ClaimRow> &Row) {
  return std::visit(RowDecider(Row), Operation);
}

} // namespace crowstep::claim
