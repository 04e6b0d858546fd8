/// The claim home's state machine.
#include "claim/claim_home_core.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace crowstep::claim {

using platform::PlatformFailure;
using platform::RowOutcome;
using platform::RowVersion;

namespace {

/// Returns the row that the requester holds, so that its record needs no read:
/// an attempt that got Owned knows the content and the version of its row.
std::optional<ClaimRow> lastWrittenRow(const RequestReceived &Request) {
  if (Request.m_Version == RowVersion())
    return std::nullopt;
  ClaimRow Row;
  Row.m_State = ClaimState::Claimed;
  Row.m_BodyHash = Request.m_BodyHash;
  if (const auto *NotRun = std::get_if<NotRunOperation>(&Request.m_Operation))
    Row.m_Attempt = NotRun->m_Attempt;
  else if (const auto *Ran = std::get_if<RanOperation>(&Request.m_Operation))
    Row.m_Attempt = Ran->m_Attempt;
  else
    return std::nullopt;
  return Row;
}

/// Returns whether the row must be read before the request can be decided.
bool needsRead(const RequestReceived &Request) {
  if (std::holds_alternative<ReadOperation>(Request.m_Operation))
    return true;
  return std::holds_alternative<RanOperation>(Request.m_Operation) &&
         Request.m_Version == RowVersion();
}

ClaimStatus statusOf(PlatformFailure Failure) {
  return Failure == PlatformFailure::Refused ? ClaimStatus::Unavailable
                                             : ClaimStatus::Uncertain;
}

} // namespace

void ClaimHomeCore::handle(const HomeEvent &Event, TimePoint Now,
                           std::vector<HomeAction> &Actions) {
  m_Actions = &Actions;
  std::visit([&](const auto &Alternative) { on(Alternative, Now); }, Event);
  startWrite(Now);
  m_Actions = nullptr;
}

void ClaimHomeCore::on(const RequestReceived &Event, TimePoint Now) {
  PendingRequest NewRequest{
      Event, Now, lastWrittenRow(Event), Event.m_Version, {}};
  if (!NewRequest.m_KnownRow)
    NewRequest.m_Version = RowVersion();
  if (!needsRead(Event)) {
    replyOrQueue(std::move(NewRequest));
    return;
  }
  const bool ReadUnderWay = std::any_of(
      m_Reading.begin(), m_Reading.end(), [&](const PendingRequest &Request) {
        return Request.m_Request.m_Key == Event.m_Key;
      });
  m_Reading.push_back(std::move(NewRequest));
  if (!ReadUnderWay)
    m_Actions->push_back(StartRead{Event.m_Key});
}

void ClaimHomeCore::on(const WriteEnded &Event, TimePoint) {
  std::vector<PendingRequest> Written = std::move(m_Writing);
  m_Writing.clear();
  if (const auto *Failure = std::get_if<PlatformFailure>(&Event.m_Result)) {
    for (const PendingRequest &Request : Written)
      reply(Request, {statusOf(*Failure), {}});
    return;
  }
  const auto &Outcomes = std::get<std::vector<RowOutcome>>(Event.m_Result);
  for (std::size_t Index = 0; Index < Written.size(); ++Index)
    if (Index < Outcomes.size())
      handleRowOutcome(std::move(Written[Index]), Outcomes[Index]);
    else
      reply(Written[Index], {ClaimStatus::Uncertain, {}});
}

void ClaimHomeCore::handleRowOutcome(PendingRequest Request,
                                     const RowOutcome &Outcome) {
  if (Outcome.m_CurrentRow)
    Request.m_Version = Outcome.m_CurrentRow->m_Version;
  if (Outcome.m_Written) {
    reply(Request, Request.m_OutcomeIfWritten);
    return;
  }
  Request.m_KnownRow.reset();
  try {
    if (Outcome.m_CurrentRow)
      Request.m_KnownRow = decodeRow(Outcome.m_CurrentRow->m_Value);
    else
      Request.m_Version = RowVersion();
    replyOrQueue(std::move(Request));
  } catch (const ClaimRowError &) {
    // Unreadable here, as a rule written by a newer build: leave it to its
    // holder.
    reply(Request, {ClaimStatus::InProgress, {}});
  }
}

