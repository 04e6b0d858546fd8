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

/// Returns the row as the asker left it, so that its record needs no read: an
/// attempt that was told Owned knows what it wrote.
std::optional<ClaimRow> rowAsLeft(const RequestCame &Asked) {
  if (Asked.m_Version == RowVersion())
    return std::nullopt;
  ClaimRow Row;
  Row.m_State = ClaimState::Claimed;
  Row.m_BodyHash = Asked.m_BodyHash;
  if (const auto *What = std::get_if<NotRunWanted>(&Asked.m_What))
    Row.m_Attempt = What->m_Attempt;
  else if (const auto *Kept = std::get_if<RanWanted>(&Asked.m_What))
    Row.m_Attempt = Kept->m_Attempt;
  else
    return std::nullopt;
  return Row;
}

/// Returns whether the request must see the row before anything else.
bool needsRead(const RequestCame &Asked) {
  if (std::holds_alternative<ReadWanted>(Asked.m_What))
    return true;
  return std::holds_alternative<RanWanted>(Asked.m_What) &&
         Asked.m_Version == RowVersion();
}

ClaimStatus statusOf(PlatformFailure Failure) {
  return Failure == PlatformFailure::Refused ? ClaimStatus::Unavailable
                                             : ClaimStatus::Uncertain;
}

} // namespace

void ClaimHomeCore::handle(const HomeEvent &What, TimePoint Now,
                           std::vector<HomeAction> &Actions) {
  m_Actions = &Actions;
  std::visit([&](const auto &Each) { take(Each, Now); }, What);
  startWrite(Now);
  m_Actions = nullptr;
}

void ClaimHomeCore::take(const RequestCame &What, TimePoint Now) {
  Request Fresh{What, Now, rowAsLeft(What), What.m_Version, {}};
  if (!Fresh.m_Present)
    Fresh.m_Version = RowVersion();
  if (!needsRead(What)) {
    settle(std::move(Fresh));
    return;
  }
  const bool Asked =
      std::any_of(m_Reading.begin(), m_Reading.end(), [&](const Request &Each) {
        return Each.m_Asked.m_Key == What.m_Key;
      });
  m_Reading.push_back(std::move(Fresh));
  if (!Asked)
    m_Actions->push_back(StartRead{What.m_Key});
}

void ClaimHomeCore::take(const WriteEnded &What, TimePoint) {
  std::vector<Request> Written = std::move(m_Writing);
  m_Writing.clear();
  if (const auto *Failure = std::get_if<PlatformFailure>(&What.m_Result)) {
    for (const Request &Each : Written)
      reply(Each, {statusOf(*Failure), {}});
    return;
  }
  const auto &Outcomes = std::get<std::vector<RowOutcome>>(What.m_Result);
  for (std::size_t Index = 0; Index < Written.size(); ++Index)
    if (Index < Outcomes.size())
      writeEnded(std::move(Written[Index]), Outcomes[Index]);
    else
      reply(Written[Index], {ClaimStatus::Uncertain, {}});
}

void ClaimHomeCore::writeEnded(Request Each, const RowOutcome &Outcome) {
  if (Outcome.m_Present)
    Each.m_Version = Outcome.m_Present->m_Version;
  if (Outcome.m_Written) {
    reply(Each, Each.m_IfWritten);
    return;
  }
  Each.m_Present.reset();
  try {
    if (Outcome.m_Present)
      Each.m_Present = readRow(Outcome.m_Present->m_Value);
    else
      Each.m_Version = RowVersion();
    settle(std::move(Each));
  } catch (const ClaimRowError &) {
    // A row of a newer build: its holder knows what it means, we don't.
    reply(Each, {ClaimStatus::InProgress, {}});
  }
}

void ClaimHomeCore::take(const ReadEnded &What, TimePoint) {
  const auto FirstReader = std::stable_partition(
      m_Reading.begin(), m_Reading.end(),
      [&](const Request &Each) { return Each.m_Asked.m_Key != What.m_Key; });
  std::vector<Request> Readers(std::make_move_iterator(FirstReader),
                               std::make_move_iterator(m_Reading.end()));
  m_Reading.erase(FirstReader, m_Reading.end());
  const auto *Rows = std::get_if<std::vector<platform::Row>>(&What.m_Result);
  for (Request &Each : Readers) {
    if (Rows == nullptr) {
      reply(Each, {ClaimStatus::Unavailable, {}});
      continue;
    }
    RowOutcome AsRead;
    if (!Rows->empty())
      AsRead.m_Present = Rows->front();
    writeEnded(std::move(Each), AsRead);
  }
}

void ClaimHomeCore::take(const HomeTick &, TimePoint Now) {
  // A home that was frozen wakes with requests whose askers went elsewhere
  // long ago; claims made for them now would be held by nobody.
  std::erase_if(m_Waiting, [&](const Request &Each) {
    return Each.m_Came + m_Config.m_MaxAge < Now;
  });
}

void ClaimHomeCore::settle(Request Each) {
  const RowVerdict Verdict = judge(Each.m_Asked.m_What, Each.m_Present);
  if (const auto *Told = std::get_if<ClaimOutcome>(&Verdict)) {
    reply(Each, *Told);
    return;
  }
  m_Waiting.push_back(std::move(Each));
}

void ClaimHomeCore::reply(const Request &To, const ClaimOutcome &Outcome) {
  m_Actions->push_back(Reply{To.m_Asked.m_Number, Outcome, To.m_Version});
}

void ClaimHomeCore::startWrite(TimePoint Now) {
  if (!m_Writing.empty() || m_Waiting.empty() || Now < m_NextWrite)
    return;
  take(HomeTick(), Now);
  StartWrite Call;
  std::set<ClaimKey> Keys;
  std::deque<Request> Left;
  for (Request &Each : m_Waiting) {
    // One write a key and call: the second must see what the first did.
    const bool Fits = Call.m_Writes.size() < m_Config.m_MaxBatch &&
                      Keys.insert(Each.m_Asked.m_Key).second;
    if (!Fits) {
      Left.push_back(std::move(Each));
      continue;
    }
    const RowVerdict Verdict = judge(Each.m_Asked.m_What, Each.m_Present);
    const RowChange &Change = std::get<RowChange>(Verdict);
    Each.m_IfWritten = Change.m_IfWritten;
    Call.m_Writes.push_back(
        {Each.m_Asked.m_Key, Each.m_Version, writeRow(Change.m_Row)});
    m_Writing.push_back(std::move(Each));
  }
  m_Waiting = std::move(Left);
  if (Call.m_Writes.empty())
    return;
  m_NextWrite = Now + m_Config.m_Window;
  m_Actions->push_back(std::move(Call));
}

std::optional<TimePoint> ClaimHomeCore::nextDeadline() const {
  if (m_Waiting.empty() || !m_Writing.empty())
    return std::nullopt;
  return m_NextWrite;
}

} // namespace crowstep::claim
