/// Events and actions of the table's state machine.
#ifndef CROWSTEP_CONTRACT_TABLE_CORE_TYPE_H
#define CROWSTEP_CONTRACT_TABLE_CORE_TYPE_H

#include "contract/table_document.h"
#include "contract/table_type.h"
#include "link/link_type.h"
#include "membership/membership_type.h"
#include "platform/platform_type.h"

#include <optional>

namespace crowstep::contract {

/// Names a change that an operator asked of this process.
using ChangeId = StrongId<struct ChangeTag, std::uint64_t>;

/// What a peer knows of a voter.
struct RelayedVouch {
  InstanceId m_Who;       ///< The voter.
  Incarnation m_Start;    ///< Its start.
  TableVersion m_Version; ///< In force there.
  Duration m_Age{};       ///< When the peer answered.
};

/// What a peer knows of the table service.
struct RelayedStoreVouch {
  TableVersion m_Version; ///< Of the row.
  Duration m_Age{};       ///< When the peer answered.
};

/// Answer to a probe.
struct ProbeAnswer {
  std::uint64_t m_Sequence = 0;             ///< Of the probe.
  TableVersion m_Version;                   ///< In force at the peer.
  std::optional<RelayedStoreVouch> m_Store; ///< None: nothing known.
  std::vector<RelayedVouch> m_Vouches;      ///< Voters of its versions.
};

// ---- Events ----

/// The row was read; none where it does not exist.
struct StoreRead {
  TimePoint m_SentAt;                 ///< Before the call went out.
  std::optional<platform::Row> m_Row; ///< As read.
};
struct StoreReadFailed {};
/// The table service decided about a write.
struct StoreWritten {
  CommitId m_Commit;              ///< As in WriteStore.
  platform::RowOutcome m_Outcome; ///< What became of it.
};
struct StoreWriteFailed {
  CommitId m_Commit;                   ///< As in WriteStore.
  platform::PlatformFailure m_Failure; ///< Refused or uncertain.
};
struct PeerUp {
  link::LinkId m_Link;   ///< New link.
  InstanceId m_Who;      ///< Other end.
  bool m_IsEntry = true; ///< Entries get the table and are not probed.
};
struct PeerDown {
  link::LinkId m_Link; ///< Closed.
};
struct DocumentArrived {
  link::LinkId m_Link;      ///< From there.
  TableDocument m_Document; ///< Valid.
};
struct DocumentWanted {
  link::LinkId m_Link; ///< Who asks.
};
struct ProbeArrived {
  link::LinkId m_Link;          ///< Who asks.
  std::uint64_t m_Sequence = 0; ///< For the answer.
  TableVersion m_Version;       ///< In force there.
};
struct ProbeAnswered {
  link::LinkId m_Link;  ///< Who answers.
  ProbeAnswer m_Answer; ///< What it knows.
};
struct MembersChanged {
  std::vector<membership::Member> m_Members; ///< All known.
};
struct EntriesHold {
  TableVersion m_Version; ///< Every attached entry holds it or a later one.
};
struct InstancesListed {
  std::vector<std::string> m_Names; ///< In the platform's list.
};
struct ChangeAsked {
  ChangeId m_Id;                     ///< For FinishChange.
  std::vector<Contract> m_Contracts; ///< The whole new table; valid.
  TableVersion m_Read;               ///< The version that the operator saw.
  std::string m_Operator;            ///< For the history.
  std::string m_Time;                ///< For the history.
};
/// Comes a few times in a second.
struct Tick {};

using TableEvent =
    std::variant<StoreRead, StoreReadFailed, StoreWritten, StoreWriteFailed,
                 PeerUp, PeerDown, DocumentArrived, DocumentWanted,
                 ProbeArrived, ProbeAnswered, MembersChanged, EntriesHold,
                 InstancesListed, ChangeAsked, Tick>;

// ---- Actions ----

/// Read the row "current".
struct ReadStore {};
/// Write the row "current" under a condition.
struct WriteStore {
  CommitId m_Commit;          ///< For the answer.
  platform::RowWrite m_Write; ///< What to write.
};
struct SendDocument {
  link::LinkId m_Link; ///< To there: the document in force.
};
struct WantDocument {
  link::LinkId m_Link;    ///< Ask there ...
  TableVersion m_Version; ///< ... for this version or a later one.
};
struct SendProbe {
  link::LinkId m_Link;          ///< To there.
  std::uint64_t m_Sequence = 0; ///< For the answer.
  TableVersion m_Version;       ///< In force here.
};
struct SendProbeAnswer {
  link::LinkId m_Link;  ///< To there.
  ProbeAnswer m_Answer; ///< What is known here.
};
/// Publish the version that this instance and its entries hold.
struct PublishVersion {
  TableVersion m_Version; ///< 0 while it has not caught up since its start.
};
/// The document in force is another one.
struct TableChanged {};
struct FinishChange {
  ChangeId m_Id;           ///< As in ChangeAsked.
  ChangeOutcome m_Outcome; ///< For the operator.
};
/// What happened, for the log.
enum class TableNotice : std::uint8_t {
  CaughtUp,      ///< This process knows all that was accepted at its start.
  StoreWentBack, ///< The table service returned an older version.
  RowUnreadable, ///< The row in the table service is no valid table.
  RowReplaced,   ///< This process wrote new voters or repaired the row.
};
struct Notify {
  TableNotice m_What;   ///< Which.
  std::string m_Detail; ///< For people.
};

using TableAction =
    std::variant<ReadStore, WriteStore, SendDocument, WantDocument, SendProbe,
                 SendProbeAnswer, PublishVersion, TableChanged, FinishChange,
                 Notify>;
using TableActions = std::vector<TableAction>;

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_CORE_TYPE_H
