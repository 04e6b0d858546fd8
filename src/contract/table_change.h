/// One operator's change on its way: read the row, write it conditionally,
/// wait until it holds everywhere.
#ifndef CROWSTEP_CONTRACT_TABLE_CHANGE_H
#define CROWSTEP_CONTRACT_TABLE_CHANGE_H

#include "contract/table_core_type.h"
#include "contract/table_settle.h"

namespace crowstep::contract {

/// The row "current" as it was read; an absent row has version 0.
struct RowImage {
  platform::RowVersion m_RowVersion; ///< For the condition of a write.
  TableDocument m_Document;          ///< Decoded.
};

/// What a change needs to know of the process that carries it out.
struct ChangeContext {
  TimePoint m_Now;           ///< Fresh.
  TableVersion m_InForce;    ///< Version in force here.
  TableVersion m_Settled;    ///< No version below it is in use.
  TableVersion m_Confirmed;  ///< Held here and by the attached entries.
  InstanceId m_Self;         ///< This instance.
  Voters m_Wanted;           ///< Voters for a new version.
  Duration m_Lapse{};        ///< See SettleWatch.
  const VouchTable &m_Known; ///< Freshest vouches.
  const std::set<std::string> &m_Gone; ///< Taken away by the platform.
  const std::vector<membership::Member> &m_Members; ///< All known.
};

/// One change. Each call appends what is to be done.
class ChangeProgress {
public:
  ChangeProgress(ChangeAsked Asked, CommitId Commit, TimePoint AskedAt,
                 TimePoint Until);

  /// A read of the row that was sent after the change was asked came back.
  void rowRead(const ChangeContext &Context, const RowImage &Row,
               TableActions &Out);
  void readFailed(TableActions &Out);
  /// \p Present is the row after the write where it did not take effect.
  void written(const ChangeContext &Context,
               const std::optional<RowImage> &Present, TableActions &Out);
  void writeFailed(const ChangeContext &Context,
                   platform::PlatformFailure Failure, TableActions &Out);
  /// Time has passed, or something else has changed.
  void update(const ChangeContext &Context, TableActions &Out);

  [[nodiscard]] const CommitId &commit() const { return m_Commit; }
  [[nodiscard]] TimePoint askedAt() const { return m_AskedAt; }
  [[nodiscard]] bool finished() const { return m_Finished; }

  /// Returns the document that this change has committed, once.
  std::optional<TableDocument> takeCommitted();

private:
  /// The row is being read.
  struct Reading {};
  /// The write is on its way, or is tried again at m_RetryAt.
  struct Writing {
    platform::RowWrite m_Write;         ///< Repeated without a change.
    TableDocument m_Document;           ///< In m_Write.
    std::optional<TimePoint> m_RetryAt; ///< None: an answer is awaited.
    bool m_MayHaveCommitted = false;    ///< An answer was lost.
  };
  /// Committed.
  struct Spreading {
    SettleWatch m_Watch; ///< Of the new version.
  };

  void finish(ChangeOutcome Outcome, TableActions &Out);
  void spread(const ChangeContext &Context, const TableDocument &Committed);
  void updateState(const ChangeContext &Context, Reading &State,
                   TableActions &Out);
  void updateState(const ChangeContext &Context, Writing &State,
                   TableActions &Out);
  void updateState(const ChangeContext &Context, Spreading &State,
                   TableActions &Out);

  ChangeAsked m_Asked; ///< What the operator wants.
  CommitId m_Commit;   ///< Unique to this change.
  TimePoint m_AskedAt; ///< Reads sent earlier are stale.
  TimePoint m_Until;   ///< The outcome is told by then.
  std::variant<Reading, Writing, Spreading> m_State; ///< Only goes on.
  std::optional<TableDocument> m_Committed;          ///< Not yet taken.
  bool m_Finished = false;                           ///< The outcome was told.
};

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_CHANGE_H
