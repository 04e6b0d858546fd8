/// Carries out one operator's change: reads the row, writes it conditionally
/// and waits until the new version is in force everywhere.
#ifndef CROWSTEP_CONTRACT_TABLE_CHANGE_H
#define CROWSTEP_CONTRACT_TABLE_CHANGE_H

#include "contract/table_core_type.h"
#include "contract/table_settle.h"

namespace crowstep::contract {

/// The row "current" as read and decoded; an absent row has version 0.
struct RowImage {
  platform::RowVersion m_RowVersion; ///< Expected by a conditional write.
  TableDocument m_Document;          ///< Value of the row.
};

/// State of the process that a change depends on.
struct ChangeContext {
  TimePoint m_Now;               ///< Time of the present event.
  TableVersion m_VersionInForce; ///< On this instance.
  TableVersion m_SettledVersion; ///< No lower version is in use.
  TableVersion
      m_ConfirmedVersion;   ///< In force here and on the attached entries.
  InstanceId m_Self;        ///< This instance.
  Voters m_NextVoters;      ///< For a new version.
  Duration m_ExpiryDelay{}; ///< See SettleWatch.
  const ConfirmationTable &m_Confirmations;         ///< Known confirmations.
  const std::set<std::string> &m_RemovedVoters;     ///< No longer listed.
  const std::vector<membership::Member> &m_Members; ///< All known members.
};

/// State machine of one change; its functions append actions to \p Out.
class ChangeProgress {
public:
  ChangeProgress(ChangeRequested Request, CommitId Commit,
                 TimePoint RequestedAt, TimePoint Deadline);

  /// Handles the result of a read that was sent no earlier than requestedAt().
  void onRowRead(const ChangeContext &Context, const RowImage &Row,
                 TableActions &Out);
  void onReadFailed(TableActions &Out);
  /// Handles the answer to a write. \p Present is none if the write took
  /// effect, else the present row.
  void onWritten(const ChangeContext &Context,
                 const std::optional<RowImage> &Present, TableActions &Out);
  void onWriteFailed(const ChangeContext &Context,
                     platform::PlatformFailure Failure, TableActions &Out);
  /// Handles the passing of time and changes of \p Context.
  void update(const ChangeContext &Context, TableActions &Out);

  [[nodiscard]] const CommitId &commitId() const { return m_CommitId; }
  [[nodiscard]] TimePoint requestedAt() const { return m_RequestedAt; }
  [[nodiscard]] bool isFinished() const { return m_Finished; }

  /// Returns the document that this change has committed; only the first call
  /// after the commit returns it.
  std::optional<TableDocument> takeCommitted();

private:
  /// Waits for the row.
  struct Reading {};
  /// Waits for the answer to a write, or for m_RetryAt to send it again.
  struct Writing {
    platform::RowWrite m_Write;         ///< Sent again unchanged.
    TableDocument m_Document;           ///< Value of m_Write.
    std::optional<TimePoint> m_RetryAt; ///< None: waits for an answer.
    bool m_MayHaveCommitted = false;    ///< An answer was lost.
  };
  /// Committed; waits until the version is confirmed and settled.
  struct Propagating {
    SettleWatch m_Watch; ///< Of the committed version.
  };

  void finish(ChangeOutcome Outcome, TableActions &Out);
  void startPropagation(const ChangeContext &Context,
                        const TableDocument &Committed);
  void updateState(const ChangeContext &Context, Reading &State,
                   TableActions &Out);
  void updateState(const ChangeContext &Context, Writing &State,
                   TableActions &Out);
  void updateState(const ChangeContext &Context, Propagating &State,
                   TableActions &Out);

  ChangeRequested m_Request; ///< As received.
  CommitId m_CommitId;       ///< Unique to this change.
  TimePoint m_RequestedAt;   ///< Reads that were sent earlier are stale.
  TimePoint m_Deadline;      ///< The outcome is reported by then.
  std::variant<Reading, Writing, Propagating> m_State; ///< Of this change.
  std::optional<TableDocument> m_Committed;            ///< Until taken.
  bool m_Finished = false; ///< The outcome was reported.
};

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_CHANGE_H
