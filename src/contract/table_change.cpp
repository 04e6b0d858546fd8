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
                                  ? Context.m_ConfirmedVersion
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
      const auto Found =
          Context.m_Confirmations.byVoter().find(instanceIdOf(Name));
      const bool IsConfirmed =
          Found != Context.m_Confirmations.byVoter().end() &&
          Found->second.m_Version >= Version;
      if (!IsConfirmed && std::ranges::find(Names, Name) == Names.end())
        Names.push_back(Name);
    }
}

} // namespace

ChangeProgress::ChangeProgress(ChangeRequested Request, CommitId Commit,
                               TimePoint RequestedAt, TimePoint Deadline)
    : m_Request(std::move(Request)), m_CommitId(std::move(Commit)),
      m_RequestedAt(RequestedAt), m_Deadline(Deadline) {}

void ChangeProgress::onRowRead(const ChangeContext &Context,
                               const RowImage &Row, TableActions &Out) {
  if (!std::holds_alternative<Reading>(m_State))
    return;
  const TableDocument &Present = Row.m_Document;
  // If the table service was restored to an older state, the change would be
  // based on a table that is no longer in force anywhere.
  if (Present.version() < Context.m_VersionInForce) {
    finish(ChangeUnavailable(), Out);
    return;
  }
  const ChangeTest Test = testChange(Present, m_Request);
  if (const auto *Conflict = std::get_if<ChangeConflict>(&Test)) {
    finish(*Conflict, Out);
    return;
  }
  if (std::holds_alternative<NothingToChange>(Test)) {
    startPropagation(Context, Present);
    return;
  }
  const bool IsSettled = Context.m_SettledVersion == Present.version();
  Writing Next;
  Next.m_Document = documentWithNewRows(
      Present, m_Request, {m_CommitId, IsSettled, Context.m_NextVoters});
  Next.m_Write = {CurrentRowKey, Row.m_RowVersion,
                  encodeDocument(Next.m_Document)};
  Out.push_back(WriteStore{m_CommitId, Next.m_Write});
  m_State = std::move(Next);
}

void ChangeProgress::onReadFailed(TableActions &Out) {
  if (std::holds_alternative<Reading>(m_State))
    finish(ChangeUnavailable(), Out);
}

void ChangeProgress::onWritten(const ChangeContext &Context,
                               const std::optional<RowImage> &Present,
                               TableActions &Out) {
  auto *State = std::get_if<Writing>(&m_State);
  if (State == nullptr)
    return;
  if (!Present) {
    startPropagation(Context, TableDocument(State->m_Document));
    return;
  }
  // The write may have been sent twice, by this class or the HTTP library; then
  // the first took effect, and the second finds the row changed by it. If the
  // commit is not in the row, it never will be, as the row is past the version
  // that the write expects.
  if (holdsCommit(Present->m_Document, m_CommitId)) {
    m_Committed = Present->m_Document;
    startPropagation(Context, TableDocument(State->m_Document));
    return;
  }
  m_State = Reading();
  onRowRead(Context, *Present, Out);
}

void ChangeProgress::onWriteFailed(const ChangeContext &Context,
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
  if (Context.m_Now >= m_Deadline)
    finish(ChangeUnavailable(), Out);
}

void ChangeProgress::updateState(const ChangeContext &Context, Writing &State,
                                 TableActions &Out) {
  if (Context.m_Now >= m_Deadline) {
    // A write whose answer is outstanding may take effect, too.
    const bool MayHaveCommitted = State.m_MayHaveCommitted || !State.m_RetryAt;
    finish(ChangeUnavailable{MayHaveCommitted}, Out);
    return;
  }
  if (!State.m_RetryAt || Context.m_Now < *State.m_RetryAt)
    return;
  State.m_RetryAt.reset();
  Out.push_back(WriteStore{m_CommitId, State.m_Write});
}

void ChangeProgress::updateState(const ChangeContext &Context,
                                 Propagating &State, TableActions &Out) {
  SettleWatch &Watch = State.m_Watch;
  Watch.update(Context.m_Confirmations, Context.m_RemovedVoters, Context.m_Now);
  std::vector<std::string> Unconfirmed = unconfirmed(Context, Watch.version());
  if (Unconfirmed.empty() && Context.m_ConfirmedVersion >= Watch.version() &&
      Watch.isSettled()) {
    finish(ChangeAccepted{Watch.version()}, Out);
    return;
  }
  if (Context.m_Now < m_Deadline)
    return;
  addUnconfirmedVoters(Context, Watch.quorums(), Watch.version(), Unconfirmed);
  finish(ChangePending{Watch.version(), std::move(Unconfirmed)}, Out);
}

std::optional<TableDocument> ChangeProgress::takeCommitted() {
  return std::exchange(m_Committed, std::nullopt);
}

void ChangeProgress::finish(ChangeOutcome Outcome, TableActions &Out) {
  Out.push_back(FinishChange{m_Request.m_Id, std::move(Outcome)});
  m_Finished = true;
}

void ChangeProgress::startPropagation(const ChangeContext &Context,
                                      const TableDocument &Committed) {
  if (!m_Committed)
    m_Committed = Committed;
  m_State = Propagating{SettleWatch(Committed.version(), Committed.m_Quorums,
                                    Context.m_Now, Context.m_ExpiryDelay)};
}

} // namespace crowstep::contract
