/// Carries out one operator's change.
#include "contract/table_change.h"

#include "contract/table_commit.h"

#include <algorithm>
#include <utility>

namespace crowstep::contract {

namespace {

using platform::PlatformFailure;

constexpr std::chrono::milliseconds WriteRetryDelay{300};

/// Returns the present members that have not confirmed \p Version.
std::vector<std::string> unconfirmed(const ChangeContext &Context,
                                     TableVersion Version) {
  std::vector<std::string> Result;
  for (const membership::Member &Member : Context.m_Members) {
    const TableVersion Held = Member.m_Id == Context.m_Self
                                  ? Context.m_Confirmed
                                  : Member.m_TableVersion;
    if (isPresent(Member) && Held < Version)
      Result.push_back(Member.m_Name);
  }
  return Result;
}

/// Adds the voters that have not confirmed \p Version and so keep it from
/// being settled.
void addUnconfirmedVoters(const ChangeContext &Context,
                          const std::vector<Voters> &Quorums,
                          TableVersion Version,
                          std::vector<std::string> &Names) {
  for (const Voters &Quorum : Quorums)
    for (const std::string &Name : Quorum) {
      const auto Found = Context.m_Known.voters().find(instanceIdOf(Name));
      const bool IsConfirmed = Found != Context.m_Known.voters().end() &&
                               Found->second.m_Version >= Version;
      if (!IsConfirmed && std::ranges::find(Names, Name) == Names.end())
        Names.push_back(Name);
    }
}

} // namespace

ChangeProgress::ChangeProgress(ChangeAsked Request, CommitId Commit,
                               TimePoint RequestedAt, TimePoint Deadline)
    : m_Asked(std::move(Request)), m_Commit(std::move(Commit)),
      m_AskedAt(RequestedAt), m_Until(Deadline) {}

void ChangeProgress::rowRead(const ChangeContext &Context, const RowImage &Row,
                             TableActions &Out) {
  if (!std::holds_alternative<Reading>(m_State))
    return;
  const TableDocument &Present = Row.m_Document;
  // If the table service was restored to an older state, the change would be
  // based on a table that is no longer in force anywhere.
  if (Present.version() < Context.m_InForce) {
    finish(ChangeUnavailable(), Out);
    return;
  }
  const ChangeTest Test = testChange(Present, m_Asked);
  if (const auto *Conflict = std::get_if<ChangeConflict>(&Test)) {
    finish(*Conflict, Out);
    return;
  }
  if (std::holds_alternative<NothingToChange>(Test)) {
    spread(Context, Present);
    return;
  }
  const bool IsSettled = Context.m_Settled == Present.version();
  Writing Next;
  Next.m_Document = changedDocument(Present, m_Asked,
                                    {m_Commit, IsSettled, Context.m_Wanted});
  Next.m_Write = {CurrentRowKey, Row.m_RowVersion,
                  encodeDocument(Next.m_Document)};
  Out.push_back(WriteStore{m_Commit, Next.m_Write});
  m_State = std::move(Next);
}

void ChangeProgress::readFailed(TableActions &Out) {
  if (std::holds_alternative<Reading>(m_State))
    finish(ChangeUnavailable(), Out);
}

void ChangeProgress::written(const ChangeContext &Context,
                             const std::optional<RowImage> &Present,
                             TableActions &Out) {
  auto *State = std::get_if<Writing>(&m_State);
  if (State == nullptr)
    return;
  if (!Present) {
    spread(Context, TableDocument(State->m_Document));
    return;
  }
  // The write may have been sent twice, by this class or the HTTP library; then
  // the first took effect, and the second finds the row changed by it. If the
  // commit is not in the row, it never will be, as the row is past the version
  // that the write expects.
  if (holdsCommit(Present->m_Document, m_Commit)) {
    m_Committed = Present->m_Document;
    spread(Context, TableDocument(State->m_Document));
    return;
  }
  m_State = Reading();
  rowRead(Context, *Present, Out);
}

void ChangeProgress::writeFailed(const ChangeContext &Context,
                                 PlatformFailure Failure, TableActions &Out) {
  auto *State = std::get_if<Writing>(&m_State);
  if (State == nullptr)
    return;
  if (Failure == PlatformFailure::Uncertain)
    State->m_MayHaveCommitted = true;
  if (!State->m_MayHaveCommitted) {
    finish(ChangeUnavailable(), Out);
    return;
  }
  // Reading the row would not give the outcome, as a write delayed in the
  // network may take effect after the read. Sending the same conditional write
  // again does, whichever of the two arrives first.
  State->m_RetryAt = Context.m_Now + WriteRetryDelay;
}

void ChangeProgress::update(const ChangeContext &Context, TableActions &Out) {
  if (m_Finished)
    return;
  std::visit([&](auto &State) { updateState(Context, State, Out); }, m_State);
}

void ChangeProgress::updateState(const ChangeContext &Context, Reading &,
                                 TableActions &Out) {
  if (Context.m_Now >= m_Until)
    finish(ChangeUnavailable(), Out);
}

void ChangeProgress::updateState(const ChangeContext &Context, Writing &State,
                                 TableActions &Out) {
  if (Context.m_Now >= m_Until) {
    // A write whose answer is outstanding may take effect, too.
    const bool MayHaveCommitted = State.m_MayHaveCommitted || !State.m_RetryAt;
    finish(ChangeUnavailable{MayHaveCommitted}, Out);
    return;
  }
  if (!State.m_RetryAt || Context.m_Now < *State.m_RetryAt)
    return;
  State.m_RetryAt.reset();
  Out.push_back(WriteStore{m_Commit, State.m_Write});
}

void ChangeProgress::updateState(const ChangeContext &Context, Spreading &State,
                                 TableActions &Out) {
  SettleWatch &Watch = State.m_Watch;
  Watch.update(Context.m_Known, Context.m_Gone, Context.m_Now);
  std::vector<std::string> Unconfirmed = unconfirmed(Context, Watch.version());
  if (Unconfirmed.empty() && Context.m_Confirmed >= Watch.version() &&
      Watch.settled()) {
    finish(ChangeAccepted{Watch.version()}, Out);
    return;
  }
  if (Context.m_Now < m_Until)
    return;
  addUnconfirmedVoters(Context, Watch.quorums(), Watch.version(), Unconfirmed);
  finish(ChangePending{Watch.version(), std::move(Unconfirmed)}, Out);
}

std::optional<TableDocument> ChangeProgress::takeCommitted() {
  return std::exchange(m_Committed, std::nullopt);
}

void ChangeProgress::finish(ChangeOutcome Outcome, TableActions &Out) {
  Out.push_back(FinishChange{m_Asked.m_Id, std::move(Outcome)});
  m_Finished = true;
}

void ChangeProgress::spread(const ChangeContext &Context,
                            const TableDocument &Committed) {
  if (!m_Committed)
    m_Committed = Committed;
  m_State = Spreading{SettleWatch(Committed.version(), Committed.m_Quorums,
                                  Context.m_Now, Context.m_Lapse)};
}

} // namespace crowstep::contract