void ClaimHomeCore::on(const ReadEnded &Event, TimePoint) {
  const auto FirstReader = std::stable_partition(
      m_Reading.begin(), m_Reading.end(), [&](const PendingRequest &Request) {
        return Request.m_Request.m_Key != Event.m_Key;
      });
  std::vector<PendingRequest> Readers(std::make_move_iterator(FirstReader),
                                      std::make_move_iterator(m_Reading.end()));
  m_Reading.erase(FirstReader, m_Reading.end());
  const auto *Rows = std::get_if<std::vector<platform::Row>>(&Event.m_Result);
  for (PendingRequest &Request : Readers) {
    if (Rows == nullptr) {
      reply(Request, {ClaimStatus::Unavailable, {}});
      continue;
    }
    RowOutcome ReadOutcome;
    if (!Rows->empty())
      ReadOutcome.m_CurrentRow = Rows->front();
    handleRowOutcome(std::move(Request), ReadOutcome);
  }
}

void ClaimHomeCore::on(const HomeTick &, TimePoint Now) {
  // After a freeze of this process, the requesters may have turned to another
  // home long ago; nobody would use or release claims made for them now.
  const auto FirstOld = std::stable_partition(
      m_Waiting.begin(), m_Waiting.end(), [&](const PendingRequest &Request) {
        return Now <= Request.m_ReceivedAt + m_Config.m_MaxRequestAge;
      });
  for (auto Old = FirstOld; Old != m_Waiting.end(); ++Old)
    reply(*Old, {ClaimStatus::Unavailable, {}});
  m_Waiting.erase(FirstOld, m_Waiting.end());
}

void ClaimHomeCore::replyOrQueue(PendingRequest Request) {
  const RowDecision Verdict =
      decideRow(Request.m_Request.m_Operation, Request.m_KnownRow);
  if (const auto *Outcome = std::get_if<ClaimOutcome>(&Verdict)) {
    reply(Request, *Outcome);
    return;
  }
  m_Waiting.push_back(std::move(Request));
}

void ClaimHomeCore::reply(const PendingRequest &Request,
                          const ClaimOutcome &Outcome) {
  m_Actions->push_back(
      SendReply{Request.m_Request.m_Number, Outcome, Request.m_Version});
}

void ClaimHomeCore::startWrite(TimePoint Now) {
  if (!m_Writing.empty() || m_Waiting.empty() || Now < m_NextWrite)
    return;
  on(HomeTick(), Now);
  StartWrite Action;
  std::set<ClaimKey> Keys;
  std::deque<PendingRequest> Remaining;
  for (PendingRequest &Request : m_Waiting) {
    // One write per key in a call: the next is decided on the row that the
    // first one leaves.
    const bool Fits = Action.m_Writes.size() < m_Config.m_MaxBatchSize &&
                      Keys.insert(Request.m_Request.m_Key).second;
    if (!Fits) {
      Remaining.push_back(std::move(Request));
      continue;
    }
    const RowDecision Verdict =
        decideRow(Request.m_Request.m_Operation, Request.m_KnownRow);
    const RowChange &Change = std::get<RowChange>(Verdict);
    Request.m_OutcomeIfWritten = Change.m_OutcomeIfWritten;
    Action.m_Writes.push_back(
        {Request.m_Request.m_Key, Request.m_Version, encodeRow(Change.m_Row)});
    m_Writing.push_back(std::move(Request));
  }
  m_Waiting = std::move(Remaining);
  if (Action.m_Writes.empty())
    return;
  m_NextWrite = Now + m_Config.m_Window;
  m_Actions->push_back(std::move(Action));
}

std::optional<TimePoint> ClaimHomeCore::nextDeadline() const {
  if (m_Waiting.empty() || !m_Writing.empty())
    return std::nullopt;
  return m_NextWrite;
}

} // namespace crowstep::claim
